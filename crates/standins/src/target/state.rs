//! State and counts of a target.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::Settings;

const PERCENT: u32 = 100;
const MAX_JITTER_PERCENT: u32 = 50;

/// Decision about a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs.
    Accepted,
    /// The request is refused without being run.
    Shed,
    /// The request fails, because the target is overloaded.
    Overloaded,
}

/// Counters of a target.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Address of the target.
    pub addr: Option<SocketAddr>,
    /// Number of runs by idempotency key.
    pub runs: HashMap<String, u32>,
    /// Requests that are running.
    pub running: usize,
    /// Requests that started to run.
    pub started: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests that were cancelled or exceeded their deadline.
    pub cut: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Maximum number of concurrent requests.
    pub peak: usize,
    /// Maximum number of concurrent requests in a cold start, with one that
    /// caused an overload.
    pub peak_cold: usize,
    /// Number of overloads in a cold start.
    pub fallen: u64,
    /// Number of crashes.
    pub crashes: u64,
}

/// Load report of a target.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Load {
    running: usize,
    slots: usize,
}

/// State of a target.
#[derive(Debug)]
pub struct State {
    settings: Arc<Settings>,
    counts: Counts,
    /// Connections accepted under an earlier generation are stalled.
    generation: u64,
    cold_since: Instant,
    cold_responses: u64,
    overloaded_until: Instant,
    down_until: Instant,
    draining_until: Instant,
    response_delay: Duration,
    duplicates_left: u64,
    phase_override: Option<String>,
    phase_history: VecDeque<(Instant, &'static str)>,
}

impl State {
    /// Creates the state of a target in a cold start.
    pub fn new(addr: SocketAddr, settings: Arc<Settings>) -> Self {
        let now = Instant::now();
        Self {
            settings,
            counts: Counts {
                addr: Some(addr),
                ..Counts::default()
            },
            generation: 0,
            cold_since: now,
            cold_responses: 0,
            overloaded_until: now,
            down_until: now,
            draining_until: now,
            response_delay: Duration::ZERO,
            duplicates_left: 0,
            phase_override: None,
            phase_history: VecDeque::new(),
        }
    }

    /// Decides whether a new request runs, and counts it.
    pub fn admit(&mut self, key: Option<&str>) -> Admission {
        let now = Instant::now();
        if self.overloaded_until > now {
            return Admission::Overloaded;
        }
        let running = self.counts.running + 1;
        if self.draining_until > now || running > self.settings.slots {
            self.counts.shed += 1;
            return Admission::Shed;
        }
        if self.is_cold() {
            self.counts.peak_cold = self.counts.peak_cold.max(running);
            if running > self.settings.cold_slots {
                self.overload();
                return Admission::Overloaded;
            }
        }
        self.counts.running = running;
        self.counts.started += 1;
        self.counts.peak = self.counts.peak.max(running);
        if let Some(key) = key {
            *self.counts.runs.entry(key.to_owned()).or_default() += 1;
        }
        Admission::Accepted
    }

    /// Records the end of a running request; `finished` is `false` if it was cut
    /// off.
    pub fn end_request(&mut self, finished: bool) {
        self.counts.running = self.counts.running.saturating_sub(1);
        if finished {
            self.counts.finished += 1;
            self.cold_responses += 1;
        } else {
            self.counts.cut += 1;
        }
    }

    /// Records a crash and takes the target down for the crash time.
    pub fn crash(&mut self) {
        self.counts.crashes += 1;
        self.counts.running = self.counts.running.saturating_sub(1);
        self.take_down(self.settings.crash_time);
    }

    /// Takes the target down for a time; a cold start follows.
    pub fn take_down(&mut self, time: Duration) {
        self.down_until = Instant::now() + time;
        self.cold_since = self.down_until;
        self.cold_responses = 0;
    }

    /// Starts a cold start.
    pub fn start_cold(&mut self) {
        self.cold_since = Instant::now();
        self.cold_responses = 0;
    }

    /// Sheds all new requests for a time.
    pub fn drain(&mut self, time: Duration) {
        self.draining_until = Instant::now() + time;
    }

    /// Stalls the connections that are open now.
    pub fn stall_connections(&mut self) {
        self.generation += 1;
    }

    /// Delays each response by a time.
    pub fn set_response_delay(&mut self, time: Duration) {
        self.response_delay = time;
    }

    /// Sends each of the next `count` responses twice.
    pub fn duplicate_responses(&mut self, count: u64) {
        self.duplicates_left = count;
    }

    /// Sets the phase that the health endpoint reports, whether true or not;
    /// `None` restores the real one.
    pub fn override_phase(&mut self, phase: Option<String>) {
        self.phase_override = phase;
    }

    /// Returns `true` if the target is down and accepts no connections.
    pub fn is_down(&self) -> bool {
        self.down_until > Instant::now()
    }

    /// Returns how often the open connections have been stalled.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns `true` if the next response is to be sent twice, and counts it.
    pub fn take_duplicate(&mut self) -> bool {
        let duplicate = self.duplicates_left > 0;
        self.duplicates_left = self.duplicates_left.saturating_sub(1);
        duplicate
    }

    /// Returns the run time of a request to a path, with random jitter.
    pub fn service_time(&self, path: &str) -> Duration {
        let paths = &self.settings.path_service_times;
        let matching = paths.iter().find(|(prefix, _)| path.starts_with(prefix));
        let mean = matching.map_or(self.settings.service_time, |(_, time)| *time);
        let min_percent = PERCENT - MAX_JITTER_PERCENT;
        let percent = min_percent + fastrand::u32(..2 * MAX_JITTER_PERCENT);
        mean * percent / PERCENT + self.response_delay
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.counts.clone()
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        Load {
            running: self.counts.running,
            slots: self.settings.slots,
        }
    }

    /// Returns the phase that the health endpoint reports: the override if there
    /// is one, otherwise the real phase after the health lag.
    pub fn reported_phase(&mut self) -> &'static str {
        match self.phase_override.as_deref() {
            Some("warm") => return "warm",
            Some("cold") => return "cold",
            Some("draining") => return "draining",
            _ => (),
        }
        let now = Instant::now();
        self.phase_history.push_back((now, self.phase()));
        let lag = self.settings.health_lag;
        let expired = |(at, _): &(Instant, &str)| now - *at >= lag;
        while self.phase_history.get(1).is_some_and(expired) {
            self.phase_history.pop_front();
        }
        self.phase_history
            .front()
            .map_or("cold", |(_, phase)| phase)
    }

    fn phase(&self) -> &'static str {
        if self.draining_until > Instant::now() {
            return "draining";
        }
        if self.is_cold() {
            return "cold";
        }
        "warm"
    }

    fn is_cold(&self) -> bool {
        let elapsed = self.cold_since.elapsed();
        elapsed < self.settings.cold_time && self.cold_responses < self.settings.cold_responses
    }

    fn overload(&mut self) {
        self.counts.fallen += 1;
        self.overloaded_until = Instant::now() + self.settings.overload_time;
        self.cold_since = self.overloaded_until;
        self.cold_responses = 0;
    }
}
