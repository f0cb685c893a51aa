//! Distribution of a newer configuration: pulls, installation and
//! announcements.

use celeryshore_model::Digest;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;

use super::Fleet;
use super::event::FleetAction;
use super::event::PullId;
use super::event::Report;
use super::message::DatagramBody;
use super::prepare::Candidate;
use super::prepare::Origin;
use super::prepare::Prepare;
use super::prepare::Prepared;
use super::pull::PullReply;
use super::pull::PullRequest;
use super::puller::ActivePull;
use super::rendezvous;
use super::stage::StageKind;

/// Number of peers in the same zone to which a newer version is announced.
const ANNOUNCE_IN_ZONE: usize = 3;

/// Number of peers in other zones to which a newer version is announced.
const ANNOUNCE_IN_OTHER_ZONES: usize = 1;

impl Fleet {
    pub(super) fn start_pull(&mut self, now: Time) {
        let Some(active) = self.puller.start(now, &mut self.rng) else {
            return;
        };
        let base = if active.full {
            Version::default()
        } else {
            self.version()
        };
        self.out.push(FleetAction::Pull {
            pull: active.pull,
            control: active.control,
            request: PullRequest { base },
            deadline: active.deadline,
        });
    }

    pub(super) fn on_pulled(&mut self, pull: PullId, reply: PullReply, now: Time) {
        let Some(active) = self.puller.finish(pull) else {
            return;
        };
        match reply {
            PullReply::NotNewer { .. } => self.puller.remove_offer(&active.vm),
            PullReply::Busy {
                retry_after,
                others,
            } => {
                let newest = self.puller.newest();
                self.puller.postpone(&active.vm, retry_after, now);
                for helper in others.iter().filter(|h| h.vm != self.cfg.vm) {
                    let current = self.configuration.version();
                    self.puller
                        .offer_if_unknown(&helper.vm, helper.control, newest, current, now);
                }
            }
            PullReply::Deltas(steps) => {
                let prepare = self
                    .configuration
                    .rules()
                    .map(|base| Prepare::Deltas { base, steps });
                self.validate(&active, prepare, now);
            }
            PullReply::Snapshot { version, packed } => {
                let newer = version > self.version();
                let prepare = newer.then_some(Prepare::Snapshot { version, packed });
                self.validate(&active, prepare, now);
            }
        }
    }

    fn validate(&mut self, active: &ActivePull, prepare: Option<Prepare>, now: Time) {
        if let Some(prepare) = prepare {
            self.puller.begin_validation(&active.vm, now);
            self.out.push(FleetAction::Prepare(Box::new(prepare)));
        } else {
            self.puller.postpone_after_failure(&active.vm, now);
        }
    }

    pub(super) fn on_pull_failed(&mut self, pull: PullId, now: Time) {
        if let Some(active) = self.puller.finish(pull) {
            self.puller.postpone_after_failure(&active.vm, now);
        }
    }

    pub(super) fn catch_up(&mut self, version: Version, from: &VmName, now: Time) {
        let current = self.version();
        if let Some(control) = self.members.get(from).map(|m| m.control) {
            self.puller.offer(from, control, version, current, now);
        }
    }

    pub(super) fn on_prepared(&mut self, prepared: Prepared, now: Time) {
        match prepared {
            Prepared::Ready { origin, candidate } => self.on_ready(origin, candidate, now),
            Prepared::NeedParts {
                index,
                manifest,
                keys,
            } => self.read_parts(index, manifest, keys, now),
            Prepared::Refused {
                origin,
                digest,
                error,
            } => {
                self.end_validation(origin, true, None, now);
                self.refuse(digest, error);
            }
            Prepared::Unverified(origin) => {
                self.out
                    .push(FleetAction::Report(Report::VerificationFailed));
                self.end_validation(origin, false, None, now);
            }
            Prepared::Packed { version, packed } => {
                self.is_packing = false;
                self.configuration.set_packed(version, packed);
            }
        }
    }

    fn refuse(&mut self, digest: Digest, error: celeryshore_rules::Error) {
        self.puller.remove_offers_of(&digest);
        if self.configuration.refuse(digest, error.clone()) {
            let report = Report::Refused { digest, error };
            self.out.push(FleetAction::Report(report));
        }
    }

    fn on_ready(&mut self, origin: Origin, candidate: Candidate, now: Time) {
        let current = self.version();
        let version = candidate.rules.version;
        let is_older = version < current;
        if self.configuration.install(candidate, now) {
            self.on_installed(now);
        }
        if origin == Origin::Source && is_older {
            self.on_stale_source(version.index, now);
        } else {
            self.end_validation(origin, true, Some(version), now);
        }
    }

    fn end_validation(
        &mut self,
        origin: Origin,
        verified: bool,
        version: Option<Version>,
        now: Time,
    ) {
        match origin {
            Origin::Peer => self.puller.end_validation(verified, now),
            Origin::Source => self.end_read(verified, version, now),
        }
    }

    fn on_installed(&mut self, now: Time) {
        let Some(snapshot) = self.configuration.current().map(|c| c.snapshot.clone()) else {
            return;
        };
        self.puller.expire(snapshot.version, now);
        if self.members.sync(&snapshot, now) {
            self.prober
                .sync(&self.cfg.zone, &self.members, &mut self.rng);
            self.order_readers(&snapshot);
        }
        if self.stage() != StageKind::Learning {
            self.out.push(FleetAction::Configured(snapshot));
        }
        self.announce(now);
    }

    fn order_readers(&mut self, snapshot: &Snapshot) {
        let zone = &self.cfg.zone;
        let upstreams = snapshot.upstreams.values();
        self.reader_order = upstreams
            .filter(|u| &u.zone == zone)
            .map(|u| u.vm.clone())
            .collect();
        self.reader_order
            .sort_by_cached_key(|vm| rendezvous::rank(zone, vm));
    }

    /// Announces the version in effect to a few random peers.
    fn announce(&mut self, now: Time) {
        let zone = self.cfg.zone.clone();
        let mut chosen = self.random_members(ANNOUNCE_IN_ZONE, |m| m.zone == zone);
        chosen.extend(self.random_members(ANNOUNCE_IN_OTHER_ZONES, |m| m.zone != zone));
        for vm in chosen {
            if let Some(peer) = self.members.get(&vm).map(|m| m.peer) {
                self.send(peer, Some(&vm), DatagramBody::Announce, now);
            }
        }
    }
}
