//! Detection of the loss of an availability zone, as opposed to failures of
//! single members.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::VmName;

/// Time within which suspicions count as simultaneous.
const SUSPICION_WINDOW: Duration = Duration::from_secs(8);

/// Time after a death in which it may turn out to be part of a zone loss.
const DEATH_REVIEW_PERIOD: Duration = Duration::from_secs(20);

/// Time for which outdated suspicions are still gossiped after a lost zone
/// recovered.
const STALE_GOSSIP_PERIOD: Duration = Duration::from_secs(5);

/// Minimum time without a datagram from a zone before it can be considered
/// lost.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);

/// Number of simultaneous suspicions that suffices for the loss of a zone of
/// any size. In smaller zones, more than half of the members must be suspected.
const LARGE_ZONE_SUSPECTS: usize = 8;

/// Smallest number of members for which a zone loss can be distinguished from
/// the failure of a single member.
const MIN_MEMBERS: usize = 2;

/// Evidence of this node about the loss of one availability zone.
#[derive(Debug, Default)]
pub struct ZoneView {
    /// Number of members in the configuration, without this node.
    pub members: usize,
    suspicions: BTreeMap<VmName, Time>,
    deaths: BTreeMap<VmName, Time>,
    last_contact: Option<Time>,
    lost: bool,
    recovered: Option<Time>,
}

impl ZoneView {
    /// Returns `true` if most members of the zone failed at the same time.
    pub const fn is_lost(&self) -> bool {
        self.lost
    }

    /// Records a datagram from a member. Returns `true` if the zone was lost
    /// until now.
    pub fn record_contact(&mut self, vm: &VmName, now: Time) -> bool {
        self.last_contact = Some(now);
        self.suspicions.remove(vm);
        if self.lost {
            self.recovered = Some(now);
        }
        std::mem::take(&mut self.lost)
    }

    /// Returns `true` if the zone recovered less than [`STALE_GOSSIP_PERIOD`]
    /// ago, so that suspicions from before may still be gossiped.
    pub fn has_recently_recovered(&self, now: Time) -> bool {
        self.recovered
            .is_some_and(|at| now - at < STALE_GOSSIP_PERIOD)
    }

    /// Records a suspicion. Returns `true` if the zone is now considered lost
    /// and was not before.
    pub fn suspect(&mut self, vm: &VmName, now: Time) -> bool {
        self.suspicions
            .retain(|_, since| now - *since < SUSPICION_WINDOW);
        self.suspicions.insert(vm.clone(), now);
        let silent = self.last_contact.is_none_or(|at| now - at >= MIN_SILENCE);
        let enough = self.suspicions.len() > self.members / 2
            || self.suspicions.len() >= LARGE_ZONE_SUSPECTS;
        let lost = silent && enough && self.members >= MIN_MEMBERS;
        let newly_lost = lost && !self.lost;
        self.lost |= lost;
        newly_lost
    }

    /// Records that a member was declared dead.
    pub fn record_death(&mut self, vm: &VmName, now: Time) {
        self.deaths
            .retain(|_, since| now - *since < DEATH_REVIEW_PERIOD);
        self.deaths.insert(vm.clone(), now);
    }

    /// Removes and returns the members that were declared dead shortly before
    /// the loss of the zone.
    pub fn take_recent_deaths(&mut self, now: Time) -> Vec<VmName> {
        self.deaths
            .retain(|_, since| now - *since < DEATH_REVIEW_PERIOD);
        std::mem::take(&mut self.deaths).into_keys().collect()
    }

    /// Clears all evidence after a freeze of this node.
    pub fn reset(&mut self) {
        self.suspicions.clear();
        self.deaths.clear();
        self.lost = false;
    }
}
