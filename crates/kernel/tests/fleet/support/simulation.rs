//! Simulation of a fleet, its network and the platform in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_kernel::FleetAction;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::InboundPullId;
use celeryshore_kernel::MemberState;
use celeryshore_kernel::PullId;
use celeryshore_kernel::PullReply;
use celeryshore_kernel::PullRequest;
use celeryshore_model::Time;
use celeryshore_model::Version;

use super::FakeNet;
use super::FakeSource;
use super::FleetRules;
use super::Node;
use super::watch::Watch;

/// Time until a node notices that its connection was refused.
const REFUSAL_DELAY: Duration = Duration::from_millis(2);

/// Number of seeds of every node.
const SEED_COUNT: usize = 3;

struct Delivery {
    node: usize,
    generation: u64,
    event: FleetEvent,
}

struct InboundPull {
    from: usize,
    generation: u64,
    pull: PullId,
}

/// Simulation of a fleet, its network and the platform in virtual time.
pub struct Simulation {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub net: FakeNet,
    pub source: FakeSource,
    /// Indexes of the nodes that every started node uses as seeds.
    pub seeds: Vec<usize>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    pub(super) watches: Vec<Watch>,
    inbound: BTreeMap<u64, InboundPull>,
    by_peer: BTreeMap<SocketAddr, usize>,
    by_control: BTreeMap<SocketAddr, usize>,
    sequence: u64,
}

impl Simulation {
    /// Starts all nodes at the same time, with the rules published on the platform.
    pub fn start(rules: &FleetRules, seed: u64) -> Self {
        let seeds = (0..SEED_COUNT)
            .map(|i| i * rules.nodes() / SEED_COUNT)
            .collect();
        let mut sim = Self {
            now: Time::from_millis(1_000),
            nodes: Vec::new(),
            net: FakeNet::new(seed),
            source: FakeSource::default(),
            seeds,
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            watches: Vec::new(),
            inbound: BTreeMap::new(),
            by_peer: BTreeMap::new(),
            by_control: BTreeMap::new(),
            sequence: 0,
        };
        sim.source.publish(rules.to_bytes());
        for i in 0..rules.nodes() {
            sim.by_peer.insert(FleetRules::peer(i), i);
            sim.by_control.insert(FleetRules::control(i), i);
            let node = Node::new(i, rules.zone_of(i), 1, &sim.seeds, sim.now);
            sim.nodes.push(node);
            sim.deliver(i, Duration::ZERO, FleetEvent::Tick);
        }
        sim
    }

    /// Starts all nodes and runs until they have converged, and 5 s longer.
    pub fn settled(rules: &FleetRules, seed: u64) -> Self {
        let mut sim = Self::start(rules, seed);
        let version = sim.version_of(rules);
        let took = sim.run_until(Duration::from_secs(30), |s| s.has_converged(version));
        assert!(took.is_some(), "the fleet did not converge after its start");
        sim.run_for(Duration::from_secs(5));
        sim
    }

    pub fn publish(&mut self, rules: &FleetRules) -> Version {
        self.source.publish(rules.to_bytes());
        self.answer_watches();
        self.version_of(rules)
    }

    /// Returns the version of the rules at the platform's current index.
    pub fn version_of(&self, rules: &FleetRules) -> Version {
        celeryshore_rules::from_slice(&rules.to_bytes(), self.source.index)
            .unwrap()
            .version
    }

    /// Returns the highest version in effect on any running node.
    pub fn newest_version(&self) -> Version {
        let running = self.nodes.iter().filter(|n| n.is_running());
        running
            .map(Node::effective_version)
            .max()
            .unwrap_or_default()
    }

