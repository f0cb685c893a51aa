//! Pulls of a newer configuration from peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::Digest;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;

use super::event::PullId;

/// Time after which a pull is given up and another peer is asked.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a peer's version must have been heard again to count.
const OFFER_LIFETIME: Duration = Duration::from_secs(10);

/// Time for which a peer is left alone after a pull from it broke.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

/// Time after which a judgement that was not reported counts as lost.
const VALIDATION_TIMEOUT: Duration = Duration::from_secs(10);

const MAX_OFFERS: usize = 16;

#[derive(Debug)]
struct Offer {
    control: SocketAddr,
    version: Version,
    received: Time,
    not_before: Time,
}

/// A pull that is under way.
#[derive(Clone, Debug)]
pub struct ActivePull {
    /// Number of the pull.
    pub pull: PullId,
    /// VM of the peer.
    pub vm: VmName,
    /// Where the peer serves its configuration.
    pub control: SocketAddr,
    /// When it is given up.
    pub deadline: Time,
    /// Whether the peer is asked for the whole configuration.
    pub full: bool,
}

/// A judgement that is under way.
#[derive(Debug)]
struct Validating {
    vm: VmName,
    deadline: Time,
}

/// Chooses peers that hold something newer, one pull at a time.
#[derive(Debug, Default)]
pub struct Puller {
    offers: BTreeMap<VmName, Offer>,
    active: Option<ActivePull>,
    validating: Option<Validating>,
    full: bool,
    sequence: u64,
}

impl Puller {
    /// Notes that a peer holds `version`.
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

    /// Drops offers that are out of date.
    pub fn expire(&mut self, current: Version, now: Time) {
        self.offers
            .retain(|_, o| o.version > current && now - o.received < OFFER_LIFETIME);
    }

    /// Returns the newest version that any peer offers.
    pub fn newest(&self) -> Version {
        self.offers
            .values()
            .map(|o| o.version)
            .max()
            .unwrap_or_default()
    }

    /// Starts a pull if a peer offers something and none is under way.
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

    /// Ends the pull if it is the one under way.
    pub fn finish(&mut self, pull: PullId) -> Option<ActivePull> {
        self.active.take_if(|a| a.pull == pull)
    }

    /// Ends a pull whose time is over.
    pub fn time_out(&mut self, now: Time) -> Option<ActivePull> {
        self.validating.take_if(|v| v.deadline <= now);
        self.active.take_if(|a| a.deadline <= now)
    }

    /// Ends whatever is under way, after a freeze.
    pub fn reset(&mut self) {
        self.active = None;
        self.offers.clear();
    }

    /// Leaves a peer alone for a while.
    pub fn postpone(&mut self, vm: &VmName, wait: Duration, now: Time) {
        if let Some(offer) = self.offers.get_mut(vm) {
            offer.not_before = now + wait;
        }
    }

    /// Leaves a peer alone after a pull from it broke.
    pub fn postpone_after_failure(&mut self, vm: &VmName, now: Time) {
        self.postpone(vm, FAILURE_DELAY, now);
    }

    /// Notes that what a peer sent is being judged.
    pub fn begin_validation(&mut self, vm: &VmName, now: Time) {
        self.validating = Some(Validating {
            vm: vm.clone(),
            deadline: now + VALIDATION_TIMEOUT,
        });
    }

    /// Notes that what a peer sent was judged.
    ///
    /// After a failed proof the peer is left alone, and the next one is asked for
    /// the whole configuration.
    pub fn end_validation(&mut self, verified: bool, now: Time) {
        self.full = !verified;
        if let Some(validating) = self.validating.take().filter(|_| !verified) {
            self.postpone_after_failure(&validating.vm, now);
        }
    }

    /// Notes that a peer may hold `version`, if nothing is known of it.
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

    /// Forgets a peer's offer.
    pub fn remove_offer(&mut self, vm: &VmName) {
        self.offers.remove(vm);
    }

    /// Forgets all offers of a text that was refused.
    pub fn remove_offers_of(&mut self, digest: &Digest) {
        self.offers.retain(|_, o| &o.version.digest != digest);
    }

    /// Returns when the puller wants to act again.
    pub fn due(&self) -> Option<Time> {
        match &self.active {
            Some(active) => Some(active.deadline),
            None if self.validating.is_some() => self.validating.as_ref().map(|v| v.deadline),
            None => self.offers.values().map(|o| o.not_before).min(),
        }
    }
}
