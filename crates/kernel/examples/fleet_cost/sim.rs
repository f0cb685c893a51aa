//! Simulation of a fleet, its network and the platform in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use celeryshore_kernel::Fleet;
use celeryshore_kernel::FleetAction;
use celeryshore_kernel::FleetConfig;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::InboundPullId;
use celeryshore_kernel::PullId;
use celeryshore_kernel::ReadAnswer;
use celeryshore_kernel::ReadId;
use celeryshore_kernel::ReadQuery;
use celeryshore_kernel::TrafficKind;
use celeryshore_model::Incarnation;
use celeryshore_model::Index;
use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::WallTime;

const NODES_PER_ZONE: usize = 50;
const NET_DELAY: Duration = Duration::from_millis(1);

/// Simulation of a fleet, its network and the platform in virtual time.
pub struct Sim {
    pub now: Time,
    fleets: Vec<Fleet>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, (usize, FleetEvent)>,
    by_peer: BTreeMap<SocketAddr, usize>,
    by_control: BTreeMap<SocketAddr, usize>,
    pulls: BTreeMap<u64, (usize, PullId)>,
    watches: Vec<(usize, ReadId, Time)>,
    index: Index,
    text: Bytes,
    sequence: u64,
    /// Calls to the platform so far.
    pub source_calls: u64,
    /// Time that the state machines of all nodes took, in real time.
    pub processing_time: Duration,
}

impl Sim {
    pub fn new(nodes: usize) -> Self {
        let mut sim = Self {
            now: Time::ZERO,
            fleets: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            by_peer: BTreeMap::new(),
            by_control: BTreeMap::new(),
            pulls: BTreeMap::new(),
            watches: Vec::new(),
            index: Index(1),
            text: rules_text(nodes, 1),
            sequence: 0,
            source_calls: 0,
            processing_time: Duration::ZERO,
        };
        for i in 0..nodes {
            sim.by_peer.insert(peer(i), i);
            sim.by_control.insert(control(i), i);
            sim.fleets.push(Fleet::new(config(i), Now::default()));
            sim.push(i, Duration::ZERO, FleetEvent::Tick);
        }
        sim
    }

