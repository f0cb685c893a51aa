//! Order in which work waits for the target.
//!
//! Load pattern: more work than the target can run. What is worth most runs
//! first, so that no kind is served less often than a less urgent one.

use celeryshore_model::Priority;

use crate::requests::WorkId;

/// Work that waits, the most urgent first and the oldest first among equals.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<(Priority, WorkId)>,
}

impl Queue {
    /// Returns how much work waits.
    pub(super) const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub(super) const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the place that new work of a priority would get.
    pub(super) fn place(&self, priority: Priority) -> usize {
        self.waiting.partition_point(|(p, _)| *p <= priority)
    }

    /// Puts work behind its equals; returns its place.
    pub(super) fn push(&mut self, priority: Priority, work: WorkId) -> usize {
        let place = self.place(priority);
        self.waiting.insert(place, (priority, work));
        place
    }

    /// Takes work out.
    pub(super) fn remove(&mut self, work: WorkId) {
        self.waiting.retain(|(_, w)| *w != work);
    }

    /// Takes the first work out.
    pub(super) fn pop(&mut self) -> Option<WorkId> {
        (!self.waiting.is_empty()).then(|| self.waiting.remove(0).1)
    }

    /// Returns the work that waits, in its order.
    pub(super) fn iter(&self) -> impl Iterator<Item = WorkId> {
        self.waiting.iter().map(|(_, work)| *work)
    }
}
