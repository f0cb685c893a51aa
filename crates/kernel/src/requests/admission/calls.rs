//! Calls that runs at the local target make through this node.

use celeryshore_model::Dialect;
use celeryshore_model::HttpRequest;

use super::Admission;
use crate::requests::Answer;
use crate::requests::CallId;
use crate::requests::headers;

impl Admission {
    /// Returns `true` if a request is a call of a run at the local target, by its identifier.
    pub(in crate::requests) fn is_call(&self, dialect: &Dialect, request: &HttpRequest) -> bool {
        let parent = headers::parent_id(dialect, request);
        parent.is_some_and(|id| self.runs.find(&id).is_some())
    }

    /// Records a request that may be a call of a run at the local target. Returns the number
    /// of the run's calls that were answered before, or `None` if it is no such call.
    pub(in crate::requests) fn start_call(
        &mut self,
        dialect: &Dialect,
        call: CallId,
        request: &HttpRequest,
    ) -> Option<u32> {
        let parent = headers::parent_id(dialect, request)?;
        self.runs.start_call(&parent, call)
    }

    /// Records the end of a call of a run at the local target. Other calls are ignored.
    pub(in crate::requests) fn end_call(&mut self, call: CallId, answer: &Answer) {
        let is_success =
            matches!(answer, Answer::Response(response) if !headers::is_failure(response));
        self.runs.end_call(call, is_success);
    }

    /// Forgets a call whose caller left.
    pub(in crate::requests) fn cancel_call(&mut self, call: CallId) {
        self.runs.end_call(call, false);
    }
}
