//! Simulation of the nodes and everything around them, in virtual time.

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
use super::connection::ConnectionId;
use super::connection::Connections;
use super::deployment;
use super::event_queue::EventQueue;
use super::event_queue::ProcessId;
use super::event_queue::SimEvent;
use super::network::Network;
use super::node::Node;
use super::node::Process;
use super::node::Start;
use super::node::System;
use super::platform::Platform;
use super::recorder::CallRecord;
use super::recorder::Recorder;
use super::script::Load;
use super::script::Place;

/// Wall-clock time at the start of every scenario.
const WALL_START: WallTime = WallTime::from_millis(1_700_000_000_000);

/// Interval at which a target reports its phase.
const PHASE_REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Nodes, simulated network and platform, pending events and observations.
#[derive(Debug)]
pub(super) struct Simulation {
    pub(super) system: System,
    pub(super) now: Time,
    pub(super) rng: fastrand::Rng,
    pub(super) events: EventQueue,
    pub(super) nodes: Vec<Node>,
    /// Nodes by their peer and control addresses.
    pub(super) addresses: BTreeMap<SocketAddr, usize>,
    pub(super) connections: Connections,
    pub(super) network: Network,
    pub(super) platform: Platform,
    pub(super) recorder: Recorder,
    pub(super) keys: Keys,
    calls: u64,
}

impl Simulation {
    /// Returns a simulation without nodes.
    pub(super) fn new(system: System, seed: u64) -> Self {
        Self {
            system,
            now: Time::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            events: EventQueue::default(),
            nodes: Vec::new(),
            addresses: BTreeMap::new(),
            connections: Connections::default(),
            network: Network::new(),
            platform: Platform::default(),
            recorder: Recorder::default(),
            keys: Keys::default(),
            calls: 0,
        }
    }

    /// Adds a VM for each of the zones and starts their nodes.
    pub(super) fn add_nodes(&mut self, zones: &[ZoneName]) {
        for (node, zone) in zones.iter().enumerate() {
            self.nodes.push(Node::new(zone.clone()));
            self.addresses.insert(deployment::peer(node), node);
            self.addresses.insert(deployment::control(node), node);
        }
        for node in 0..self.nodes.len() {
            self.start(node);
        }
        self.events.add(self.now, SimEvent::CheckWatches);
    }

    /// Returns the current time of the monotonic and the wall clock.
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

