//! Many nodes, a network and a platform in virtual time.

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
use super::Node;
use super::RulesText;
use super::watch::Watch;

/// Time after which a refused connection is noticed.
const REFUSAL_DELAY: Duration = Duration::from_millis(2);

/// Nodes that every node has as seeds.
const SEEDS: usize = 3;

struct Delivery {
    node: usize,
    life: u64,
    event: FleetEvent,
}

struct Inbound {
    from: usize,
    life: u64,
    pull: PullId,
}

/// Many nodes, a network and a platform in virtual time.
pub struct World {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub net: FakeNet,
    pub source: FakeSource,
    /// Nodes that every node starts with as seeds.
    pub seeds: Vec<usize>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    pub(super) watches: Vec<Watch>,
    inbound: BTreeMap<u64, Inbound>,
    by_peer: BTreeMap<SocketAddr, usize>,
    by_control: BTreeMap<SocketAddr, usize>,
    sequence: u64,
}

impl World {
    /// Starts all nodes of a text at once; the platform holds the text.
    pub fn start(text: &RulesText, seed: u64) -> Self {
        let seeds = (0..SEEDS).map(|i| i * text.nodes() / SEEDS).collect();
        let mut world = Self {
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
        world.source.publish(text.to_bytes());
        for i in 0..text.nodes() {
            world.by_peer.insert(RulesText::peer(i), i);
            world.by_control.insert(RulesText::control(i), i);
            let node = Node::new(i, text.zone_of(i), 1, &world.seeds, world.now);
            world.nodes.push(node);
            world.deliver(i, Duration::ZERO, FleetEvent::Tick);
        }
        world
    }

    /// Starts all nodes and lets them settle.
    pub fn settled(text: &RulesText, seed: u64) -> Self {
        let mut world = Self::start(text, seed);
        let version = world.published(text);
        let took = world.run_until(Duration::from_secs(30), |w| w.all_hold(version));
        assert!(took.is_some(), "the fleet did not start");
        world.run_for(Duration::from_secs(5));
        world
    }

    pub fn publish(&mut self, text: &RulesText) -> Version {
        self.source.publish(text.to_bytes());
        self.answer_watches();
        self.published(text)
    }

    /// Returns the version of a text at the platform's index.
    pub fn published(&self, text: &RulesText) -> Version {
        celeryshore_rules::from_slice(&text.to_bytes(), self.source.index)
            .unwrap()
            .version
    }

    /// Returns the highest version in force at any running node.
    pub fn newest(&self) -> Version {
        let running = self.nodes.iter().filter(|n| n.is_running());
        running.map(Node::in_force).max().unwrap_or_default()
    }

    /// Returns the numbers of the nodes that read the platform.
    pub fn readers(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|i| self.nodes[*i].is_running() && self.nodes[*i].kernel.fleet.is_reader())
            .collect()
    }

    /// Returns how many running nodes see a member in a state.
    pub fn seen_as(&self, member: usize, state: MemberState) -> usize {
        let vm = RulesText::vm(member);
        let running = self.nodes.iter().filter(|n| n.is_running());
        running
            .filter(|n| n.kernel.fleet.member_state(&vm) == Some(state))
            .count()
    }

    pub fn all_hold(&self, version: Version) -> bool {
        let running = self.nodes.iter().filter(|n| n.is_running());
        running.into_iter().all(|n| n.in_force() >= version)
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].alive = false;
    }

    /// Starts a node again with empty memory.
    pub fn restart(&mut self, i: usize) {
        let life = self.nodes[i].life + 1;
        let zone = self.nodes[i].zone.clone();
        self.nodes[i] = Node::new(i, zone, life, &self.seeds, self.now);
        self.deliver(i, Duration::ZERO, FleetEvent::Tick);
    }

    pub fn freeze(&mut self, i: usize) {
        self.nodes[i].frozen = true;
    }

    /// Wakes a frozen node; what came meanwhile was buffered.
    pub fn thaw(&mut self, i: usize) {
        self.nodes[i].frozen = false;
        for event in std::mem::take(&mut self.nodes[i].backlog) {
            self.handle(i, event);
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(span, |_| false);
        self.now = end;
    }

    /// Runs until a condition holds, and returns how long that took.
    pub fn run_until(&mut self, bound: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        let end = start + bound;
        loop {
            if done(self) {
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
        if self.nodes[delivery.node].life == delivery.life {
            self.handle(delivery.node, delivery.event);
        }
        if self.watches.iter().any(|w| w.deadline <= self.now) {
            self.answer_watches();
        }
    }

    pub(super) fn deliver(&mut self, node: usize, delay: Duration, event: FleetEvent) {
        self.sequence += 1;
        let life = self.nodes[node].life;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        let delivery = Delivery { node, life, event };
        self.deliveries.insert(self.sequence, delivery);
    }

    pub fn handle(&mut self, i: usize, event: FleetEvent) {
        let node = &mut self.nodes[i];
        if !node.alive {
            return;
        }
        if node.frozen {
            node.backlog.push(event);
            return;
        }
        if matches!(event, FleetEvent::Tick) {
            node.wake = None;
        }
        for action in node.handle(self.now, event) {
            self.act(i, action);
        }
    }

    fn act(&mut self, i: usize, action: FleetAction) {
        let now = self.now;
        match action {
            FleetAction::Send { to, datagram } => {
                self.nodes[i].datagram_bytes += datagram.size_bound() as u64;
                let from = RulesText::peer(i);
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
            FleetAction::Configured(snapshot) => self.nodes[i].note_configured(now, &snapshot),
            FleetAction::Member { vm, state } => self.nodes[i].members.push((now, vm, state)),
            FleetAction::Report(report) => self.nodes[i].reports.push((now, report)),
            FleetAction::WakeAt(at) => self.wake(i, at),
        }
    }

    fn wake(&mut self, i: usize, at: Time) {
        if self.nodes[i].wake.is_none_or(|wake| at < wake) {
            self.nodes[i].wake = Some(at);
            self.deliver(i, at - self.now, FleetEvent::Tick);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, event: &FleetEvent) {
        let Some(to) = self.by_peer.get(&to).copied() else {
            return;
        };
        let (left, right) = (self.nodes[from].zone.clone(), self.nodes[to].zone.clone());
        if !self.net.connects(&left, &right) {
            return;
        }
        for _ in 0..self.net.copies() {
            let delay = self.net.delay(&left, &right);
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
        let (left, wait) = (self.nodes[from].zone.clone(), deadline - self.now);
        let fail = FleetEvent::PullFailed { pull };
        match to {
            Some(to) if !self.nodes[to].alive => self.deliver(from, REFUSAL_DELAY, fail),
            Some(to) if self.net.connects(&left, &self.nodes[to].zone) => {
                self.sequence += 1;
                let life = self.nodes[from].life;
                self.inbound
                    .insert(self.sequence, Inbound { from, life, pull });
                let inbound = InboundPullId(self.sequence);
                let right = self.nodes[to].zone.clone();
                let delay = self.net.delay(&left, &right);
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
        let (left, right) = (
            self.nodes[i].zone.clone(),
            self.nodes[inbound.from].zone.clone(),
        );
        if self.nodes[inbound.from].life == inbound.life && self.net.connects(&left, &right) {
            let delay = self.net.delay(&left, &right);
            let pull = inbound.pull;
            self.deliver(inbound.from, delay, FleetEvent::Pulled { pull, reply });
        }
    }
}
