//! The fake target of a node.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Phase;
use celeryshore_kernel::WorkId;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Time;

use super::deployment::COLD_SLOTS;
use super::script::TargetMode;

const COLD_TIME: Duration = Duration::from_secs(5);
/// Answers after which a cold start ends, too.
const COLD_ANSWERS: u32 = 50;

const OK: u16 = 200;

/// Runs requests, each for some time; in cold start it bears only a few.
#[derive(Debug, Default)]
pub(super) struct Target {
    pub(super) mode: TargetMode,
    started: Time,
    answers: u32,
    running: BTreeMap<WorkId, HttpRequest>,
}

impl Target {
    /// Makes a target in cold start.
    pub(super) fn started(mode: TargetMode, now: Time) -> Self {
        Self {
            mode,
            started: now,
            ..Self::default()
        }
    }

    /// Takes a request, or gives its end at once.
    pub(super) fn begin(&mut self, work: WorkId, request: HttpRequest) -> Option<Outcome> {
        if self.mode == TargetMode::Down {
            return Some(Outcome::NeverSent);
        }
        self.running.insert(work, request);
        None
    }

    /// Ends a request, unless it was cancelled.
    pub(super) fn end(&mut self, work: WorkId) -> Option<Outcome> {
        let request = self.running.remove(&work)?;
        self.answers += 1;
        Some(match self.mode {
            TargetMode::Ok | TargetMode::Warm | TargetMode::Down => {
                Outcome::Answered(answer(&request))
            }
            TargetMode::Silent => Outcome::Silent,
            TargetMode::Broken => Outcome::Broken,
        })
    }

    /// Cancels a request.
    pub(super) fn abort(&mut self, work: WorkId) {
        self.running.remove(&work);
    }

    /// Tells whether more requests run than a target in cold start bears.
    pub(super) fn is_overrun(&self, now: Time) -> bool {
        self.is_cold(now) && self.running.len() > COLD_SLOTS
    }

    /// Returns the phase that the target claims.
    pub(super) fn phase(&self, now: Time) -> Phase {
        match self.mode {
            TargetMode::Down => Phase::Down,
            _ if self.is_cold(now) => Phase::Cold,
            _ => Phase::Warm,
        }
    }

    fn is_cold(&self, now: Time) -> bool {
        self.mode != TargetMode::Warm
            && now - self.started < COLD_TIME
            && self.answers < COLD_ANSWERS
    }
}

/// An answer says whose it is.
fn answer(request: &HttpRequest) -> HttpResponse {
    HttpResponse {
        status: OK,
        headers: Vec::new(),
        body: Bytes::clone(&request.body),
    }
}
