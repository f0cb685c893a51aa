//! Upstreams of a node's own service, now and a short while ago.

use std::time::Duration;

use celeryshore_model::Now;
use celeryshore_model::RequestKey;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Upstream;
use celeryshore_model::VmName;
use celeryshore_model::WallTime;

use crate::requests::rendezvous;

/// Time for which an upstream that is no longer published may have run a key.
const HORIZON: Duration = Duration::from_mins(10);
/// Longest time for which nodes may differ on the list of upstreams, with the
/// difference between a caller's clock and theirs.
const SETTLING: Duration = Duration::from_secs(30);

/// Upstreams of the own service, to which the copies of a key may go.
#[derive(Debug)]
pub(super) struct Peers {
    published: Vec<Upstream>,
    retired: Vec<(Time, Upstream)>,
    changed_at: WallTime,
}

impl Peers {
    /// Makes the list of a node that knows nothing.
    pub(super) const fn new() -> Self {
        Self {
            published: Vec::new(),
            retired: Vec::new(),
            changed_at: WallTime::from_millis(0),
        }
    }

    /// Takes the upstreams of the own service from a configuration.
    pub(super) fn configure(&mut self, now: Now, snapshot: &Snapshot, own: Option<&Upstream>) {
        let service = own.and_then(|own| snapshot.services.get(&own.service));
        let names = service.into_iter().flat_map(|s| &s.upstreams);
        let published: Vec<_> = names
            .filter_map(|name| snapshot.upstreams.get(name))
            .cloned()
            .collect();
        if published == self.published {
            return;
        }
        let earlier = std::mem::replace(&mut self.published, published);
        let gone = earlier
            .into_iter()
            .filter(|u| !self.published.contains(u))
            .map(|u| (now.mono, u));
        self.retired.extend(gone);
        self.retired.retain(|(at, _)| now.mono - *at <= HORIZON);
        self.changed_at = now.wall;
    }

    /// Tells whether every copy of a key goes first to this upstream, under a
    /// list that has not changed since the key was made.
    pub(super) fn is_home(&self, now: Now, own: &Upstream, key: &RequestKey) -> bool {
        let created = key.created().unwrap_or_else(|| earliest(now));
        if self.changed_at + SETTLING > created {
            return false;
        }
        let names = self.published.iter().map(|u| &u.name);
        rendezvous::order(names, key).first() == Some(&&own.name)
    }

    /// Returns the other upstreams that may have run a key.
    pub(super) fn witnesses(&self, now: Time, own: &VmName) -> Vec<Upstream> {
        let retired = self
            .retired
            .iter()
            .filter(|(at, _)| now - *at <= HORIZON)
            .map(|(_, u)| u);
        let all = self.published.iter().chain(retired);
        all.filter(|u| u.vm != *own).cloned().collect()
    }
}

/// Returns the earliest time at which a key that is still judged was made.
fn earliest(now: Now) -> WallTime {
    let horizon = u64::try_from(HORIZON.as_millis()).unwrap_or(u64::MAX);
    WallTime::from_millis(now.wall.as_millis().saturating_sub(horizon))
}
