//! Recent number of requests of a workspace at one node.

use std::time::Duration;

use celeryshore_model::Time;

const PERIOD: Duration = Duration::from_secs(1);

/// Requests in the current and in the previous second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    since: Time,
    current: u32,
    previous: u32,
}

impl Demand {
    /// Counts a request.
    pub(super) fn observe(&mut self, now: Time) {
        let age = now - self.since;
        if age >= PERIOD {
            self.previous = if age < 2 * PERIOD { self.current } else { 0 };
            self.current = 0;
            self.since = now;
        }
        self.current = self.current.saturating_add(1);
    }

    /// Returns the larger number of requests of the last two seconds.
    pub(super) fn per_second(&self, now: Time) -> u32 {
        match now - self.since {
            age if age >= 2 * PERIOD => 0,
            age if age >= PERIOD => self.current,
            _ => self.current.max(self.previous),
        }
    }
}
