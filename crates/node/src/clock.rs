//! Monotonic clock and wall clock of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::WallTime;

/// Source of the times that the kernel gets. Its monotonic time is zero when the
/// clock is started.
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
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
