//! Limits and timing of a target.

use std::time::Duration;

/// Limits and timing of a target.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of concurrent requests of a warm target; further ones are
    /// shed.
    pub slots: usize,
    /// Maximum number of concurrent requests of a cold target; a further one
    /// overloads it.
    pub cold_slots: usize,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
    /// Maximum duration of a cold start.
    pub cold_time: Duration,
    /// Number of responses after which a cold start ends early.
    pub cold_responses: u64,
    /// How long all requests fail after an overload in a cold start.
    pub overload_time: Duration,
    /// How long a target is down after a crash.
    pub crash_time: Duration,
    /// Mean run time of a request.
    pub service_time: Duration,
    /// Mean run time of requests by path prefix; the first match applies.
    pub path_service_times: Vec<(String, Duration)>,
    /// Delay after which the health endpoint reports a new phase.
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
