//! Upstreams of a node's own service, now and a short while ago.

use std::cell::Cell;
use std::time::Duration;

use celeryshore_model::Now;
use celeryshore_model::RequestKey;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Upstream;
use celeryshore_model::WallTime;

use crate::requests::rendezvous;

/// Time for which an upstream that is no longer published may have run a key.
const KEY_HORIZON: Duration = Duration::from_mins(10);
/// Longest time for which nodes may differ on the list of upstreams, with the
/// difference between a caller's clock and theirs.
const MAX_LIST_SKEW: Duration = Duration::from_secs(30);

/// Upstreams of the own service, to which the copies of a key may go.
#[derive(Debug)]
pub(super) struct Peers {
    published: Vec<Upstream>,
    retired: Vec<(Time, Upstream)>,
    known_since: Option<WallTime>,
    changed_at: WallTime,
    joined_at: Option<Time>,
    is_known: Cell<bool>,
}

impl Peers {
    /// Makes the list of a node that knows nothing.
    pub(super) const fn new() -> Self {
        Self {
            published: Vec::new(),
            retired: Vec::new(),
            known_since: None,
            changed_at: WallTime::from_millis(0),
            joined_at: None,
            is_known: Cell::new(false),
        }
    }

    /// Takes the change from one configuration to the next.
    pub(super) fn configure(&mut self, now: Now, old: Option<&Snapshot>, new: &Snapshot) {
        let gone = old.into_iter().flat_map(|s| s.upstreams.values());
        let gone = gone
            .filter(|u| new.upstreams.get(&u.name) != Some(u))
            .map(|u| (now.mono, u.clone()));
        self.retired.extend(gone);
        self.retired.retain(|(at, _)| now.mono - *at <= KEY_HORIZON);
        self.known_since.get_or_insert(now.wall);
    }

    /// Takes the published upstreams of the own service.
    pub(super) fn publish(&mut self, now: Now, published: Vec<Upstream>) {
        if published.is_empty() {
            self.joined_at = None;
            self.is_known.set(false);
        } else {
            self.joined_at.get_or_insert(now.mono);
        }
        if published != self.published {
            self.published = published;
            self.changed_at = now.wall;
        }
    }

    /// Notes that every other published upstream has shown a version in which
    /// this one is on the list. They never go back to one in which it is not.
    pub(super) fn mark_known_to_peers(&self) {
        self.is_known.set(true);
    }

    /// Tells whether all nodes know by now that this one is on the list.
    pub(super) fn is_known_to_peers(&self, now: Time) -> bool {
        self.is_known.get() || self.joined_at.is_some_and(|at| now - at >= MAX_LIST_SKEW)
    }

    /// Tells whether all upstreams that may have run a key are known: those that
    /// were retired before this process had a configuration are not.
    pub(super) fn is_complete(&self, now: Now, key: &RequestKey) -> bool {
        let created = key.created().unwrap_or_else(|| earliest_creation(now));
        self.known_since
            .is_some_and(|since| since + MAX_LIST_SKEW <= created)
    }

    /// Tells whether every copy of a key goes first to this upstream, under a
    /// list that has not changed since the key was made.
    pub(super) fn is_home(&self, now: Now, own: &Upstream, key: &RequestKey) -> bool {
        let created = key.created().unwrap_or_else(|| earliest_creation(now));
        if self.changed_at + MAX_LIST_SKEW > created {
            return false;
        }
        let names = self.published.iter().map(|u| &u.name);
        rendezvous::order(names, key).first() == Some(&&own.name)
    }

    /// Returns the other upstreams of the own service that may have run a key.
    pub(super) fn witnesses(&self, now: Time, own: &Upstream) -> Vec<Upstream> {
        let retired = self
            .retired
            .iter()
            .filter(|(at, u)| now - *at <= KEY_HORIZON && u.service == own.service)
            .map(|(_, u)| u);
        let all = self.published.iter().chain(retired);
        all.filter(|u| u.vm != own.vm).cloned().collect()
    }
}

/// Returns the earliest time at which a key that is still judged was made.
fn earliest_creation(now: Now) -> WallTime {
    let horizon = u64::try_from(KEY_HORIZON.as_millis()).unwrap_or(u64::MAX);
    WallTime::from_millis(now.wall.as_millis().saturating_sub(horizon))
}
