//! Loss of a whole availability zone, told from single failures.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::VmName;

/// Time within which suspicions count as having come at once.
const WINDOW: Duration = Duration::from_secs(8);

/// Time for which a death may turn out to be part of the loss of a zone.
const REVIEW: Duration = Duration::from_secs(20);

/// Time for which rumours go round after the loss of a zone.
const RUMOURS: Duration = Duration::from_secs(5);

/// Time without a datagram from a zone after which it may be lost.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Suspicions at once that tell a lost zone, however large it is.
const MANY: usize = 8;

/// Fewest members of a zone that can be told from single failures.
const FEWEST: usize = 2;

/// What this node knows of one availability zone.
#[derive(Debug, Default)]
pub struct ZoneView {
    /// Number of members in the configuration.
    pub members: usize,
    suspected: BTreeMap<VmName, Time>,
    died: BTreeMap<VmName, Time>,
    heard: Option<Time>,
    lost: bool,
    healed: Option<Time>,
}

impl ZoneView {
    /// Returns whether most of the zone was lost at once.
    pub const fn is_lost(&self) -> bool {
        self.lost
    }

    /// Notes a datagram from the zone; says whether this ends a loss.
    pub fn hear(&mut self, vm: &VmName, now: Time) -> bool {
        self.heard = Some(now);
        self.suspected.remove(vm);
        if self.lost {
            self.healed = Some(now);
        }
        std::mem::take(&mut self.lost)
    }

    /// Returns whether the zone answers again since a short time, so that rumours
    /// from before still go round.
    pub fn is_just_healed(&self, now: Time) -> bool {
        self.healed.is_some_and(|healed| now - healed < RUMOURS)
    }

    /// Notes a suspicion; says whether the zone is lost by it.
    pub fn suspect(&mut self, vm: &VmName, now: Time) -> bool {
        self.suspected.retain(|_, since| now - *since < WINDOW);
        self.suspected.insert(vm.clone(), now);
        let silent = self.heard.is_none_or(|heard| now - heard >= SILENCE);
        let enough = self.suspected.len() > self.members / 2 || self.suspected.len() >= MANY;
        let lost = silent && enough && self.members >= FEWEST;
        let begins = lost && !self.lost;
        self.lost |= lost;
        begins
    }

    /// Notes a member that did not refute in time.
    pub fn bury(&mut self, vm: &VmName, now: Time) {
        self.died.retain(|_, since| now - *since < REVIEW);
        self.died.insert(vm.clone(), now);
    }

    /// Returns the members that died shortly before the loss of the zone.
    pub fn take_died(&mut self, now: Time) -> Vec<VmName> {
        self.died.retain(|_, since| now - *since < REVIEW);
        std::mem::take(&mut self.died).into_keys().collect()
    }

    /// Forgets all evidence, after a freeze.
    pub fn reset(&mut self) {
        self.suspected.clear();
        self.died.clear();
        self.lost = false;
    }
}
