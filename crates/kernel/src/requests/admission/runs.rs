//! Runs at the local target and the calls that they make.
//!
//! A call belongs to the run whose request identifier its own one begins with.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::requests::CallId;
use crate::requests::WorkId;

/// A run whose request has an identifier.
#[derive(Debug)]
struct Run {
    request: Bytes,
    /// Number of its calls that were answered without a failure.
    answered_calls: u32,
}

/// Index of the runs whose requests have an identifier, and their open calls.
#[derive(Debug, Default)]
pub(super) struct Runs {
    by_work: BTreeMap<WorkId, Run>,
    by_request: BTreeMap<Bytes, WorkId>,
    calls: BTreeMap<CallId, WorkId>,
}

impl Runs {
    /// Adds a run that starts.
    pub(super) fn insert(&mut self, work: WorkId, request: Option<&Bytes>) {
        if let Some(request) = request {
            self.by_request.insert(request.clone(), work);
            let run = Run {
                request: request.clone(),
                answered_calls: 0,
            };
            self.by_work.insert(work, run);
        }
    }

    /// Removes a run that has ended.
    pub(super) fn remove(&mut self, work: WorkId) {
        let run = self.by_work.remove(&work);
        if let Some(run) = run
            && self.by_request.get(&run.request) == Some(&work)
        {
            self.by_request.remove(&run.request);
        }
    }

    /// Returns the run of a request.
    pub(super) fn find(&self, request: &Bytes) -> Option<WorkId> {
        self.by_request.get(request).copied()
    }

    /// Records a call of the run of `request`. Returns the number of the run's calls that
    /// were answered before, or `None` if there is no such run.
    pub(super) fn start_call(&mut self, request: &Bytes, call: CallId) -> Option<u32> {
        let work = self.find(request)?;
        let run = self.by_work.get(&work)?;
        self.calls.insert(call, work);
        Some(run.answered_calls)
    }

    /// Records the end of a call.
    pub(super) fn end_call(&mut self, call: CallId, is_success: bool) {
        let work = self.calls.remove(&call);
        if let Some(run) = work.and_then(|work| self.by_work.get_mut(&work)) {
            run.answered_calls += u32::from(is_success);
        }
    }
}
