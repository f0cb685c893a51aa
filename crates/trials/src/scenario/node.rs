//! VM of a scenario: a node and its target.

use celeryshore_kernel::Action;
use celeryshore_kernel::Event;
use celeryshore_kernel::FleetConfig;
use celeryshore_kernel::Kernel;
use celeryshore_kernel::KernelConfig;
use celeryshore_kernel::RequestsConfig;
use celeryshore_model::Incarnation;
use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::ZoneName;

use super::deployment;
use super::polling::PollingNode;
use super::target::Target;

/// Maximum number of seed addresses that a node starts with.
const MAX_SEEDS: usize = 4;

/// Implementation that the nodes of a scenario run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum System {
    /// Kernel of celeryshore.
    Kernel,
    /// Baseline for comparison: every node polls the platform and applies what it
    /// reads.
    Polling,
}

/// State of the implementation in one process.
#[derive(Debug)]
enum Implementation {
    Kernel(Box<Kernel>),
    Polling(Box<PollingNode>),
}

/// Parameters of a process start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Start<'a> {
    pub(super) now: Now,
    /// Seed of the process's random number generator.
    pub(super) seed: u64,
    /// Indexes of the nodes whose addresses may be used as seeds, in random order.
    pub(super) seed_nodes: &'a [usize],
}

/// Process of a node.
#[derive(Debug)]
pub(super) struct Process {
    implementation: Implementation,
    pub(super) incarnation: Incarnation,
    /// Latest wake-up time that the fleet part requested.
    pub(super) fleet_wake: Option<Time>,
    /// Latest wake-up time that the request part requested.
    pub(super) request_wake: Option<Time>,
}

/// VM with its target and, while it runs, the node's process.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) zone: ZoneName,
    pub(super) process: Option<Process>,
    pub(super) target: Target,
    /// Time until which the process handles no events.
    pub(super) frozen_until: Time,
    pub(super) draining: bool,
    /// Number of starts; also the latest incarnation.
    starts: u64,
}

impl Node {
    /// Returns a VM without a process.
    pub(super) fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            process: None,
            target: Target::default(),
            frozen_until: Time::ZERO,
            draining: false,
            starts: 0,
        }
    }

    /// Starts a process and a new target. The target keeps its mode.
    pub(super) fn start(&mut self, system: System, index: usize, start: Start<'_>) {
        let Start {
            now,
            seed,
            seed_nodes,
        } = start;
        self.starts += 1;
        self.draining = false;
        self.frozen_until = Time::ZERO;
        self.target = Target::new(self.target.mode, now.mono);
        let incarnation = Incarnation(self.starts);
        let cfg = self.config(incarnation, index, seed, seed_nodes);
        let implementation = match system {
            System::Kernel => Implementation::Kernel(Box::new(Kernel::new(cfg, now))),
            System::Polling => {
                Implementation::Polling(Box::new(PollingNode::new(cfg.requests, now)))
            }
        };
        self.process = Some(Process {
            implementation,
            incarnation,
            fleet_wake: None,
            request_wake: None,
        });
    }

    fn config(
        &self,
        incarnation: Incarnation,
        index: usize,
        seed: u64,
        seed_nodes: &[usize],
    ) -> KernelConfig {
        let seeds = seed_nodes.iter().copied().filter(|node| *node != index);
        KernelConfig {
            fleet: FleetConfig {
                vm: deployment::vm(index),
                zone: self.zone.clone(),
                incarnation,
                peer: deployment::peer(index),
                control: deployment::control(index),
                seeds: seeds.take(MAX_SEEDS).map(deployment::peer).collect(),
                source: true,
                seed,
            },
            feed: None,
            requests: RequestsConfig {
                vm: deployment::vm(index),
                zone: self.zone.clone(),
                incarnation,
                seed,
                terms: celeryshore_kernel::Terms::default(),
            },
        }
    }

    /// Returns `true` if there is a process and it is not frozen.
    pub(super) fn is_running(&self, now: Time) -> bool {
        self.process.is_some() && self.frozen_until <= now
    }
}

impl Process {
    /// Handles one event and appends the resulting actions.
    pub(super) fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        match &mut self.implementation {
            Implementation::Kernel(kernel) => kernel.handle(now, event, actions),
            Implementation::Polling(node) => node.handle(now, event, actions),
        }
    }
}