    /// Returns the indexes of the nodes that read the platform.
    pub fn readers(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|i| self.nodes[*i].is_running() && self.nodes[*i].kernel.fleet.is_reader())
            .collect()
    }

    /// Returns the number of running nodes that see a member in the given state.
    pub fn count_seeing(&self, member: usize, state: MemberState) -> usize {
        let vm = FleetRules::vm(member);
        let running = self.nodes.iter().filter(|n| n.is_running());
        running
            .filter(|n| n.kernel.fleet.member_state(&vm) == Some(state))
            .count()
    }

    /// Returns `true` if the version or a newer one is in effect on all running nodes.
    pub fn has_converged(&self, version: Version) -> bool {
        let running = self.nodes.iter().filter(|n| n.is_running());
        running
            .into_iter()
            .all(|n| n.effective_version() >= version)
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].is_alive = false;
    }

    /// Restarts a node, which loses its memory.
    pub fn restart(&mut self, i: usize) {
        let generation = self.nodes[i].generation + 1;
        let zone = self.nodes[i].zone.clone();
        self.nodes[i] = Node::new(i, zone, generation, &self.seeds, self.now);
        self.deliver(i, Duration::ZERO, FleetEvent::Tick);
    }

    pub fn freeze(&mut self, i: usize) {
        self.nodes[i].is_frozen = true;
    }

    /// Resumes a frozen node, which first receives the events buffered meanwhile.
    pub fn unfreeze(&mut self, i: usize) {
        self.nodes[i].is_frozen = false;
        for event in std::mem::take(&mut self.nodes[i].backlog) {
            self.handle(i, event);
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(span, |_| false);
        self.now = end;
    }

    /// Runs until the condition is true, and returns how long that took.
    ///
    /// Returns `None` if the condition is still false after `bound`.
    pub fn run_until(
        &mut self,
        bound: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let end = start + bound;
        loop {
            if condition(self) {
                return Some(self.now - start);
            }
            match self.queue.peek() {
                Some(Reverse((at, _))) if *at <= end => self.step(),
                _ => return None,
            }
        }
    }

    fn step(&mut self) {
        let Some(Reverse((at, number))) = self.queue.pop() else {
            return;
        };
        self.now = self.now.max(at);
        let Some(delivery) = self.deliveries.remove(&number) else {
            return;
        };
        if self.nodes[delivery.node].generation == delivery.generation {
            self.handle(delivery.node, delivery.event);
        }
        if self.watches.iter().any(|w| w.deadline <= self.now) {
            self.answer_watches();
        }
    }

    pub(super) fn deliver(&mut self, node: usize, delay: Duration, event: FleetEvent) {
        self.sequence += 1;
        let generation = self.nodes[node].generation;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        let delivery = Delivery {
            node,
            generation,
            event,
        };
        self.deliveries.insert(self.sequence, delivery);
    }

    pub fn handle(&mut self, i: usize, event: FleetEvent) {
        let node = &mut self.nodes[i];
        if !node.is_alive {
            return;
        }
        if node.is_frozen {
            node.backlog.push(event);
            return;
        }
        if matches!(event, FleetEvent::Tick) {
            node.next_tick = None;
        }
        for action in node.handle(self.now, event) {
            self.execute(i, action);
        }
    }

    fn execute(&mut self, i: usize, action: FleetAction) {
        let now = self.now;
        match action {
            FleetAction::Send { to, datagram } => {
                self.nodes[i].datagram_bytes += datagram.size_bound() as u64;
                let from = FleetRules::peer(i);
                let event = FleetEvent::Received { from, datagram };
                self.send(i, to, &event);
            }
            FleetAction::Pull {
                pull,
                control,
                request,
                deadline,
            } => self.pull(i, pull, control, request, deadline),
            FleetAction::PullReply { inbound, reply } => self.reply(i, inbound, reply),
            FleetAction::Read {
                read,
                query,
                deadline,
            } => self.read(i, read, query, deadline),
            FleetAction::AbandonRead { read } => {
                self.watches.retain(|w| w.node != i || w.read != read);
            }
            FleetAction::Prepare(work) => {
                let event = FleetEvent::Prepared(Box::new(work.run()));
                self.deliver(i, Duration::from_millis(1), event);
            }
            FleetAction::Configured(snapshot) => self.nodes[i].record_configured(now, &snapshot),
            FleetAction::Member { vm, state } => self.nodes[i].members.push((now, vm, state)),
            FleetAction::Report(report) => self.nodes[i].reports.push((now, report)),
            FleetAction::WakeAt(at) => self.schedule_tick(i, at),
        }
    }

    fn schedule_tick(&mut self, i: usize, at: Time) {
        if self.nodes[i].next_tick.is_none_or(|next| at < next) {
            self.nodes[i].next_tick = Some(at);
            self.deliver(i, at - self.now, FleetEvent::Tick);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, event: &FleetEvent) {
        let Some(to) = self.by_peer.get(&to).copied() else {
            return;
        };
        let (from_zone, to_zone) = (self.nodes[from].zone.clone(), self.nodes[to].zone.clone());
        if !self.net.connects(&from_zone, &to_zone) {
            return;
        }
        for _ in 0..self.net.copies() {
            let delay = self.net.delay(&from_zone, &to_zone);
            self.deliver(to, delay, event.clone());
        }
    }

    fn pull(
        &mut self,
        from: usize,
        pull: PullId,
        control: SocketAddr,
        request: PullRequest,
        deadline: Time,
    ) {
        let to = self.by_control.get(&control).copied();
        let (from_zone, wait) = (self.nodes[from].zone.clone(), deadline - self.now);
        let fail = FleetEvent::PullFailed { pull };
        match to {
            Some(to) if !self.nodes[to].is_alive => self.deliver(from, REFUSAL_DELAY, fail),
            Some(to) if self.net.connects(&from_zone, &self.nodes[to].zone) => {
                self.sequence += 1;
                let generation = self.nodes[from].generation;
                self.inbound.insert(
                    self.sequence,
                    InboundPull {
                        from,
                        generation,
                        pull,
                    },
                );
                let inbound = InboundPullId(self.sequence);
                let to_zone = self.nodes[to].zone.clone();
                let delay = self.net.delay(&from_zone, &to_zone);
                self.deliver(to, delay, FleetEvent::PullReceived { inbound, request });
            }
            _ => self.deliver(from, wait, fail),
        }
    }

    fn reply(&mut self, i: usize, inbound: InboundPullId, reply: PullReply) {
        self.nodes[i].pull_bytes += reply.payload_bytes() as u64;
        let Some(inbound) = self.inbound.remove(&inbound.0) else {
            return;
        };
        let (from_zone, to_zone) = (
            self.nodes[i].zone.clone(),
            self.nodes[inbound.from].zone.clone(),
        );
        if self.nodes[inbound.from].generation == inbound.generation
            && self.net.connects(&from_zone, &to_zone)
        {
            let delay = self.net.delay(&from_zone, &to_zone);
            let pull = inbound.pull;
            self.deliver(inbound.from, delay, FleetEvent::Pulled { pull, reply });
        }
    }
}
