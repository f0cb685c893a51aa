//! Common decision on two requests that are sent together.
//!
//! Load pattern: callers make two calls at once to a service that can serve only a part
//! of them. A caller fails if one of its calls is refused, and the work on the other is
//! wasted. If half of the calls were accepted independently, only a quarter of the
//! callers would succeed. Deciding on both together makes it half of them.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Time;
use celeryshore_model::VmName;

use crate::requests::WorkId;

/// Time within which two requests of one kind from one node count as siblings. They
/// travel separately, for about a millisecond each within a region.
const PAIR_WINDOW: Duration = Duration::from_millis(2);

/// Decision on a request whose sibling hasn't arrived.
#[derive(Debug)]
struct PendingDecision {
    at: Time,
    from: VmName,
    kind: KindId,
    sibling: Sibling,
}

/// A decided request, for the request that was sent together with it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sibling {
    /// Identifier of the request; absent if it was refused.
    pub(super) work: Option<WorkId>,
}

/// Decisions on requests whose siblings may still arrive.
#[derive(Debug, Default)]
pub(super) struct Pairs {
    recent: VecDeque<PendingDecision>,
}

impl Pairs {
    /// Removes and returns the sibling of a request, if it has arrived.
    pub(super) fn take_sibling(
        &mut self,
        now: Time,
        from: &VmName,
        kind: &KindId,
    ) -> Option<Sibling> {
        while self
            .recent
            .front()
            .is_some_and(|d| now - d.at > PAIR_WINDOW)
        {
            self.recent.pop_front();
        }
        let is_sibling = |d: &PendingDecision| d.kind == *kind && d.from == *from;
        let position = self.recent.iter().position(is_sibling)?;
        Some(self.recent.remove(position)?.sibling)
    }

    /// Records the decision on a request whose sibling hasn't arrived.
    pub(super) fn record(&mut self, at: Time, from: &VmName, kind: &KindId, sibling: Sibling) {
        self.recent.push_back(PendingDecision {
            at,
            from: from.clone(),
            kind: kind.clone(),
            sibling,
        });
    }
}
