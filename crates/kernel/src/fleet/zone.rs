//! Loss of a whole availability zone, told from single failures.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::VmName;

/// Time within which suspicions count as having come at once.
const WINDOW: Duration = Duration::from_secs(4);

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
    heard: Option<Time>,
    lost: bool,
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
        std::mem::take(&mut self.lost)
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

    /// Forgets all evidence, after a freeze.
    pub fn reset(&mut self) {
        self.suspected.clear();
        self.lost = false;
    }
}
