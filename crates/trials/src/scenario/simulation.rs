//! All nodes and fakes of a scenario, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_kernel::CallId;
use celeryshore_kernel::Event;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Progress;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::WorkId;
use celeryshore_model::Attempt;
use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::WallTime;
use celeryshore_model::ZoneName;

use super::caller;
use super::caller::Keys;
use super::connection::LinkId;
use super::connection::Links;
use super::deployment;
use super::event_queue::Agenda;
use super::event_queue::Happening;
use super::event_queue::Life;
use super::network::Network;
use super::node::Node;
use super::node::Process;
use super::node::Start;
use super::node::System;
use super::platform::Platform;
use super::recorder::CallRecord;
use super::recorder::Record;
use super::script::Load;
use super::script::Place;

/// Wall-clock time at the start of every scenario.
const WALL_START: WallTime = WallTime::from_millis(1_700_000_000_000);

/// Time from one report of a target's phase to the next.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// All nodes and fakes, and what was seen of them.
#[derive(Debug)]
pub(super) struct World {
    pub(super) system: System,
    pub(super) now: Time,
    pub(super) rng: fastrand::Rng,
    pub(super) agenda: Agenda,
    pub(super) nodes: Vec<Node>,
    pub(super) addresses: BTreeMap<SocketAddr, usize>,
    pub(super) links: Links,
    pub(super) network: Network,
    pub(super) platform: Platform,
    pub(super) record: Record,
    pub(super) keys: Keys,
    calls: u64,
}

impl World {
    /// Makes a world without nodes.
    pub(super) fn new(system: System, seed: u64) -> Self {
        Self {
            system,
            now: Time::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            agenda: Agenda::default(),
            nodes: Vec::new(),
            addresses: BTreeMap::new(),
            links: Links::default(),
            network: Network::new(),
            platform: Platform::default(),
            record: Record::default(),
            keys: Keys::default(),
            calls: 0,
        }
    }

    /// Adds VMs, one in each zone in turn, and starts their nodes.
    pub(super) fn add_nodes(&mut self, zones: &[ZoneName]) {
        for (node, zone) in zones.iter().enumerate() {
            self.nodes.push(Node::new(zone.clone()));
            self.addresses.insert(deployment::peer(node), node);
            self.addresses.insert(deployment::control(node), node);
        }
        for node in 0..self.nodes.len() {
            self.start(node);
        }
        self.agenda.add(self.now, Happening::Watches);
    }

    /// Reads both clocks.
    pub(super) fn clocks(&self) -> Now {
        Now {
            mono: self.now,
            wall: WALL_START + (self.now - Time::ZERO),
        }
    }

