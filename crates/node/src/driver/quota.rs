//! Bound on the lines that are logged about requests.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Lines in a second; enough for the ordinary failures of one node, and a small
/// part of its processor time when everything fails.
const LINES_PER_SECOND: u32 = 20;
const SECOND: Duration = Duration::from_secs(1);

/// Lines that may still be logged in the current second.
#[derive(Default)]
pub(super) struct Quota {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    since: Option<Instant>,
    used: u32,
    left_out: u64,
}

impl Quota {
    /// Takes one line; returns how many were left out before it, or nothing if
    /// this one is to be left out.
    pub(super) fn take(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state
            .since
            .is_none_or(|since| now.duration_since(since) >= SECOND)
        {
            state.since = Some(now);
            state.used = 0;
        }
        if state.used >= LINES_PER_SECOND {
            state.left_out += 1;
            return None;
        }
        state.used += 1;
        Some(std::mem::take(&mut state.left_out))
    }
}
