//! What the targets of a fleet can bear.

use std::time::Duration;

/// What the targets of a fleet can bear.
#[derive(Clone, Copy, Debug)]
pub struct TargetTimes {
    /// Length of a cold start.
    pub cold_time: Duration,
    /// Mean time of a request.
    pub service_time: Duration,
}

impl Default for TargetTimes {
    fn default() -> Self {
        Self {
            cold_time: Duration::from_secs(3),
            service_time: Duration::from_millis(5),
        }
    }
}
