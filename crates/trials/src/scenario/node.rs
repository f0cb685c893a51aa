//! One VM of a scenario: a node and its target.

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
use super::polling::Naive;
use super::target::Target;

const SEEDS: usize = 4;

/// Whose decisions the nodes of a scenario take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum System {
    /// The decisions of celeryshore.
    Kernel,
    /// Every node polls the platform and applies what it reads.
    Naive,
}

/// Decisions of one process.
#[derive(Debug)]
enum Decisions {
    Kernel(Box<Kernel>),
    Naive(Box<Naive>),
}

/// What a process that starts gets from its surroundings.
#[derive(Clone, Copy, Debug)]
pub(super) struct Start<'a> {
    pub(super) now: Now,
    /// Seed of the process's random choices.
    pub(super) seed: u64,
    /// Nodes that it may know to begin with.
    pub(super) seeds: &'a [usize],
}

/// One life of a node's process.
#[derive(Debug)]
pub(super) struct Process {
    decisions: Decisions,
    pub(super) incarnation: Incarnation,
    pub(super) fleet_wake: Option<Time>,
    pub(super) request_wake: Option<Time>,
}

/// One VM: a node, if its process lives, and its target.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) zone: ZoneName,
    pub(super) process: Option<Process>,
    pub(super) target: Target,
    pub(super) frozen_until: Time,
    pub(super) draining: bool,
    lives: u64,
}

impl Node {
    /// Makes a VM without a process.
    pub(super) fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            process: None,
            target: Target::default(),
            frozen_until: Time::ZERO,
            draining: false,
            lives: 0,
        }
    }

    /// Starts the node's process and its target.
    pub(super) fn start(&mut self, system: System, own: usize, start: Start<'_>) {
        let Start { now, seed, seeds } = start;
        self.lives += 1;
        self.draining = false;
        self.frozen_until = Time::ZERO;
        self.target = Target::started(self.target.mode, now.mono);
        let incarnation = Incarnation(self.lives);
        let cfg = self.config(incarnation, own, seed, seeds);
        let decisions = match system {
            System::Kernel => Decisions::Kernel(Box::new(Kernel::new(cfg, now))),
            System::Naive => Decisions::Naive(Box::new(Naive::new(cfg.requests, now))),
        };
        self.process = Some(Process {
            decisions,
            incarnation,
            fleet_wake: None,
            request_wake: None,
        });
    }

    fn config(
        &self,
        incarnation: Incarnation,
        own: usize,
        seed: u64,
        seeds: &[usize],
    ) -> KernelConfig {
        let seeds = seeds.iter().copied().filter(|node| *node != own);
        KernelConfig {
            fleet: FleetConfig {
                vm: deployment::vm(own),
                zone: self.zone.clone(),
                incarnation,
                peer: deployment::peer(own),
                control: deployment::control(own),
                seeds: seeds.take(SEEDS).map(deployment::peer).collect(),
                source: true,
                seed,
            },
            feed: None,
            requests: RequestsConfig {
                vm: deployment::vm(own),
                zone: self.zone.clone(),
                incarnation,
                seed,
                terms: celeryshore_kernel::Terms::default(),
            },
        }
    }

    /// Tells whether the process lives and is not frozen.
    pub(super) fn is_running(&self, now: Time) -> bool {
        self.process.is_some() && self.frozen_until <= now
    }
}

impl Process {
    /// Takes one event and appends what is to be done.
    pub(super) fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        match &mut self.decisions {
            Decisions::Kernel(kernel) => kernel.handle(now, event, actions),
            Decisions::Naive(naive) => naive.handle(now, event, actions),
        }
    }
}
