//! Reads of the platform: whose turn it is, and what the answers mean.

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
use super::read::Duty;
use super::read::Rules;
use super::stage::Stage;

/// Readers of the platform in each availability zone.
const READERS_PER_ZONE: usize = 2;

/// Nodes that are told at once when a reader leaves its turn.
const SUCCESSORS: usize = 3 * READERS_PER_ZONE;

/// Age of the view up to which some reader is taken to succeed.
const OTHERS_SUCCEED: Duration = Duration::from_secs(12);

/// Age of the view after which any node may read, because no reader seems left.
const ORPHANED: Duration = Duration::from_mins(1);

/// Mean time between reads of a node that learns and hears of no version.
const LEARNING_PERIOD: Duration = Duration::from_secs(10);

/// Time of the whole fleet between two reads of nodes that are not readers.
const READ_SPACING: Duration = Duration::from_millis(100);

/// Bytes that a call on the platform takes.
const CALL_BYTES: usize = 200;

impl Fleet {
    pub(super) fn run_reader(&mut self, now: Time) {
        let duty = self.duty(now);
        self.report_duty(duty);
        if let Some(read) = self.reader.step_down(duty) {
            self.out.push(FleetAction::AbandonRead { read });
        }
        let held = self.configuration.held();
        if let Some(reads) = self.reader.timed_out(held, now) {
            let abandon = |read| FleetAction::AbandonRead { read };
            self.out.extend(reads.into_iter().map(abandon));
            self.fail_read(ReadFailure::Timeout, now);
        }
        if let Some(call) = self.reader.start(duty, now, &mut self.rng) {
            self.call(call, now);
        }
        if matches!(duty, Duty::Watch { .. })
            && let Some(call) = self.reader.start_list(now, &mut self.rng)
        {
            self.call(call, now);
        }
        if self.own.unwell != self.reader.is_unwell(now) {
            self.restate(now);
            self.tell_successors(now);
        }
    }

    /// Tells the next in the order at once that this node leaves or takes its turn.
    fn tell_successors(&mut self, now: Time) {
        let own = &self.cfg.vm;
        let order = self.reader_order.iter().filter(|vm| *vm != own);
        let next: Vec<_> = order.take(SUCCESSORS).cloned().collect();
        for vm in next {
            if let Some(peer) = self.members.get(&vm).map(|m| m.peer) {
                self.send(peer, Some(&vm), DatagramBody::Announce, now);
            }
        }
    }

    fn report_duty(&mut self, duty: Duty) {
        let reads = matches!(duty, Duty::Watch { .. });
        if std::mem::replace(&mut self.reads, reads) != reads {
            self.out.push(FleetAction::Report(Report::Reader(reads)));
            if reads {
                self.reader.take_turn();
            }
        }
    }

    fn call(&mut self, call: Call, now: Time) {
        if self
            .traffic
            .take(TrafficKind::Source, CALL_BYTES, now)
            .is_err()
        {
            self.fail_read(ReadFailure::Unreachable, now);
            return;
        }
        self.out.push(FleetAction::Read {
            read: call.read,
            query: call.query,
            deadline: call.deadline,
        });
    }

    fn duty(&self, now: Time) -> Duty {
        if !self.cfg.source {
            return Duty::Off;
        }
        if self.configuration.held().is_none() {
            return self.learning_duty();
        }
        if self.is_selected(now) {
            return Duty::Watch {
                rest: self.watch_rest(),
            };
        }
        if self.view.is_younger(ORPHANED, now) {
            return Duty::Off;
        }
        Duty::Sometimes {
            period: ORPHANED.max(self.fleet_spacing()),
        }
    }

    fn learning_duty(&self) -> Duty {
        let asked = matches!(&self.stage, Stage::Learning(l) if !l.is_unanswered());
        let period = if self.cfg.seeds.is_empty() {
            Duration::ZERO
        } else {
            LEARNING_PERIOD
        };
        if asked && self.puller.newest() > self.version() {
            Duty::Off
        } else {
            Duty::Sometimes { period }
        }
    }

    /// Readers of a zone that seems lost pause, as all of them may think so.
    fn watch_rest(&self) -> Duration {
        if self.members.is_zone_lost(&self.cfg.zone) {
            self.fleet_spacing()
        } else {
            Duration::ZERO
        }
    }

    fn fleet_spacing(&self) -> Duration {
        READ_SPACING * u32::try_from(self.members.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether this node is among the first of its zone that can read.
    fn is_selected(&self, now: Time) -> bool {
        let order = &self.reader_order;
        let well = order.iter().filter(|vm| self.can_read(vm, now));
        let mut chosen: Vec<_> = well.take(READERS_PER_ZONE).collect();
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

    fn on_rules(&mut self, rules: Rules, now: Time) {
        let version = self.version();
        let digest = Digest::of(&rules.value);
        let same = rules.index == version.index && digest == version.digest;
        if rules.parts.is_empty() && (same || self.reader.is_known(rules.index, digest, version)) {
            self.succeed_read(false, now);
            return;
        }
        self.reader.begin_judging(rules.index, digest, now);
        self.out.push(FleetAction::Prepare(Box::new(Prepare::Read {
            base: self.configuration.base(),
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

    /// Ends a read whose value was judged; a good one gave a version.
    pub(super) fn end_read(&mut self, proven: bool, version: Option<Version>, now: Time) {
        if proven {
            self.reader.remember(version);
            self.succeed_read(true, now);
        } else {
            self.fail_read(ReadFailure::Malformed, now);
        }
    }

    fn succeed_read(&mut self, news: bool, now: Time) {
        self.view.touch(now);
        let duty = self.duty(now);
        self.reader.succeed(news, duty, now, &mut self.rng);
    }

    pub(super) fn on_went_back(&mut self, index: Index, now: Time) {
        self.out
            .push(FleetAction::Report(Report::SourceWentBack { index }));
        self.fail_read(ReadFailure::Status, now);
    }

    pub(super) fn on_read_failed(&mut self, read: ReadId, failure: ReadFailure, now: Time) {
        if !self.reader.finish_list(read) && self.reader.is_current(read) {
            self.fail_read(failure, now);
        }
        self.run_reader(now);
    }

    fn fail_read(&mut self, failure: ReadFailure, now: Time) {
        let others_succeed = self.view.is_younger(OTHERS_SUCCEED, now);
        let duty = self.duty(now);
        self.reader
            .fail(failure, duty, others_succeed, now, &mut self.rng);
    }
}