    /// Returns the nodes of a place.
    pub(super) fn nodes_of(&self, place: &Place) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        let of_place = nodes.filter(|node| match place {
            Place::Everywhere => true,
            Place::Zone(zone) => self.nodes[*node].zone == *zone,
            Place::Node(number) => node + 1 == *number,
        });
        of_place.collect()
    }

    /// Starts a node's process, unless it lives.
    pub(super) fn start(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            return;
        }
        let learnable = self.newest_in_reach(node);
        self.record.restarted(node, learnable);
        let mut seeds: Vec<_> = (0..self.nodes.len()).collect();
        self.rng.shuffle(&mut seeds);
        let start = Start {
            now: self.clocks(),
            seed: self.rng.u64(..),
            seeds: &seeds,
        };
        self.nodes[node].start(self.system, node, start);
        let Some(life) = self.life(node) else {
            return;
        };
        self.deliver(self.now, life, FleetEvent::Tick);
        self.deliver(self.now, life, RequestEvent::Tick);
        self.agenda.add(self.now, Happening::Probe(life));
    }

    /// Returns the newest version of the nodes that a node can reach.
    fn newest_in_reach(&self, node: usize) -> Version {
        let in_force = self.record.in_force.iter();
        let in_reach = in_force.filter(|(other, _)| {
            let is_running = self.nodes[**other].is_running(self.now);
            is_running && !self.network.is_cut(node, **other)
        });
        let versions = in_reach.map(|(_, version)| *version);
        versions.max().unwrap_or_default()
    }

    /// Ends a node's process and its target; its connections break.
    pub(super) fn kill(&mut self, node: usize) {
        self.nodes[node].process = None;
        self.record.in_force.remove(&node);
        for id in self.links.of(node) {
            self.break_link(id, node);
        }
    }

    /// A connection over a cut stays open until its deadline.
    fn break_link(&mut self, id: LinkId, dead: usize) {
        let Some(link) = self.links.get(id).copied() else {
            return;
        };
        if self.network.is_cut(link.from.node, link.to) && link.to == dead {
            return;
        }
        self.links.close(id);
        let at = self.now + self.network.latency(&mut self.rng);
        if link.to == dead {
            self.deliver(at, link.from, link.failure(Progress::MaybeSent));
        } else if let Some((life, event)) = self.life(link.to).zip(link.withdrawal(id)) {
            self.deliver(at.max(link.arrival), life, event);
        }
    }

    /// Returns the present life of a node.
    pub(super) fn life(&self, node: usize) -> Option<Life> {
        let incarnation = self.nodes[node].process.as_ref()?.incarnation;
        Some(Life { node, incarnation })
    }

    /// Returns the process of a life, unless it is over.
    pub(super) fn process(&mut self, life: Life) -> Option<&mut Process> {
        let process = self.nodes[life.node].process.as_mut();
        process.filter(|process| process.incarnation == life.incarnation)
    }

    /// Has an event reach a node.
    pub(super) fn deliver(&mut self, at: Time, life: Life, event: impl Into<Event>) {
        let event = Box::new(event.into());
        self.agenda.add(at, Happening::Event(life, event));
    }

    /// Sends a caller's request to a node.
    pub(super) fn call(
        &mut self,
        node: usize,
        kind: &str,
        key: Option<&str>,
        attempt: Option<Attempt>,
    ) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        let request = caller::request(call, kind, key, attempt);
        let record = CallRecord {
            operation: caller::operation(call, key),
            answer: None,
        };
        self.record.calls.insert(call, record);
        if let Some(life) = self.life(node) {
            self.deliver(self.now, life, RequestEvent::Arrived { call, request });
        }
        call
    }

    /// Lets time pass until `end`, or until `is_done`.
    pub(super) fn run_until(&mut self, end: Time, is_done: impl Fn(&Self) -> bool) -> bool {
        while !is_done(self) {
            let Some((at, happening)) = self.agenda.next(end) else {
                self.now = self.now.max(end);
                return is_done(self);
            };
            self.now = self.now.max(at);
            self.happen(happening);
        }
        true
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Event(life, event) => self.handle(life, *event),
            Happening::FleetTick(life) => self.wake_fleet(life),
            Happening::RequestTick(life) => self.wake_requests(life),
            Happening::Work(life, work) => self.finish_work(life, work),
            Happening::Probe(life) => self.probe(life),
            Happening::Expiry(id) => self.expire(id),
            Happening::Watches => self.answer_watches(),
            Happening::Leaving(node) => self.platform.leaving.push(deployment::vm(node)),
            Happening::Load(load) => self.load(load),
        }
    }

    /// Gives an event to a node; a frozen one gets it when it wakes up.
    pub(super) fn handle(&mut self, life: Life, event: Event) {
        if self.life(life.node) != Some(life) {
            return;
        }
        let frozen_until = self.nodes[life.node].frozen_until;
        if frozen_until > self.now {
            self.deliver(frozen_until, life, event);
            return;
        }
        let clocks = self.clocks();
        let mut actions = Vec::new();
        if let Some(process) = self.process(life) {
            process.handle(clocks, event, &mut actions);
        }
        for action in actions {
            self.act(life, action);
        }
    }

    fn wake_fleet(&mut self, life: Life) {
        let now = self.now;
        let process = self.process(life);
        let wake = process.and_then(|p| p.fleet_wake.take_if(|wake| *wake <= now));
        if wake.is_some() {
            self.handle(life, FleetEvent::Tick.into());
        }
    }

    fn wake_requests(&mut self, life: Life) {
        let now = self.now;
        let process = self.process(life);
        let wake = process.and_then(|p| p.request_wake.take_if(|wake| *wake <= now));
        if wake.is_some() {
            self.handle(life, RequestEvent::Tick.into());
        }
    }

    fn finish_work(&mut self, life: Life, work: WorkId) {
        if self.life(life.node) != Some(life) {
            return;
        }
        if let Some(outcome) = self.nodes[life.node].target.end(work) {
            self.report_work(life, work, outcome);
        }
    }

    pub(super) fn report_work(&mut self, life: Life, work: WorkId, outcome: Outcome) {
        self.handle(life, RequestEvent::Finished { work, outcome }.into());
    }

    fn probe(&mut self, life: Life) {
        if self.life(life.node) != Some(life) {
            return;
        }
        let claimed = self.nodes[life.node].target.phase(self.now);
        self.handle(life, RequestEvent::PhaseReported { claimed }.into());
        let at = self.now + PROBE_PERIOD;
        self.agenda.add(at, Happening::Probe(life));
    }

    fn expire(&mut self, id: LinkId) {
        let Some(link) = self.links.close(id) else {
            return;
        };
        self.handle(link.from, link.failure(Progress::MaybeSent));
        self.withdraw(id, &link);
    }

    /// Sends one request of a steady load to a live node, and plans the next.
    fn load(&mut self, mut load: Load) {
        let clocks = self.clocks().mono;
        let mut nodes = self.nodes_of(&load.place);
        nodes.retain(|node| self.nodes[*node].is_running(clocks) && !self.nodes[*node].draining);
        if let Some(node) = self.rng.choice(nodes) {
            self.call(node, &load.kind, None, None);
        }
        let interval = caller::interval(load.per_second);
        if load.time > interval {
            load.time -= interval;
            self.agenda.add(self.now + interval, Happening::Load(load));
        }
    }
}
