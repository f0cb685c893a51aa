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

/// Time within which two requests of one kind from one node count as siblings. They
/// travel separately, for about a millisecond each within a region.
const PAIR_WINDOW: Duration = Duration::from_millis(2);

/// Decision on a request whose sibling hasn't arrived.
#[derive(Debug)]
struct PendingDecision {
    at: Time,
    from: VmName,
    kind: KindId,
    is_accepted: bool,
}

/// Decisions on requests whose siblings may still arrive.
#[derive(Debug, Default)]
pub(super) struct Pairs {
    recent: VecDeque<PendingDecision>,
}

impl Pairs {
    /// Removes and returns the decision on the sibling of a request: `true` if it was
    /// accepted. Returns `None` if no sibling has arrived.
    pub(super) fn take_sibling_decision(
        &mut self,
        now: Time,
        from: &VmName,
        kind: &KindId,
    ) -> Option<bool> {
        while self
            .recent
            .front()
            .is_some_and(|d| now - d.at > PAIR_WINDOW)
        {
            self.recent.pop_front();
        }
        let is_sibling = |d: &PendingDecision| d.kind == *kind && d.from == *from;
        let position = self.recent.iter().position(is_sibling)?;
        Some(self.recent.remove(position)?.is_accepted)
    }

    /// Records the decision on a request whose sibling hasn't arrived.
    pub(super) fn record(&mut self, at: Time, from: &VmName, kind: &KindId, is_accepted: bool) {
        self.recent.push_back(PendingDecision {
            at,
            from: from.clone(),
            kind: kind.clone(),
            is_accepted,
        });
    }
}
