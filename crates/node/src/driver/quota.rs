//! Limit on the rate of log lines about requests.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Enough for the ordinary failures of one node, and a small part of its CPU time when
/// every request fails.
const LINES_PER_SECOND: u32 = 20;
const SECOND: Duration = Duration::from_secs(1);

/// Counter of the lines logged in the current second.
#[derive(Default)]
pub(super) struct Quota {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    window_start: Option<Instant>,
    logged: u32,
    /// Lines suppressed since the last one that was logged.
    suppressed: u64,
}

impl Quota {
    /// Counts one line. Returns the number of lines suppressed before it, or `None` if
    /// this one is to be suppressed too.
    pub(super) fn take(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state
            .window_start
            .is_none_or(|start| now.duration_since(start) >= SECOND)
        {
            state.window_start = Some(now);
            state.logged = 0;
        }
        if state.logged >= LINES_PER_SECOND {
            state.suppressed += 1;
            return None;
        }
        state.logged += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}
