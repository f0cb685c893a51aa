//! Load figures of targets.

use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::Rate;
use celeryshore_model::UpstreamName;
use derive_more::Display;
use serde::Serialize;

use crate::Phase;

/// Maximum number of other targets whose reports one reply carries.
pub const MAX_KNOWN_LOADS: usize = 4;

/// Load of a target, as measured by its admitting node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Number of requests that run or wait for a slot.
    pub in_flight: u32,
    /// Number of requests that may currently run concurrently.
    pub limit: u32,
    /// Phase of the target.
    pub phase: Phase,
    /// Expected wait of a new request for a slot.
    pub wait: Duration,
    /// Typical time that the target takes for a request.
    pub service_time: Duration,
    /// Time until the link of the target's VM has sent the large responses of the
    /// requests in flight.
    pub link_wait: Duration,
    /// Requests that it starts per second; zero if that is not known.
    pub starts: Rate,
    /// Speed of the target, if it is known.
    pub speed: Option<Speed>,
}

/// Report of another target, as the replying node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownLoad {
    /// Upstream that the report is of.
    pub upstream: UpstreamName,
    /// Incarnation of its target.
    pub target: Incarnation,
    /// Time since the admitting node of the target measured it.
    pub age: Duration,
    /// The report.
    pub load: LoadReport,
}

/// Speed of a target relative to the usual one of its service, in thousandths.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::Speed;
///
/// let speed: Speed = "1.25".parse()?;
/// assert_eq!(speed, Speed::from_per_mille(1_250));
/// assert_eq!(speed.to_string(), "1.250");
/// # Ok::<(), std::num::ParseFloatError>(())
/// ```
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[display("{}.{:03}", _0 / 1_000, _0 % 1_000)]
pub struct Speed(u32);

impl Speed {
    /// Usual speed.
    pub const USUAL: Self = Self(1_000);
    /// Lowest speed; what is slower counts as this.
    pub const MIN: Self = Self(100);
    /// Highest speed; what is faster counts as this.
    pub const MAX: Self = Self(10_000);

    /// Creates a speed from thousandths of the usual one, within the bounds.
    #[must_use]
    pub const fn from_per_mille(per_mille: u32) -> Self {
        if per_mille < Self::MIN.0 {
            Self::MIN
        } else if per_mille > Self::MAX.0 {
            Self::MAX
        } else {
            Self(per_mille)
        }
    }

    /// Returns the speed in thousandths of the usual one.
    #[must_use]
    pub const fn per_mille(self) -> u32 {
        self.0
    }

    /// Returns the speed as a factor on the usual one.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(Self::USUAL.0)
    }
}

impl Default for Speed {
    fn default() -> Self {
        Self::USUAL
    }
}

impl std::str::FromStr for Speed {
    type Err = std::num::ParseFloatError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let factor: f64 = s.parse()?;
        let per_mille = format!("{:.0}", factor * f64::from(Self::USUAL.0)).parse();
        Ok(Self::from_per_mille(per_mille.unwrap_or_default()))
    }
}
