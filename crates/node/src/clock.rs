//! Both clocks of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::WallTime;

/// Reads the clocks for the decisions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Now {
        Now {
            mono: self.mono(),
            wall: wall(),
        }
    }

    pub(crate) fn mono(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Returns the instant at which the monotonic clock shows `time`.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.as_micros())
    }
}

fn wall() -> WallTime {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