    /// Starts a node's process, unless it has one.
    pub(super) fn start(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            return;
        }
        let learnable = self.newest_reachable_version(node);
        self.recorder.record_restart(node, learnable);
        let mut seed_nodes: Vec<_> = (0..self.nodes.len()).collect();
        self.rng.shuffle(&mut seed_nodes);
        let start = Start {
            now: self.clocks(),
            seed: self.rng.u64(..),
            seed_nodes: &seed_nodes,
        };
        self.nodes[node].start(self.system, node, start);
        let Some(pid) = self.pid(node) else {
            return;
        };
        self.deliver(self.now, pid, FleetEvent::Tick);
        self.deliver(self.now, pid, RequestEvent::Tick);
        self.events.add(self.now, SimEvent::PhaseReport(pid));
    }

    /// Returns the newest version in effect on the running nodes that a node can
    /// reach.
    fn newest_reachable_version(&self, node: usize) -> Version {
        let effective = self.recorder.effective_versions.iter();
        let reachable = effective.filter(|(other, _)| {
            let is_running = self.nodes[**other].is_running(self.now);
            is_running && !self.network.is_cut(node, **other)
        });
        let versions = reachable.map(|(_, version)| *version);
        versions.max().unwrap_or_default()
    }

    /// Kills a node's process and breaks its connections.
    pub(super) fn kill(&mut self, node: usize) {
        self.nodes[node].process = None;
        self.recorder.effective_versions.remove(&node);
        for id in self.connections.of_node(node) {
            self.break_connection(id, node);
        }
    }

    /// Breaks a connection of a killed node. If the node was the receiver and is
    /// partitioned from the sender, the sender does not notice: the connection stays
    /// open until its deadline.
    fn break_connection(&mut self, id: ConnectionId, killed: usize) {
        let Some(conn) = self.connections.get(id).copied() else {
            return;
        };
        if self.network.is_cut(conn.from.node, conn.to) && conn.to == killed {
            return;
        }
        self.connections.close(id);
        let at = self.now + self.network.latency(&mut self.rng);
        if conn.to == killed {
            self.deliver(at, conn.from, conn.failure_event(Progress::MaybeSent));
        } else if let Some((pid, event)) = self.pid(conn.to).zip(conn.withdrawal_event(id)) {
            self.deliver(at.max(conn.arrival), pid, event);
        }
    }

    /// Returns the id of a node's current process.
    pub(super) fn pid(&self, node: usize) -> Option<ProcessId> {
        let incarnation = self.nodes[node].process.as_ref()?.incarnation;
        Some(ProcessId { node, incarnation })
    }

    /// Returns a process, or `None` if it has ended.
    pub(super) fn process(&mut self, pid: ProcessId) -> Option<&mut Process> {
        let process = self.nodes[pid.node].process.as_mut();
        process.filter(|process| process.incarnation == pid.incarnation)
    }

    /// Schedules an event for a process; it is dropped if the process ends before.
    pub(super) fn deliver(&mut self, at: Time, pid: ProcessId, event: impl Into<Event>) {
        let event = Box::new(event.into());
        self.events.add(at, SimEvent::NodeEvent(pid, event));
    }

    /// Sends a caller's request to a node. If the node is down, the call gets no
    /// answer.
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
        self.recorder.calls.insert(call, record);
        if let Some(pid) = self.pid(node) {
            self.deliver(self.now, pid, RequestEvent::Arrived { call, request });
        }
        call
    }

    /// Advances the time until `is_done` holds, at most to `end`; returns whether it
    /// holds.
    pub(super) fn run_until(&mut self, end: Time, is_done: impl Fn(&Self) -> bool) -> bool {
        while !is_done(self) {
            let Some((at, event)) = self.events.next(end) else {
                self.now = self.now.max(end);
                return is_done(self);
            };
            self.now = self.now.max(at);
            self.process_event(event);
        }
        true
    }

    fn process_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::NodeEvent(pid, event) => self.handle(pid, *event),
            SimEvent::FleetTick(pid) => self.wake_fleet(pid),
            SimEvent::RequestTick(pid) => self.wake_requests(pid),
            SimEvent::WorkDone(pid, work) => self.finish_work(pid, work),
            SimEvent::PhaseReport(pid) => self.report_phase(pid),
            SimEvent::ConnectionDeadline(id) => self.expire_connection(id),
            SimEvent::CheckWatches => self.answer_watches(),
            SimEvent::ListAsLeaving(node) => self.platform.leaving.push(deployment::vm(node)),
            SimEvent::LoadRequest(load) => self.send_load_request(load),
        }
    }

    /// Passes an event to a process and executes its actions; a frozen process gets
    /// the event when it resumes.
    pub(super) fn handle(&mut self, pid: ProcessId, event: Event) {
        if self.pid(pid.node) != Some(pid) {
            return;
        }
        let frozen_until = self.nodes[pid.node].frozen_until;
        if frozen_until > self.now {
            self.deliver(frozen_until, pid, event);
            return;
        }
        let clocks = self.clocks();
        let mut actions = Vec::new();
        if let Some(process) = self.process(pid) {
            process.handle(clocks, event, &mut actions);
        }
        for action in actions {
            self.execute(pid, action);
        }
    }

    fn wake_fleet(&mut self, pid: ProcessId) {
        let now = self.now;
        let process = self.process(pid);
        let wake = process.and_then(|p| p.fleet_wake.take_if(|wake| *wake <= now));
        if wake.is_some() {
            self.handle(pid, FleetEvent::Tick.into());
        }
    }

    fn wake_requests(&mut self, pid: ProcessId) {
        let now = self.now;
        let process = self.process(pid);
        let wake = process.and_then(|p| p.request_wake.take_if(|wake| *wake <= now));
        if wake.is_some() {
            self.handle(pid, RequestEvent::Tick.into());
        }
    }

    fn finish_work(&mut self, pid: ProcessId, work: WorkId) {
        if self.pid(pid.node) != Some(pid) {
            return;
        }
        if let Some(outcome) = self.nodes[pid.node].target.finish(work) {
            self.report_work(pid, work, outcome);
        }
    }

    pub(super) fn report_work(&mut self, pid: ProcessId, work: WorkId, outcome: Outcome) {
        self.handle(pid, RequestEvent::Finished { work, outcome }.into());
    }

    fn report_phase(&mut self, pid: ProcessId) {
        if self.pid(pid.node) != Some(pid) {
            return;
        }
        let claimed = self.nodes[pid.node].target.phase(self.now);
        self.handle(pid, RequestEvent::PhaseReported { claimed }.into());
        let at = self.now + PHASE_REPORT_PERIOD;
        self.events.add(at, SimEvent::PhaseReport(pid));
    }

    fn expire_connection(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.close(id) else {
            return;
        };
        self.handle(conn.from, conn.failure_event(Progress::MaybeSent));
        self.withdraw(id, &conn);
    }

    /// Sends one request of a constant load to a random running node that does not
    /// drain, and schedules the next one.
    fn send_load_request(&mut self, mut load: Load) {
        let now = self.clocks().mono;
        let mut nodes = self.nodes_of(&load.place);
        nodes.retain(|node| self.nodes[*node].is_running(now) && !self.nodes[*node].draining);
        if let Some(node) = self.rng.choice(nodes) {
            self.call(node, &load.kind, None, None);
        }
        let interval = caller::interval(load.per_second);
        if load.time > interval {
            load.time -= interval;
            self.events
                .add(self.now + interval, SimEvent::LoadRequest(load));
        }
    }
}
