//! One node of the simulated fleet.

use std::sync::Arc;

use celeryshore_kernel::Action;
use celeryshore_kernel::Event;
use celeryshore_kernel::FleetAction;
use celeryshore_kernel::FleetConfig;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::Kernel;
use celeryshore_kernel::KernelConfig;
use celeryshore_kernel::MemberState;
use celeryshore_kernel::Report;
use celeryshore_kernel::RequestsConfig;
use celeryshore_model::Incarnation;
use celeryshore_model::Now;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::WallTime;
use celeryshore_model::ZoneName;

use super::FleetRules;

/// One node of the simulated fleet.
pub struct Node {
    pub kernel: Kernel,
    pub zone: ZoneName,
    pub is_alive: bool,
    pub is_frozen: bool,
    /// Whether the platform never answers its reads, without an error.
    pub has_stalled_reads: bool,
    /// Number of starts of the process; messages to an earlier one are dropped.
    pub generation: u64,
    /// Time of the next scheduled tick.
    pub next_tick: Option<Time>,
    /// Versions that took effect in this generation, with the times.
    pub configured: Vec<(Time, Version)>,
    /// Member states that the node reported.
    pub members: Vec<(Time, VmName, MemberState)>,
    pub reports: Vec<(Time, Report)>,
    /// Upper bound of the bytes sent in datagrams.
    pub datagram_bytes: u64,
    /// Payload bytes sent in replies to pulls.
    pub pull_bytes: u64,
    /// Events that arrived while the process was frozen.
    pub backlog: Vec<FleetEvent>,
}

impl Node {
    pub fn new(i: usize, zone: ZoneName, generation: u64, seeds: &[usize], now: Time) -> Self {
        let incarnation = Incarnation(generation << 16 | 1);
        let seed = (i as u64) << 20 | generation;
        let fleet = FleetConfig {
            vm: FleetRules::vm(i),
            zone: zone.clone(),
            incarnation,
            peer: FleetRules::peer(i),
            control: FleetRules::control(i),
            seeds: seeds.iter().map(|s| FleetRules::peer(*s)).collect(),
            source: true,
            seed,
        };
        let requests = RequestsConfig {
            vm: FleetRules::vm(i),
            zone: zone.clone(),
            incarnation,
            seed,
            terms: celeryshore_kernel::Terms::default(),
        };
        Self {
            kernel: Kernel::new(
                KernelConfig {
                    fleet,
                    feed: None,
                    requests,
                },
                clocks(now),
            ),
            zone,
            is_alive: true,
            is_frozen: false,
            has_stalled_reads: false,
            generation,
            next_tick: None,
            configured: Vec::new(),
            members: Vec::new(),
            reports: Vec::new(),
            datagram_bytes: 0,
            pull_bytes: 0,
            backlog: Vec::new(),
        }
    }

    pub fn handle(&mut self, now: Time, event: FleetEvent) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        self.kernel
            .handle(clocks(now), Event::Fleet(event), &mut actions);
        let fleet = actions.into_iter().filter_map(|action| match action {
            Action::Fleet(action) => Some(action),
            Action::Feed(_) | Action::Request(_) => None,
        });
        fleet.collect()
    }

    /// Returns the version that the node routes callers' requests with.
    pub fn effective_version(&self) -> Version {
        self.configured.last().map_or(Version::default(), |c| c.1)
    }

    pub fn record_configured(&mut self, now: Time, snapshot: &Arc<Snapshot>) {
        let version = snapshot.version;
        assert!(
            version > self.effective_version(),
            "version decreased from {} to {version}",
            self.effective_version()
        );
        self.configured.push((now, version));
    }

    pub fn is_running(&self) -> bool {
        self.is_alive && !self.is_frozen
    }
}

fn clocks(now: Time) -> Now {
    Now {
        mono: now,
        wall: WallTime::from_millis(now.as_micros() / 1_000),
    }
}
