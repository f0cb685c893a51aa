//! Runs at the local target, by the identifiers of their requests.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::requests::WorkId;

/// Index of the runs whose requests have an identifier.
#[derive(Debug, Default)]
pub(super) struct Runs {
    by_request: BTreeMap<Bytes, WorkId>,
    requests: BTreeMap<WorkId, Bytes>,
}

impl Runs {
    /// Adds a run that starts.
    pub(super) fn insert(&mut self, work: WorkId, request: Option<&Bytes>) {
        if let Some(request) = request {
            self.by_request.insert(request.clone(), work);
            self.requests.insert(work, request.clone());
        }
    }

    /// Removes a run that has ended.
    pub(super) fn remove(&mut self, work: WorkId) {
        let request = self.requests.remove(&work);
        if let Some(request) = request
            && self.by_request.get(&request) == Some(&work)
        {
            self.by_request.remove(&request);
        }
    }

    /// Returns the run of a request.
    pub(super) fn find(&self, request: &Bytes) -> Option<WorkId> {
        self.by_request.get(request).copied()
    }
}
