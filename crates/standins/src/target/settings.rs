//! What a target can bear.

use std::time::Duration;

/// What a target can bear, and how long its work takes.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests that run at one time when warm.
    pub slots: usize,
    /// Requests that run at one time when cold.
    pub cold_slots: usize,
    /// Connections that are accepted.
    pub connections: usize,
    /// A cold start ends after this time.
    pub cold_time: Duration,
    /// A cold start ends after this many answers, too.
    pub cold_responses: u64,
    /// How long everything fails once a cold target was overloaded.
    pub overload_time: Duration,
    /// How long a target is down after a crash.
    pub crash_time: Duration,
    /// Mean time of a request.
    pub service_time: Duration,
    /// Mean times of requests to some paths.
    pub path_service_times: Vec<(String, Duration)>,
    /// How far the health endpoint lags.
    pub health_lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 6,
            cold_slots: 1,
            connections: 110,
            cold_time: Duration::from_secs(5),
            cold_responses: 50,
            overload_time: Duration::from_secs(2),
            crash_time: Duration::from_secs(2),
            service_time: Duration::from_millis(5),
            path_service_times: Vec::new(),
            health_lag: Duration::from_secs(1),
        }
    }
}
