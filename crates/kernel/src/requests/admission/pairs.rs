//! Fate of two requests that a node hands over together.
//!
//! Load pattern: requests that make two calls at once, to a service that can serve a
//! part of them. A request fails if one of its calls is refused, and what the other
//! call took is lost. If each call were judged for itself, half of the calls would
//! serve a quarter of such requests; judged together, a half.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Time;
use celeryshore_model::VmName;

/// Time within which two requests of one kind from one node count as sent together.
/// Each takes a way of its own, about a millisecond long within a region.
const TOGETHER: Duration = Duration::from_millis(2);

/// Decision on a request whose companion has not come.
#[derive(Debug)]
struct Decision {
    at: Time,
    from: VmName,
    kind: KindId,
    is_accepted: bool,
}

/// Decisions on requests whose companions may still come.
#[derive(Debug, Default)]
pub(super) struct Batches {
    recent: VecDeque<Decision>,
}

impl Batches {
    /// Returns whether the companion of a request was accepted, if one came.
    pub(super) fn take(&mut self, now: Time, from: &VmName, kind: &KindId) -> Option<bool> {
        while self.recent.front().is_some_and(|d| now - d.at > TOGETHER) {
            self.recent.pop_front();
        }
        let is_companion = |d: &Decision| d.kind == *kind && d.from == *from;
        let place = self.recent.iter().position(is_companion)?;
        Some(self.recent.remove(place)?.is_accepted)
    }

    /// Notes the decision on a request whose companion has not come.
    pub(super) fn decided(&mut self, at: Time, from: &VmName, kind: &KindId, is_accepted: bool) {
        self.recent.push_back(Decision {
            at,
            from: from.clone(),
            kind: kind.clone(),
            is_accepted,
        });
    }
}
