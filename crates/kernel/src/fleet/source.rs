//! Reads of the platform: selection of the readers, and handling of the
//! responses.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Digest;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;

use super::Fleet;
use super::budget::TrafficKind;
use super::event::FleetAction;
use super::event::ReadAnswer;
use super::event::ReadFailure;
use super::event::ReadId;
use super::event::Report;
use super::message::DatagramBody;
use super::prepare::Prepare;
use super::read::Call;
use super::read::ReadMode;
use super::read::RulesValue;
use super::stage::Stage;

/// Number of readers of the platform in each availability zone.
const READERS_PER_ZONE: usize = 2;

/// Number of nodes that are notified at once when a reader gives up its role.
const NOTIFIED_READERS: usize = 3 * READERS_PER_ZONE;

/// Age of the view up to which some reader is assumed to succeed.
const READERS_WORKING_VIEW_AGE: Duration = Duration::from_secs(12);

/// Age of the view from which any node may read, because no reader seems to be
/// left.
const NO_READER_VIEW_AGE: Duration = Duration::from_mins(1);

/// Mean time between reads of a learning node to which no peer offers a
/// version.
const LEARNING_READ_PERIOD: Duration = Duration::from_secs(10);

/// Mean time between the reads of the whole fleet while every node may read.
const FLEET_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Size in bytes that the rate limit assumes for a call to the platform.
const SOURCE_CALL_BYTES: usize = 200;

impl Fleet {
    pub(super) fn run_reader(&mut self, now: Time) {
        let mode = self.read_mode(now);
        self.update_reader_role(mode);
        if let Some(read) = self.reader.step_down(mode) {
            self.out.push(FleetAction::AbandonRead { read });
        }
        let current = self.configuration.current();
        if let Some(reads) = self.reader.timed_out(current, now) {
            let abandon = |read| FleetAction::AbandonRead { read };
            self.out.extend(reads.into_iter().map(abandon));
            self.record_read_failure(ReadFailure::Timeout, now);
        }
        if let Some(call) = self.reader.start(mode, now, &mut self.rng) {
            self.call(call, now);
        }
        if matches!(mode, ReadMode::Watch { .. })
            && let Some(call) = self.reader.start_list(now, &mut self.rng)
        {
            self.call(call, now);
        }
        if self.own.unwell != self.reader.is_unwell(now) {
            self.publish_own_state(now);
            self.notify_next_readers(now);
        }
    }

    /// Notifies the next nodes in the order immediately that this node gave up
    /// the reader role or takes it back.
    fn notify_next_readers(&mut self, now: Time) {
        let own = &self.cfg.vm;
        let order = self.reader_order.iter().filter(|vm| *vm != own);
        let next: Vec<_> = order.take(NOTIFIED_READERS).cloned().collect();
        for vm in next {
            if let Some(peer) = self.members.get(&vm).map(|m| m.peer) {
                self.send(peer, Some(&vm), DatagramBody::Announce, now);
            }
        }
    }

    fn update_reader_role(&mut self, mode: ReadMode) {
        let reads = matches!(mode, ReadMode::Watch { .. });
        if std::mem::replace(&mut self.is_reader, reads) != reads {
            self.out.push(FleetAction::Report(Report::Reader(reads)));
            if reads {
                self.reader.start_immediately();
            }
        }
    }

    fn call(&mut self, call: Call, now: Time) {
        if self
            .traffic
            .take(TrafficKind::Source, SOURCE_CALL_BYTES, now)
            .is_err()
        {
            self.record_read_failure(ReadFailure::Unreachable, now);
            return;
        }
        self.out.push(FleetAction::Read {
            read: call.read,
            query: call.query,
            deadline: call.deadline,
        });
    }

    fn read_mode(&self, now: Time) -> ReadMode {
        if !self.cfg.source {
            return ReadMode::Off;
        }
        if self.configuration.current().is_none() {
            return self.learning_read_mode();
        }
        if self.is_selected(now) {
            return ReadMode::Watch {
                pause: self.watch_pause(),
            };
        }
        if self.view.is_younger_than(NO_READER_VIEW_AGE, now) {
            return ReadMode::Off;
        }
        ReadMode::Occasional {
            period: NO_READER_VIEW_AGE.max(self.fleet_read_period()),
        }
    }

    fn learning_read_mode(&self) -> ReadMode {
        let has_answers = matches!(&self.stage, Stage::Learning(l) if !l.is_unanswered());
        let period = if self.cfg.seeds.is_empty() {
            Duration::ZERO
        } else {
            LEARNING_READ_PERIOD
        };
        if has_answers && self.puller.newest() > self.version() {
            ReadMode::Off
        } else {
            ReadMode::Occasional { period }
        }
    }

