//! Some nodes and their messages, driven without sockets or threads.

#![allow(dead_code, reason = "each test file uses a part of the driver")]

pub mod deployment;
mod network;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::ExchangeId;
use celeryshore_kernel::InboundId;
use celeryshore_kernel::MemberState;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::Requests;
use celeryshore_kernel::RequestsConfig;
use celeryshore_kernel::RequestsStatus;
use celeryshore_kernel::Terms;
use celeryshore_kernel::WorkId;
use celeryshore_kernel::WorkSummary;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_model::Now;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::VmName;
use celeryshore_model::WallTime;

/// Wall-clock time at the start of every test.
const WALL_START: u64 = 1_700_000_000_000;
/// Time that each life of a process is old when a test starts, in milliseconds.
const AGE: u64 = 3_600_000;

/// A request that a target runs.
#[derive(Clone, Debug)]
pub struct Run {
    pub vm: VmName,
    pub work: WorkId,
    pub request: HttpRequest,
    pub deadline: Time,
}

#[derive(Debug)]
struct Node {
    requests: Requests,
    wake_at: Option<Time>,
    is_drained: bool,
}

/// Some nodes with their messages.
#[derive(Debug)]
pub struct Mesh {
    pub now: Now,
    nodes: BTreeMap<VmName, Node>,
    links: BTreeMap<InboundId, (VmName, ExchangeId, VmName)>,
    cut: BTreeSet<(VmName, VmName)>,
    events: VecDeque<(VmName, RequestEvent)>,
    /// Requests that targets run now.
    pub runs: Vec<Run>,
    /// All requests that were ever given to a target.
    pub history: Vec<Run>,
    /// Answers to callers.
    pub answers: BTreeMap<CallId, Answer>,
    /// Hand-overs between nodes so far.
    pub handovers: usize,
    /// Inquiries sent so far.
    pub inquiries: usize,
    /// Examinations of targets that were asked for.
    pub examinations: usize,
    /// Versions that nodes asked for.
    pub catch_ups: usize,
    /// Messages to these VMs are held back until they are released.
    pub blocked_vms: BTreeSet<VmName>,
    pub blocked_messages: Vec<(VmName, RequestEvent)>,
    /// What nodes told of the work at their targets.
    pub summaries: Vec<WorkSummary>,
    /// Terms of the nodes that are started from now on.
    pub terms: Terms,
    latest: u64,
}

impl Mesh {
    /// Starts a node on each of the VMs; all know the configuration.
    pub fn new(snapshot: &Arc<Snapshot>) -> Self {
        Self::with(snapshot, snapshot)
    }

    /// Starts a node on each of the VMs of one configuration with another.
    pub fn with(all: &Snapshot, first: &Arc<Snapshot>) -> Self {
        let mut mesh = Self::empty();
        let vms: Vec<_> = all.upstreams.values().map(|u| u.vm.clone()).collect();
        mesh.now = at(0);
        for vm in &vms {
            mesh.start_unconfigured(vm, deployment::zone_of(all, vm));
            mesh.send(vm.as_str(), RequestEvent::Configured(first.clone()));
        }
        mesh.now = at(AGE);
        for vm in &vms {
            mesh.send(vm.as_str(), RequestEvent::Tick);
        }
        mesh
    }

    /// Makes a mesh without nodes.
    pub fn empty() -> Self {
        Self {
            now: at(AGE),
            nodes: BTreeMap::new(),
            links: BTreeMap::new(),
            cut: BTreeSet::new(),
            events: VecDeque::new(),
            runs: Vec::new(),
            history: Vec::new(),
            answers: BTreeMap::new(),
            handovers: 0,
            inquiries: 0,
            examinations: 0,
            catch_ups: 0,
            blocked_vms: BTreeSet::new(),
            blocked_messages: Vec::new(),
            summaries: Vec::new(),
            terms: Terms::default(),
            latest: 0,
        }
    }

    /// Starts a node, in place of an earlier life.
    pub fn start(&mut self, vm: &VmName, snapshot: &Arc<Snapshot>) {
        self.start_unconfigured(vm, deployment::zone_of(snapshot, vm));
        self.send(vm.as_str(), RequestEvent::Configured(snapshot.clone()));
    }

    /// Starts a node that knows no configuration.
    pub fn start_unconfigured(&mut self, vm: &VmName, zone: &str) {
        self.latest += 1;
        let cfg = RequestsConfig {
            vm: vm.clone(),
            zone: zone.parse().expect("a zone"),
            incarnation: Incarnation(self.latest),
            seed: self.latest,
            terms: self.terms.clone(),
        };
        let node = Node {
            requests: Requests::new(cfg, self.now),
            wake_at: None,
            is_drained: false,
        };
        self.nodes.insert(vm.clone(), node);
    }

