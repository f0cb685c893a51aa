//! Points in time, which the driver passes to the state machines.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

/// Time on a process's monotonic clock, in microseconds since its start.
///
/// Addition and subtraction saturate.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use celeryshore_model::Time;
///
/// let start = Time::from_millis(10);
/// let end = start + Duration::from_millis(5);
/// assert_eq!(end - start, Duration::from_millis(5));
/// assert_eq!(start - end, Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{_0}us")]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a time from microseconds since the start of the clock.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a time from milliseconds since the start of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Addition and subtraction saturate.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{_0}ms")]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a wall-clock time from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for WallTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl Sub for WallTime {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Readings of both clocks at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock, for deadlines and waits.
    pub mono: Time,
    /// Wall clock, only compared with the creation times of idempotency keys.
    pub wall: WallTime,
}
