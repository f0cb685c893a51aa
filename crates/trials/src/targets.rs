//! Timing of the targets of a fleet.

use std::time::Duration;

/// Timing of the targets of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct TargetTimes {
    /// Maximum duration of a cold start.
    pub cold_time: Duration,
    /// Mean run time of a request.
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