    fn push(&mut self, node: usize, delay: Duration, event: FleetEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, (node, event));
    }

    /// Runs for the whole span, or with `until_converged` only until all nodes have
    /// the platform's index.
    ///
    /// Returns the time until convergence, `None` if the span passed.
    pub fn run(&mut self, span: Duration, until_converged: bool) -> Option<Duration> {
        let start = self.now;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > start + span {
                self.queue.push(Reverse((at, number)));
                self.now = start + span;
                return None;
            }
            self.now = at;
            if let Some((node, event)) = self.events.remove(&number) {
                let may_converge = matches!(event, FleetEvent::Prepared(_));
                self.handle(node, event);
                if until_converged && may_converge && self.has_converged() {
                    return Some(self.now - start);
                }
            }
            self.answer_watches();
        }
        None
    }

    fn has_converged(&self) -> bool {
        self.fleets.iter().all(|f| f.version().index == self.index)
    }

    fn handle(&mut self, node: usize, event: FleetEvent) {
        let now = Now {
            mono: self.now,
            wall: WallTime::from_millis(self.now.as_micros() / 1_000),
        };
        let mut actions = Vec::new();
        let start = Instant::now();
        self.fleets[node].handle(now, event, &mut actions);
        self.processing_time += start.elapsed();
        for action in actions {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: usize, action: FleetAction) {
        match action {
            FleetAction::Send { to, datagram } => {
                let from = peer(node);
                if let Some(to) = self.by_peer.get(&to).copied() {
                    self.push(to, NET_DELAY, FleetEvent::Received { from, datagram });
                }
            }
            FleetAction::Pull {
                pull,
                control,
                request,
                ..
            } => {
                self.pulls.insert(self.sequence, (node, pull));
                let inbound = InboundPullId(self.sequence);
                let to = self.by_control[&control];
                self.push(to, NET_DELAY, FleetEvent::PullReceived { inbound, request });
            }
            FleetAction::PullReply { inbound, reply } => {
                if let Some((to, pull)) = self.pulls.remove(&inbound.0) {
                    self.push(to, NET_DELAY, FleetEvent::Pulled { pull, reply });
                }
            }
            FleetAction::Read { read, query, .. } => self.read(node, read, &query),
            FleetAction::AbandonRead { read } => {
                self.watches.retain(|w| w.0 != node || w.1 != read);
            }
            FleetAction::Prepare(work) => {
                let start = Instant::now();
                let prepared = Box::new(work.run());
                let took = start.elapsed();
                self.processing_time += took;
                self.push(node, took, FleetEvent::Prepared(prepared));
            }
            FleetAction::WakeAt(at) => {
                let delay = at - self.now;
                self.push(node, delay, FleetEvent::Tick);
            }
            FleetAction::Configured(_) | FleetAction::Member { .. } | FleetAction::Report(_) => {}
        }
    }

    fn read(&mut self, node: usize, read: ReadId, query: &ReadQuery) {
        self.source_calls += 1;
        match query {
            ReadQuery::Rules {
                index: Some(index),
                wait,
            } if *index == self.index => self.watches.push((node, read, self.now + *wait)),
            ReadQuery::Vms => {
                let answer = ReadAnswer::Leaving(Vec::new());
                self.push(node, NET_DELAY, FleetEvent::Read { read, answer });
            }
            _ => self.answer(node, read),
        }
    }

    fn answer(&mut self, node: usize, read: ReadId) {
        let answer = ReadAnswer::Value {
            index: self.index,
            value: self.text.clone(),
        };
        self.push(node, NET_DELAY, FleetEvent::Read { read, answer });
    }

    fn answer_watches(&mut self) {
        let now = self.now;
        while let Some(at) = self.watches.iter().position(|w| w.2 <= now) {
            let (node, read, _) = self.watches.swap_remove(at);
            self.answer(node, read);
        }
    }

    pub fn publish(&mut self, revision: u64) {
        self.index.0 += 1;
        self.text = rules_text(self.fleets.len(), revision);
        for (node, read, _) in std::mem::take(&mut self.watches) {
            self.answer(node, read);
        }
    }

    /// Returns the number of bytes that all nodes have sent.
    pub fn sent_bytes(&self) -> u64 {
        let kinds = TrafficKind::ALL;
        let sent = |f: &Fleet| kinds.iter().map(|k| f.traffic(*k).bytes).sum::<u64>();
        self.fleets.iter().map(sent).sum()
    }
}

fn config(i: usize) -> FleetConfig {
    FleetConfig {
        vm: format!("vm-{i:05}").parse().expect("valid name"),
        zone: zone(i).parse().expect("valid name"),
        incarnation: Incarnation(1),
        peer: peer(i),
        control: control(i),
        seeds: (0..3).filter(|s| *s != i).map(peer).collect(),
        source: true,
        seed: i as u64,
    }
}

fn zone(i: usize) -> String {
    format!("zone-{}", i / NODES_PER_ZONE)
}

fn peer(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port(i)))
}

fn control(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], port(i)))
}

fn port(i: usize) -> u16 {
    u16::try_from(i + 1).expect("at most 65,535 nodes")
}

fn rules_text(nodes: usize, revision: u64) -> Bytes {
    let mut text = format!("epoch 1  # revision {revision}\n");
    for i in (0..nodes).step_by(NODES_PER_ZONE) {
        let _ = writeln!(text, "zone {} region=scotland  # operations", zone(i));
    }
    text.push_str("service ordering slots=6 connections=110  # operations\n");
    for i in 0..nodes {
        let (zone, peer, control) = (zone(i), peer(i), control(i));
        let _ = writeln!(
            text,
            "upstream ordering-{i} service=ordering zone={zone} vm=vm-{i:05} peer={peer} control={control}  # operations"
        );
    }
    text.into()
}
