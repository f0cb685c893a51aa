//! Members of the fleet: the configuration lists them, failure detection adds
//! their liveness.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

use super::change::Change;
use super::member::Liveness;
use super::member::Member;
use super::member::MemberState;
use super::message::Sender;
use super::message::Update;
use super::zone::ZoneView;

/// Time to refute a suspicion in a fleet of less than 100 members.
///
/// A suspect receives no new work, so a long timeout costs little.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time to answer the final ping before a suspect is declared dead.
const FINAL_PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Time by which the platform's list of VMs may lag behind the start of a VM.
const MAX_LIST_LAG: Duration = Duration::from_secs(30);

/// All members except this node.
#[derive(Debug)]
pub struct Members {
    own: VmName,
    rng: fastrand::Rng,
    map: BTreeMap<VmName, Member>,
    zones: BTreeMap<ZoneName, ZoneView>,
    deadlines: BTreeSet<(Time, VmName)>,
    changes: Vec<Change>,
}

impl Members {
    /// Creates an empty list for the node on the VM `own`.
    pub fn new(own: VmName, seed: u64) -> Self {
        Self {
            own,
            rng: fastrand::Rng::with_seed(seed),
            map: BTreeMap::new(),
            zones: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            changes: Vec::new(),
        }
    }

    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.map.get(vm)
    }

    /// Returns all members, ordered by VM name.
    pub fn iter(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.map.iter()
    }

    /// Returns the number of members, without this node.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Returns the number of zones that have members other than this node.
    pub fn zones(&self) -> usize {
        self.zones.len()
    }

    /// Returns the zones that are lost.
    pub fn lost_zones(&self) -> impl Iterator<Item = &ZoneName> {
        let lost = self.zones.iter().filter(|(_, view)| view.is_lost());
        lost.map(|(zone, _)| zone)
    }

    /// Returns `true` if most members of the zone failed at the same time.
    pub fn is_zone_lost(&self, zone: &ZoneName) -> bool {
        self.zones.get(zone).is_some_and(ZoneView::is_lost)
    }

    /// Returns `true` if the member is in a lost zone.
    pub fn is_in_lost_zone(&self, vm: &VmName) -> bool {
        let member = self.map.get(vm);
        member.is_some_and(|m| self.is_zone_lost(&m.zone))
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Replaces the members by those that a configuration lists. Returns `true`
    /// if members were added or removed.
    pub fn sync(&mut self, snapshot: &Snapshot, now: Time) -> bool {
        let mut old = std::mem::take(&mut self.map);
        let mut changed = false;
        for upstream in snapshot.upstreams.values() {
            if upstream.vm == self.own {
                continue;
            }
            let known = old
                .remove(&upstream.vm)
                .filter(|m| m.peer == upstream.peer && m.zone == upstream.zone);
            changed |= known.is_none();
            let mut member = known.unwrap_or_else(|| Member::new(upstream, now));
            member.control = upstream.control;
            self.map.insert(upstream.vm.clone(), member);
        }
        changed |= !old.is_empty();
        self.count_zones();
        changed
    }

    fn count_zones(&mut self) {
        let mut counts: BTreeMap<_, usize> = BTreeMap::new();
        for member in self.map.values() {
            *counts.entry(member.zone.clone()).or_default() += 1;
        }
        self.zones.retain(|zone, _| counts.contains_key(zone));
        for (zone, members) in counts {
            self.zones.entry(zone).or_default().members = members;
        }
    }

    /// Records a datagram from a member.
    pub fn record_contact(&mut self, sender: &Sender, now: Time) {
        let Some(member) = self.map.get_mut(&sender.vm) else {
            return;
        };
        let before = member.state();
        member.record_contact(sender, now);
        let zone = member.zone.clone();
        self.record_change(&sender.vm, before, now);
        let view = self.zones.get_mut(&zone);
        if view.is_some_and(|v| v.record_contact(&sender.vm, now)) {
            self.on_zone_recovered(&zone, now);
        }
    }

    /// Clears the suspicions against members of a zone that answers again.
    fn on_zone_recovered(&mut self, zone: &ZoneName, now: Time) {
        let suspects: Vec<_> = self
            .map
            .iter()
            .filter(|(_, m)| &m.zone == zone && matches!(m.liveness, Liveness::Suspect { .. }))
            .map(|(vm, _)| vm.clone())
            .collect();
        self.changes.push(Change::ZoneRecovered(zone.clone()));
        for vm in suspects {
            self.set(&vm, Liveness::Alive, now);
        }
    }

    /// Applies an update about a member that another node sent.
    pub fn apply(&mut self, update: &Update, now: Time) {
        let suspicion_timeout = self.suspicion_timeout();
        let Some(member) = self.map.get_mut(&update.vm) else {
            return;
        };
        let view = self.zones.get(&member.zone);
        let zone_recovered = view.is_some_and(|v| v.has_recently_recovered(now));
        if zone_recovered && update.state == MemberState::Suspect {
            return;
        }
        let before = member.state();
        let suspected = matches!(member.liveness, Liveness::Suspect { .. });
        if !member.apply(update, suspicion_timeout, now) {
            return;
        }
        let merged = member.update(&update.vm, now);
        let died = before != MemberState::Dead && member.is_dead();
        let newly_suspected = !suspected && matches!(member.liveness, Liveness::Suspect { .. });
        self.changes.push(Change::Gossip(merged));
        self.record_state_change(&update.vm, before);
        if newly_suspected {
            self.start_suspicion(&update.vm, now);
        }
        if died {
            self.record_death(&update.vm, now);
        }
    }

    pub fn suspect(&mut self, vm: &VmName, now: Time) {
        let deadline = now + self.suspicion_timeout();
        if self.map.get(vm).is_some_and(Member::is_alive) {
            let final_ping_sent = false;
            self.set(
                vm,
                Liveness::Suspect {
                    deadline,
                    final_ping_sent,
                },
                now,
            );
            self.start_suspicion(vm, now);
        }
    }

    fn start_suspicion(&mut self, vm: &VmName, now: Time) {
        let Some(member) = self.map.get(vm) else {
            return;
        };
        if let Liveness::Suspect { deadline, .. } = member.liveness {
            self.deadlines.insert((deadline, vm.clone()));
        }
        let zone = member.zone.clone();
        let view = self.zones.get_mut(&zone);
        if view.is_some_and(|v| v.suspect(vm, now)) {
            self.changes.push(Change::ZoneLost(zone.clone()));
            self.suspect_recent_deaths(&zone, now);
        }
    }

    /// Turns the members of a lost zone that were declared dead shortly before
    /// into suspects again.
    fn suspect_recent_deaths(&mut self, zone: &ZoneName, now: Time) {
        let view = self.zones.get_mut(zone);
        let dead = view.map(|v| v.take_recent_deaths(now)).unwrap_or_default();
        for vm in dead {
            if self.map.get(&vm).is_some_and(Member::is_dead) {
                self.suspect_dead(&vm, now);
            }
        }
    }

    /// Turns a dead member of a lost zone into a suspect.
    fn suspect_dead(&mut self, vm: &VmName, now: Time) {
        let (deadline, final_ping_sent) = (now + FINAL_PING_TIMEOUT, false);
        self.set(
            vm,
            Liveness::Suspect {
                deadline,
                final_ping_sent,
            },
            now,
        );
        self.deadlines.insert((deadline, vm.clone()));
    }

    /// Records a death. In a lost zone, the member stays a suspect instead.
    fn record_death(&mut self, vm: &VmName, now: Time) {
        let Some(zone) = self.map.get(vm).map(|m| m.zone.clone()) else {
            return;
        };
        if self.is_zone_lost(&zone) {
            self.suspect_dead(vm, now);
        } else if let Some(view) = self.zones.get_mut(&zone) {
            view.record_death(vm, now);
        }
    }

    /// Marks a member as leaving because the platform's list of VMs says so.
    ///
    /// Ignored for members that started recently: the list may still describe
    /// the previous incarnation.
    pub fn mark_leaving(&mut self, vm: &VmName, now: Time) {
        let Some(member) = self.map.get_mut(vm) else {
            return;
        };
        if member.leaving || now - member.since < MAX_LIST_LAG {
            return;
        }
        let before = member.state();
        member.leaving = true;
        self.record_change(vm, before, now);
    }

    /// Handles suspicions whose deadline passed: sends a final ping, then
    /// declares the member dead.
    pub fn expire_suspicions(&mut self, now: Time) {
        while let Some((due, vm)) = self.deadlines.pop_first() {
            if due > now {
                self.deadlines.insert((due, vm));
                return;
            }
            self.expire_suspicion(due, &vm, now);
        }
    }

    fn expire_suspicion(&mut self, due: Time, vm: &VmName, now: Time) {
        let Some(member) = self.map.get_mut(vm) else {
            return;
        };
        let Liveness::Suspect {
            deadline,
            final_ping_sent,
        } = member.liveness
        else {
            return;
        };
        if deadline != due {
            return;
        }
        let lost = self.zones.get(&member.zone).is_some_and(ZoneView::is_lost);
        if final_ping_sent && !lost {
            self.set(vm, Liveness::Dead, now);
            self.record_death(vm, now);
            return;
        }
        let deadline = now + FINAL_PING_TIMEOUT;
        let final_ping_sent = !lost;
        member.liveness = Liveness::Suspect {
            deadline,
            final_ping_sent,
        };
        self.deadlines.insert((deadline, vm.clone()));
        if final_ping_sent {
            self.changes.push(Change::Ping(vm.clone()));
        }
    }

    /// Clears suspicions that a freeze of this node may have caused.
    pub fn reset(&mut self, now: Time) {
        self.deadlines.clear();
        self.zones.values_mut().for_each(ZoneView::reset);
        let suspects: Vec<_> = self
            .map
            .iter()
            .filter(|(_, m)| matches!(m.liveness, Liveness::Suspect { .. }))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in suspects {
            self.set(&vm, Liveness::Alive, now);
        }
    }

    fn set(&mut self, vm: &VmName, liveness: Liveness, now: Time) {
        if let Some(member) = self.map.get_mut(vm) {
            let before = member.state();
            member.liveness = liveness;
            self.record_change(vm, before, now);
        }
    }

    fn record_change(&mut self, vm: &VmName, before: MemberState, now: Time) {
        let Some(member) = self.map.get(vm) else {
            return;
        };
        if member.state() != before {
            self.changes.push(Change::Gossip(member.update(vm, now)));
            self.record_state_change(vm, before);
        }
    }

    fn record_state_change(&mut self, vm: &VmName, before: MemberState) {
        let state = self.map.get(vm).map(Member::state);
        if let Some(state) = state.filter(|s| *s != before) {
            let vm = vm.clone();
            self.changes.push(Change::State { vm, state });
        }
    }

    /// Returns the time that a suspect has to refute a suspicion.
    ///
    /// The time grows with the logarithm of the fleet size, because updates
    /// take longer to spread in a large fleet. It is randomized so that nodes
    /// time out one after another: the final ping of the first one makes those
    /// of the others unnecessary.
    fn suspicion_timeout(&mut self) -> Duration {
        let digits = self.map.len().max(1).ilog10().max(1);
        let scale = f64::from(digits + 1) / 2.0 + self.rng.f64() / 4.0;
        SUSPICION_TIMEOUT.mul_f64(scale)
    }

    /// Returns the earliest deadline of a suspicion.
    pub fn due(&self) -> Option<Time> {
        self.deadlines.first().map(|(due, _)| *due)
    }
}
