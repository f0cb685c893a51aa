//! Rank of calls that runs of targets make.
//!
//! Load pattern: a run of an urgent kind calls another service, whose node ranks the call by
//! its own kind alone. If the call is refused, the run fails and its work is wasted. The
//! call therefore ranks at least with the run.

use celeryshore_model::Dialect;
use celeryshore_model::HttpRequest;
use celeryshore_model::Priority;

use super::Admission;
use super::rank::Rank;
use crate::Handover;
use crate::requests::headers;

impl Admission {
    /// Returns the priority of the run of the local target that makes a call. If the call
    /// doesn't name its run, it is that of the most urgent one.
    pub(in crate::requests) fn caller_priority(
        &self,
        dialect: &Dialect,
        request: &HttpRequest,
    ) -> Option<Priority> {
        let parent = headers::parent_id(dialect, request).and_then(|id| self.runs.find(&id));
        let parent = parent.and_then(|id| self.work_items.get(&id));
        if let Some(parent) = parent {
            return Some(parent.rank.priority());
        }
        let runs = self.work_items.values().filter(|work| work.is_running());
        runs.map(|work| work.rank.priority()).min()
    }

    /// Raises the rank of a call to that of its caller, if long runs at this target can
    /// make it late.
    pub(super) fn rank_with_caller(&self, rank: Rank, handover: &Handover) -> Rank {
        let caller_priority = handover.caller_priority;
        match caller_priority.filter(|_| self.scheduler.has_long_kinds()) {
            Some(priority) => rank.raise_to(priority),
            None => rank,
        }
    }
}
