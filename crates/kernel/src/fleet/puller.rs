//! Selection of peers from which a newer configuration is pulled.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::Digest;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;

use super::event::PullId;

/// Time after which a pull is abandoned and another peer is tried.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which an offer expires unless the peer repeats it.
const OFFER_LIFETIME: Duration = Duration::from_secs(10);

/// Time for which a peer is not tried again after a failed pull.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

/// Time after which a validation without a reported result is considered lost.
const VALIDATION_TIMEOUT: Duration = Duration::from_secs(10);

const MAX_OFFERS: usize = 16;

#[derive(Debug)]
struct Offer {
    control: SocketAddr,
    version: Version,
    received: Time,
    not_before: Time,
}

/// Pull in progress.
#[derive(Clone, Debug)]
pub struct ActivePull {
    /// Identifier of the pull.
    pub pull: PullId,
    /// VM of the peer.
    pub vm: VmName,
    /// Address on which the peer serves its configuration.
    pub control: SocketAddr,
    /// Time at which the pull is abandoned.
    pub deadline: Time,
    /// Whether the full configuration is requested instead of deltas.
    pub full: bool,
}

/// Validation in progress of what a peer sent.
#[derive(Debug)]
struct Validating {
    vm: VmName,
    deadline: Time,
}

/// Offers of newer versions by peers, and the one pull in progress.
#[derive(Debug, Default)]
pub struct Puller {
    offers: BTreeMap<VmName, Offer>,
    active: Option<ActivePull>,
    validating: Option<Validating>,
    /// Whether the next pull requests the full configuration instead of deltas.
    full: bool,
    sequence: u64,
}

impl Puller {
    /// Records that a peer has `version`. Removes its offer if that is not
    /// newer than `current`.
    pub fn offer(
        &mut self,
        vm: &VmName,
        control: SocketAddr,
        version: Version,
        current: Version,
        now: Time,
    ) {
        if version <= current {
            self.offers.remove(vm);
            return;
        }
        if let Some(offer) = self.offers.get_mut(vm) {
            offer.control = control;
            offer.version = offer.version.max(version);
            offer.received = now;
            return;
        }
        self.evict_offer();
        let offer = Offer {
            control,
            version,
            received: now,
            not_before: now,
        };
        self.offers.insert(vm.clone(), offer);
    }

    fn evict_offer(&mut self) {
        if self.offers.len() < MAX_OFFERS {
            return;
        }
        let oldest = self
            .offers
            .iter()
            .min_by_key(|(_, o)| (o.version, o.received));
        if let Some(vm) = oldest.map(|(vm, _)| vm.clone()) {
            self.offers.remove(&vm);
        }
    }

    /// Removes offers that are expired or not newer than `current`.
    pub fn expire(&mut self, current: Version, now: Time) {
        self.offers
            .retain(|_, o| o.version > current && now - o.received < OFFER_LIFETIME);
    }

    /// Returns the newest version offered, or the default if there is none.
    pub fn newest(&self) -> Version {
        self.offers
            .values()
            .map(|o| o.version)
            .max()
            .unwrap_or_default()
    }

    /// Starts a pull if a peer has an offer and no pull or validation is in
    /// progress. Prefers peers that offer the newest version.
    pub fn start(&mut self, now: Time, rng: &mut fastrand::Rng) -> Option<ActivePull> {
        if self.active.is_some() || self.validating.is_some() {
            return None;
        }
        let newest = self.newest();
        let ready: Vec<_> = self
            .offers
            .iter()
            .filter(|(_, o)| o.not_before <= now)
            .collect();
        let best: Vec<_> = ready
            .iter()
            .filter(|(_, o)| o.version == newest)
            .copied()
            .collect();
        let pool = if best.is_empty() { ready } else { best };
        let (vm, offer) = *pool.get(rng.usize(..pool.len().max(1)))?;
        self.sequence += 1;
        let active = ActivePull {
            pull: PullId(self.sequence),
            vm: vm.clone(),
            control: offer.control,
            deadline: now + PULL_TIMEOUT,
            full: self.full,
        };
        self.active = Some(active.clone());
        Some(active)
    }

    /// Ends and returns the pull if it is the one in progress.
    pub fn finish(&mut self, pull: PullId) -> Option<ActivePull> {
        self.active.take_if(|a| a.pull == pull)
    }

    /// Ends and returns a pull whose deadline passed.
    pub fn time_out(&mut self, now: Time) -> Option<ActivePull> {
        self.validating.take_if(|v| v.deadline <= now);
        self.active.take_if(|a| a.deadline <= now)
    }

    /// Drops the pull in progress and all offers after a freeze.
    pub fn reset(&mut self) {
        self.active = None;
        self.offers.clear();
    }

    /// Delays the next pull from a peer by `wait`.
    pub fn postpone(&mut self, vm: &VmName, wait: Duration, now: Time) {
        if let Some(offer) = self.offers.get_mut(vm) {
            offer.not_before = now + wait;
        }
    }

    /// Delays the next pull from a peer after a failed one.
    pub fn postpone_after_failure(&mut self, vm: &VmName, now: Time) {
        self.postpone(vm, FAILURE_DELAY, now);
    }

    /// Records that the validation of what a peer sent has started.
    pub fn begin_validation(&mut self, vm: &VmName, now: Time) {
        self.validating = Some(Validating {
            vm: vm.clone(),
            deadline: now + VALIDATION_TIMEOUT,
        });
    }

    /// Records that the validation of what a peer sent has ended.
    ///
    /// If verification failed, the peer is not tried again for a while, and the
    /// next pull requests the full configuration.
    pub fn end_validation(&mut self, verified: bool, now: Time) {
        self.full = !verified;
        if let Some(validating) = self.validating.take().filter(|_| !verified) {
            self.postpone_after_failure(&validating.vm, now);
        }
    }

    /// Records that a peer may have `version`, unless the peer has an offer
    /// already.
    pub fn offer_if_unknown(
        &mut self,
        vm: &VmName,
        control: SocketAddr,
        version: Version,
        current: Version,
        now: Time,
    ) {
        if !self.offers.contains_key(vm) {
            self.offer(vm, control, version, current, now);
        }
    }

    /// Removes the offer of a peer.
    pub fn remove_offer(&mut self, vm: &VmName) {
        self.offers.remove(vm);
    }

    /// Removes all offers of a refused rules text.
    pub fn remove_offers_of(&mut self, digest: &Digest) {
        self.offers.retain(|_, o| &o.version.digest != digest);
    }

    /// Returns the time of the next timeout or possible pull.
    pub fn due(&self) -> Option<Time> {
        match &self.active {
            Some(active) => Some(active.deadline),
            None if self.validating.is_some() => self.validating.as_ref().map(|v| v.deadline),
            None => self.offers.values().map(|o| o.not_before).min(),
        }
    }
}
