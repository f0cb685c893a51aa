//! Loss of a whole availability zone, told from single failures.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::VmName;

/// Time within which suspicions count as having come at once.
const SUSPICION_WINDOW: Duration = Duration::from_secs(8);

/// Time for which a death may turn out to be part of the loss of a zone.
const DEATH_REVIEW_PERIOD: Duration = Duration::from_secs(20);

/// Time for which rumours go round after the loss of a zone.
const STALE_GOSSIP_PERIOD: Duration = Duration::from_secs(5);

/// Time without a datagram from a zone after which it may be lost.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);

/// Suspicions at once that tell a lost zone, however large it is.
const LARGE_ZONE_SUSPECTS: usize = 8;

/// Fewest members of a zone that can be told from single failures.
const MIN_MEMBERS: usize = 2;

/// What this node knows of one availability zone.
#[derive(Debug, Default)]
pub struct ZoneView {
    /// Number of members in the configuration.
    pub members: usize,
    suspicions: BTreeMap<VmName, Time>,
    deaths: BTreeMap<VmName, Time>,
    last_contact: Option<Time>,
    lost: bool,
    recovered: Option<Time>,
}

impl ZoneView {
    /// Returns whether most of the zone was lost at once.
    pub const fn is_lost(&self) -> bool {
        self.lost
    }

    /// Notes a datagram from the zone; says whether this ends a loss.
    pub fn record_contact(&mut self, vm: &VmName, now: Time) -> bool {
        self.last_contact = Some(now);
        self.suspicions.remove(vm);
        if self.lost {
            self.recovered = Some(now);
        }
        std::mem::take(&mut self.lost)
    }

    /// Returns whether the zone answers again since a short time, so that rumours
    /// from before still go round.
    pub fn has_recently_recovered(&self, now: Time) -> bool {
        self.recovered
            .is_some_and(|at| now - at < STALE_GOSSIP_PERIOD)
    }

    /// Notes a suspicion; says whether the zone is lost by it.
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

    /// Notes a member that did not refute in time.
    pub fn record_death(&mut self, vm: &VmName, now: Time) {
        self.deaths
            .retain(|_, since| now - *since < DEATH_REVIEW_PERIOD);
        self.deaths.insert(vm.clone(), now);
    }

    /// Returns the members that died shortly before the loss of the zone.
    pub fn take_recent_deaths(&mut self, now: Time) -> Vec<VmName> {
        self.deaths
            .retain(|_, since| now - *since < DEATH_REVIEW_PERIOD);
        std::mem::take(&mut self.deaths).into_keys().collect()
    }

    /// Forgets all evidence, after a freeze.
    pub fn reset(&mut self) {
        self.suspicions.clear();
        self.deaths.clear();
        self.lost = false;
    }
}
