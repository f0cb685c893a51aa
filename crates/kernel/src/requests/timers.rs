//! Points in time at which something falls due.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use celeryshore_model::Time;

/// One due time for each key.
#[derive(Debug)]
pub(super) struct Timers<K> {
    due: BTreeMap<K, Time>,
    order: BTreeSet<(Time, K)>,
}

impl<K: Copy + Ord> Timers<K> {
    /// Makes an empty set of timers.
    pub(super) const fn new() -> Self {
        Self {
            due: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Sets the timer of `key`, in place of an earlier one.
    pub(super) fn set(&mut self, key: K, at: Time) {
        self.cancel(key);
        self.due.insert(key, at);
        self.order.insert((at, key));
    }

    /// Removes the timer of `key`.
    pub(super) fn cancel(&mut self, key: K) {
        if let Some(at) = self.due.remove(&key) {
            self.order.remove(&(at, key));
        }
    }

    /// Returns the earliest due time.
    pub(super) fn next(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Removes and returns one key that is due at `now`.
    pub(super) fn pop(&mut self, now: Time) -> Option<K> {
        let (at, key) = *self.order.first()?;
        if at > now {
            return None;
        }
        self.cancel(key);
        Some(key)
    }
}
