//! Limit on the rate of log lines about requests.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Counter of the lines logged in the current second.
pub(super) struct Quota {
    /// Lines that are logged in one second at most.
    max_lines: u32,
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
    /// Creates a limit on the lines logged in one second.
    pub(super) fn new(max_lines: u32) -> Self {
        Self {
            max_lines,
            state: Mutex::default(),
        }
    }

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
        if state.logged >= self.max_lines {
            state.suppressed += 1;
            return None;
        }
        state.logged += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}
