//! Current and recently retired upstreams of the local service.

use std::cell::Cell;
use std::time::Duration;

use celeryshore_model::Now;
use celeryshore_model::RequestKey;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Upstream;
use celeryshore_model::WallTime;

use crate::requests::rendezvous;

/// Maximum age of a key that is checked for duplicates. An upstream may have run a key
/// for this time after it was removed from the published list.
const MAX_KEY_AGE: Duration = Duration::from_mins(10);
/// Maximum time for which nodes may disagree on the list of upstreams, including
/// the skew between a caller's clock and theirs.
const MAX_LIST_SKEW: Duration = Duration::from_secs(30);

/// Upstreams of the local service, which copies of a key may reach.
#[derive(Debug)]
pub(super) struct Peers {
    published: Vec<Upstream>,
    /// Upstreams of any service that were removed or changed, with the time.
    retired: Vec<(Time, Upstream)>,
    /// When this process got its first configuration.
    known_since: Option<WallTime>,
    /// When `published` last changed.
    changed_at: WallTime,
    /// When the upstream on this node's VM was first listed.
    joined_at: Option<Time>,
    /// Whether every other upstream has shown a version that lists this one.
    is_known: Cell<bool>,
}

impl Peers {
    /// Creates the list of a node without a configuration.
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

    /// Records the upstreams that a new configuration removes or changes.
    pub(super) fn configure(&mut self, now: Now, old: Option<&Snapshot>, new: &Snapshot) {
        let retired = old.into_iter().flat_map(|s| s.upstreams.values());
        let retired = retired
            .filter(|u| new.upstreams.get(&u.name) != Some(u))
            .map(|u| (now.mono, u.clone()));
        self.retired.extend(retired);
        self.retired.retain(|(at, _)| now.mono - *at <= MAX_KEY_AGE);
        self.known_since.get_or_insert(now.wall);
    }

    /// Replaces the published upstreams of the local service. An empty list means that
    /// this node has no upstream.
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

    /// Records that every other published upstream has shown a version that lists this
    /// one. Versions never decrease, so none of them returns to an older list.
    pub(super) fn mark_known_to_peers(&self) {
        self.is_known.set(true);
    }

    /// Returns `true` if all nodes know by now that this node's upstream is listed.
    pub(super) fn is_known_to_peers(&self, now: Time) -> bool {
        self.is_known.get() || self.joined_at.is_some_and(|at| now - at >= MAX_LIST_SKEW)
    }

    /// Returns `true` if all upstreams that may have run a key are known.
    ///
    /// Those that were retired before this process had a configuration aren't.
    pub(super) fn is_complete(&self, now: Now, key: &RequestKey) -> bool {
        let created = key.created().unwrap_or_else(|| earliest_creation(now));
        self.known_since
            .is_some_and(|since| since + MAX_LIST_SKEW <= created)
    }

    /// Returns `true` if every copy of a key goes to this upstream first, and the list
    /// has not changed since the key was created.
    pub(super) fn is_home(&self, now: Now, own: &Upstream, key: &RequestKey) -> bool {
        let created = key.created().unwrap_or_else(|| earliest_creation(now));
        if self.changed_at + MAX_LIST_SKEW > created {
            return false;
        }
        let names = self.published.iter().map(|u| &u.name);
        rendezvous::order(names, key).first() == Some(&&own.name)
    }

    /// Returns the other upstreams of the local service that may have run a key.
    pub(super) fn witnesses(&self, now: Time, own: &Upstream) -> Vec<Upstream> {
        let retired = self
            .retired
            .iter()
            .filter(|(at, u)| now - *at <= MAX_KEY_AGE && u.service == own.service)
            .map(|(_, u)| u);
        let all = self.published.iter().chain(retired);
        all.filter(|u| u.vm != own.vm).cloned().collect()
    }
}

/// Returns the earliest creation time of a key that is still checked for duplicates.
/// It stands in for the time of a key that carries none.
fn earliest_creation(now: Now) -> WallTime {
    let max_age = u64::try_from(MAX_KEY_AGE.as_millis()).unwrap_or(u64::MAX);
    WallTime::from_millis(now.wall.as_millis().saturating_sub(max_age))
}
