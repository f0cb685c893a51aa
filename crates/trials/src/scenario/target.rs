//! Simulated target of a node.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Phase;
use celeryshore_kernel::WorkId;
use celeryshore_model::Header;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Time;

use super::deployment::COLD_SLOTS;
use super::script::TargetMode;

/// Time after which a cold start ends.
const COLD_START_TIME: Duration = Duration::from_secs(5);

/// Number of responses after which a cold start ends earlier.
const COLD_START_RESPONSES: u32 = 50;

const OK: u16 = 200;

/// Target that runs requests; in cold start it has [`COLD_SLOTS`] slots only.
#[derive(Debug, Default)]
pub(super) struct Target {
    pub(super) mode: TargetMode,
    started_at: Time,
    responses: u32,
    running: BTreeMap<WorkId, HttpRequest>,
}

impl Target {
    /// Returns a target that starts now, in cold start unless it is `Warm`.
    pub(super) fn new(mode: TargetMode, now: Time) -> Self {
        Self {
            mode,
            started_at: now,
            ..Self::default()
        }
    }

    /// Starts a request; returns its outcome if the target is down.
    pub(super) fn begin(&mut self, work: WorkId, request: HttpRequest) -> Option<Outcome> {
        if self.mode == TargetMode::Down {
            return Some(Outcome::NeverSent);
        }
        self.running.insert(work, request);
        None
    }

    /// Completes a request and returns its outcome; returns `None` if it was
    /// aborted.
    pub(super) fn finish(&mut self, work: WorkId) -> Option<Outcome> {
        let request = self.running.remove(&work)?;
        self.responses += 1;
        Some(match self.mode {
            TargetMode::Ok
            | TargetMode::Warm
            | TargetMode::Down
            | TargetMode::Limited(_)
            | TargetMode::Leaving => Outcome::Answered(self.response(&request)),
            TargetMode::Silent => Outcome::Silent,
            TargetMode::Broken => Outcome::Broken,
        })
    }

    pub(super) fn abort(&mut self, work: WorkId) {
        self.running.remove(&work);
    }

    /// Returns `true` if the target is in cold start and runs more requests than it
    /// has slots.
    pub(super) fn is_overloaded(&self, now: Time) -> bool {
        self.is_cold(now) && self.running.len() > COLD_SLOTS
    }

    /// Returns the phase that the target reports.
    pub(super) fn phase(&self, now: Time) -> Phase {
        match self.mode {
            TargetMode::Down => Phase::Down,
            _ if self.is_cold(now) => Phase::Cold,
            _ => Phase::Warm,
        }
    }

    fn is_cold(&self, now: Time) -> bool {
        !matches!(
            self.mode,
            TargetMode::Warm | TargetMode::Limited(_) | TargetMode::Leaving
        ) && now - self.started_at < COLD_START_TIME
            && self.responses < COLD_START_RESPONSES
    }

    /// Returns a response with the operation of the request as its body, which shows
    /// whose response it is, and with what the target states about itself.
    fn response(&self, request: &HttpRequest) -> HttpResponse {
        let headers = match self.mode {
            TargetMode::Limited(rate) => vec![Header::new("x-rate-limit", rate.to_string())],
            TargetMode::Leaving => vec![Header::new("x-leaving", "1")],
            _ => Vec::new(),
        };
        HttpResponse {
            status: OK,
            headers,
            body: Bytes::clone(&request.body),
        }
    }
}
