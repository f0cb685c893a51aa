//! A set of timers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use celeryshore_model::Time;

/// Timers with at most one due time per key.
#[derive(Debug)]
pub(super) struct Timers<K> {
    due: BTreeMap<K, Time>,
    order: BTreeSet<(Time, K)>,
}

impl<K: Copy + Ord> Timers<K> {
    /// Creates an empty set.
    pub(super) const fn new() -> Self {
        Self {
            due: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Sets the timer of `key` and replaces an earlier one.
    pub(super) fn set(&mut self, key: K, at: Time) {
        self.cancel(key);
        self.due.insert(key, at);
        self.order.insert((at, key));
    }

    /// Removes the timer of `key`, if there is one.
    pub(super) fn cancel(&mut self, key: K) {
        if let Some(at) = self.due.remove(&key) {
            self.order.remove(&(at, key));
        }
    }

    /// Returns the earliest due time.
    pub(super) fn next(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Removes the earliest timer that is due at `now` and returns its key.
    pub(super) fn pop(&mut self, now: Time) -> Option<K> {
        let (at, key) = *self.order.first()?;
        if at > now {
            return None;
        }
        self.cancel(key);
        Some(key)
    }
}