    /// Gives an event to a node and lets all that follows happen.
    pub fn send(&mut self, vm: &str, event: RequestEvent) {
        self.push(&name(vm), event);
        self.settle();
    }

    /// Gives an event to each node.
    pub fn send_all(&mut self, event: &RequestEvent) {
        let vms: Vec<_> = self.nodes.keys().cloned().collect();
        for vm in vms {
            self.send(vm.as_str(), event.clone());
        }
    }

    /// Tells each node the state of a member.
    pub fn observe(&mut self, vm: &str, state: MemberState) {
        let vm = name(vm);
        self.send_all(&RequestEvent::Member { vm, state });
    }

    /// Sends a caller's request to a node.
    pub fn call(&mut self, vm: &str, request: HttpRequest) -> CallId {
        self.latest += 1;
        let call = CallId(self.latest);
        self.send(vm, RequestEvent::Arrived { call, request });
        call
    }

    /// Lets time pass, with every tick that falls due.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now.mono + Duration::from_millis(millis);
        while let Some((at, vm)) = self.next_wake().filter(|(at, _)| *at <= end) {
            self.jump_to(at);
            self.node(&vm).wake_at = None;
            self.send(vm.as_str(), RequestEvent::Tick);
        }
        self.jump_to(end);
    }

    /// Lets time pass without any tick, as in a frozen process.
    pub fn freeze(&mut self, millis: u64) {
        self.jump_to(self.now.mono + Duration::from_millis(millis));
    }

    /// Ends the oldest run with an answer.
    pub fn answer(&mut self, body: &str) -> Run {
        let run = self.runs.remove(0);
        self.finish(&run, Outcome::Answered(response(200, body)));
        run
    }

    /// Ends a run.
    pub fn finish(&mut self, run: &Run, outcome: Outcome) {
        self.runs.retain(|r| (&r.vm, r.work) != (&run.vm, run.work));
        let event = RequestEvent::Finished {
            work: run.work,
            outcome,
        };
        self.send(run.vm.as_str(), event);
    }

    /// Delivers the messages that were held back.
    pub fn release(&mut self) {
        self.blocked_vms.clear();
        for (vm, event) in std::mem::take(&mut self.blocked_messages) {
            self.push(&vm, event);
        }
        self.settle();
    }

    /// Delivers one of the messages that are held back.
    pub fn deliver(&mut self, i: usize) {
        let (vm, event) = self.blocked_messages.remove(i);
        let blocked_vms = std::mem::take(&mut self.blocked_vms);
        let Some(node) = self.nodes.get_mut(&vm) else {
            self.blocked_vms = blocked_vms;
            return;
        };
        let mut actions = Vec::new();
        node.requests.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(&vm, action);
        }
        self.blocked_vms = blocked_vms;
        self.settle();
    }

    /// Returns the summary of a node.
    pub fn status(&self, vm: &str) -> RequestsStatus {
        self.nodes[&name(vm)].requests.status()
    }

    /// Tells whether a node reported the end of its drain.
    pub fn is_drained(&self, vm: &str) -> bool {
        self.nodes[&name(vm)].is_drained
    }

    fn node(&mut self, vm: &VmName) -> &mut Node {
        self.nodes.get_mut(vm).expect("a node")
    }

    fn next_wake(&self) -> Option<(Time, VmName)> {
        let wakes = self.nodes.iter();
        wakes
            .filter_map(|(vm, node)| Some((node.wake_at?, vm.clone())))
            .min()
    }

    fn jump_to(&mut self, time: Time) {
        let span = time - self.now.mono;
        self.now = Now {
            mono: self.now.mono + span,
            wall: self.now.wall + span,
        };
    }

    fn push(&mut self, vm: &VmName, event: RequestEvent) {
        self.events.push_back((vm.clone(), event));
    }

    fn settle(&mut self) {
        while let Some((vm, event)) = self.events.pop_front() {
            let is_message = matches!(
                event,
                RequestEvent::Received { .. } | RequestEvent::Replied { .. }
            );
            if is_message && self.blocked_vms.contains(&vm) {
                self.blocked_messages.push((vm, event));
                continue;
            }
            let Some(node) = self.nodes.get_mut(&vm) else {
                continue;
            };
            let mut actions = Vec::new();
            node.requests.handle(self.now, event, &mut actions);
            for action in actions {
                self.act(&vm, action);
            }
        }
    }
}

/// Reads both clocks some milliseconds after the start.
pub fn at(millis: u64) -> Now {
    Now {
        mono: Time::from_millis(millis),
        wall: WallTime::from_millis(WALL_START + millis),
    }
}

/// Makes a VM's name.
pub fn name(vm: &str) -> VmName {
    vm.parse().expect("a VM")
}

/// Makes an answer.
pub fn response(status: u16, body: &str) -> HttpResponse {
    HttpResponse {
        status,
        headers: Vec::new(),
        body: body.to_owned().into(),
    }
}