    /// Returns the pause between two watches.
    ///
    /// Readers of a zone that seems lost pause, because every node of the zone
    /// may consider itself a reader.
    fn watch_pause(&self) -> Duration {
        if self.members.is_zone_lost(&self.cfg.zone) {
            self.fleet_read_period()
        } else {
            Duration::ZERO
        }
    }

    fn fleet_read_period(&self) -> Duration {
        FLEET_READ_INTERVAL * u32::try_from(self.members.len()).unwrap_or(u32::MAX)
    }

    /// Returns `true` if this node is among the first nodes of its zone that
    /// can read. If there are too few of them, other live nodes fill the
    /// remaining places.
    fn is_selected(&self, now: Time) -> bool {
        let order = &self.reader_order;
        let candidates = order.iter().filter(|vm| self.can_read(vm, now));
        let mut chosen: Vec<_> = candidates.take(READERS_PER_ZONE).collect();
        if chosen.len() < READERS_PER_ZONE {
            let live = order.iter().filter(|vm| self.is_live(vm));
            let rest: Vec<_> = live.filter(|vm| !chosen.contains(vm)).collect();
            let missing = READERS_PER_ZONE - chosen.len();
            chosen.extend(rest.into_iter().take(missing));
        }
        chosen.contains(&&self.cfg.vm)
    }

    fn can_read(&self, vm: &VmName, now: Time) -> bool {
        if vm == &self.cfg.vm {
            return !self.reader.is_unwell(now) && !self.own.leaving;
        }
        let member = self.members.get(vm);
        member.is_some_and(|m| m.is_alive() && !m.leaving && !m.is_unwell(now))
    }

    fn is_live(&self, vm: &VmName) -> bool {
        let member = self.members.get(vm);
        vm == &self.cfg.vm || member.is_some_and(super::member::Member::is_alive)
    }

    pub(super) fn on_read(&mut self, read: ReadId, answer: ReadAnswer, now: Time) {
        match answer {
            ReadAnswer::Leaving(vms) => {
                if self.reader.finish_list(read) {
                    for vm in vms {
                        self.mark_leaving(&vm, now);
                    }
                }
            }
            ReadAnswer::Value { index, value } => {
                if let Some(rules) = self.reader.answer(read, index, value) {
                    self.on_rules(rules, now);
                }
            }
        }
        self.run_reader(now);
    }

    fn mark_leaving(&mut self, vm: &VmName, now: Time) {
        if vm != &self.cfg.vm {
            self.members.mark_leaving(vm, now);
        } else if !self.own.leaving {
            self.drain(now);
        }
    }

    fn on_rules(&mut self, rules: RulesValue, now: Time) {
        let version = self.version();
        let digest = Digest::of(&rules.value);
        let same = rules.index == version.index && digest == version.digest;
        if rules.parts.is_empty()
            && (same || self.reader.was_validated(rules.index, digest, version))
        {
            self.record_read_success(false, now);
            return;
        }
        self.reader.begin_validation(rules.index, digest, now);
        self.out.push(FleetAction::Prepare(Box::new(Prepare::Read {
            base: self.configuration.rules(),
            index: rules.index,
            value: rules.value,
            parts: rules.parts,
        })));
    }

    pub(super) fn read_parts(
        &mut self,
        index: Index,
        manifest: Bytes,
        keys: Vec<String>,
        now: Time,
    ) {
        for call in self.reader.start_parts(index, manifest, keys, now) {
            self.call(call, now);
        }
    }

    /// Ends a read after its value was prepared. `version` is absent if the
    /// rules text was refused or could not be verified.
    pub(super) fn end_read(&mut self, verified: bool, version: Option<Version>, now: Time) {
        if verified {
            self.reader.record_validation(version);
            self.record_read_success(true, now);
        } else {
            self.record_read_failure(ReadFailure::Malformed, now);
        }
    }

    fn record_read_success(&mut self, changed: bool, now: Time) {
        self.view.record_contact(now);
        let mode = self.read_mode(now);
        self.reader
            .record_success(changed, mode, now, &mut self.rng);
    }

    pub(super) fn on_stale_source(&mut self, index: Index, now: Time) {
        self.out
            .push(FleetAction::Report(Report::StaleSource { index }));
        self.record_read_failure(ReadFailure::Status, now);
    }

    pub(super) fn on_read_failed(&mut self, read: ReadId, failure: ReadFailure, now: Time) {
        if !self.reader.finish_list(read) && self.reader.is_current(read) {
            self.record_read_failure(failure, now);
        }
        self.run_reader(now);
    }

    fn record_read_failure(&mut self, failure: ReadFailure, now: Time) {
        let others_succeed = self.view.is_younger_than(READERS_WORKING_VIEW_AGE, now);
        let mode = self.read_mode(now);
        self.reader
            .record_failure(failure, mode, others_succeed, now, &mut self.rng);
    }
}
