//! Sections of the state dump for membership and configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use super::Fleet;
use super::budget::TrafficCount;
use super::budget::TrafficKind;
use super::member::Member;
use super::member::MemberState;
use super::message::Refutation;
use super::stage::StageKind;
use crate::DumpSection;
use crate::Kernel;

/// Summary of membership and configuration at one node.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::Fleet;
/// use celeryshore_kernel::FleetConfig;
/// use celeryshore_kernel::StageKind;
/// use celeryshore_model::Incarnation;
/// use celeryshore_model::Now;
///
/// let cfg = FleetConfig {
///     vm: "vm-1".parse()?,
///     zone: "glasgow".parse()?,
///     incarnation: Incarnation(1),
///     peer: "127.0.0.1:7000".parse().unwrap(),
///     control: "127.0.0.1:7001".parse().unwrap(),
///     seeds: Vec::new(),
///     source: true,
///     seed: 1,
/// };
/// let fleet = Fleet::new(cfg, Now::default());
/// assert_eq!(fleet.status().stage, StageKind::Learning);
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Clone, Debug, Serialize)]
pub struct FleetStatus {
    /// VM of the node.
    pub vm: VmName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Refutation number of the node in this incarnation.
    pub refutation: Refutation,
    /// Lifecycle stage of the node.
    pub stage: StageKind,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// Whether the node is one of the readers of its zone.
    pub reader: bool,
    /// Whether the node gave up the reader role because its reads of the
    /// platform failed.
    pub unwell: bool,
    /// Number of calls to the platform so far.
    pub source_calls: u64,
    /// Index of the last response of the platform. Absent after a failed read.
    pub source_index: Option<Index>,
    /// Time since the last successful read of the platform by any reader that
    /// the node knows of.
    pub view_age: Option<Duration>,
    /// Number of members by state.
    pub members: BTreeMap<MemberState, usize>,
    /// Zones in which most members failed at the same time.
    pub lost_zones: Vec<ZoneName>,
    /// Number of member updates that wait to be gossiped.
    pub news: usize,
    /// Control traffic by kind.
    pub traffic: BTreeMap<TrafficKind, TrafficCount>,
}

impl Fleet {
    /// Returns a summary for operators and metrics.
    #[must_use]
    pub fn status(&self) -> FleetStatus {
        let now = self.observed.mono;
        FleetStatus {
            vm: self.cfg.vm.clone(),
            zone: self.cfg.zone.clone(),
            incarnation: self.cfg.incarnation,
            refutation: self.own.refutation,
            stage: self.stage(),
            leaving: self.own.leaving,
            reader: self.is_reader,
            unwell: self.own.unwell,
            source_calls: self.reader.calls(),
            source_index: self.reader.index(),
            view_age: self.view.age(now),
            members: self.count_members(),
            lost_zones: self.members.lost_zones().cloned().collect(),
            news: self.gossip.len(),
            traffic: TrafficKind::ALL
                .into_iter()
                .map(|kind| (kind, self.traffic(kind)))
                .collect(),
        }
    }

    /// Returns the time since the last successful read of the platform by any
    /// reader that the node knows of.
    #[must_use]
    pub fn view_age(&self, now: Time) -> Option<Duration> {
        self.view.age(now)
    }

    fn count_members(&self) -> BTreeMap<MemberState, usize> {
        let mut counts = BTreeMap::new();
        for (_, member) in self.members.iter() {
            *counts.entry(member.state()).or_default() += 1;
        }
        counts
    }
}

#[derive(Serialize)]
struct MemberStatus<'a> {
    zone: &'a ZoneName,
    state: MemberState,
    incarnation: Incarnation,
    refutation: Refutation,
    version: Version,
    unwell: bool,
}

impl<'a> MemberStatus<'a> {
    fn new(member: &'a Member, now: Time) -> Self {
        Self {
            zone: &member.zone,
            state: member.state(),
            incarnation: member.incarnation,
            refutation: member.refutation,
            version: member.version,
            unwell: member.is_unwell(now),
        }
    }
}

inventory::submit! {
    DumpSection { name: "fleet", render: render_fleet }
}

inventory::submit! {
    DumpSection { name: "configuration", render: render_configuration }
}

inventory::submit! {
    DumpSection { name: "members", render: render_members }
}

fn render_fleet(kernel: &Kernel) -> Value {
    json!(kernel.fleet.status())
}

fn render_configuration(kernel: &Kernel) -> Value {
    let configuration = &kernel.fleet.configuration;
    let current = configuration.current();
    let refusals: Vec<_> = configuration
        .refusals()
        .map(|r| json!({ "digest": r.digest, "error": r.error.to_string() }))
        .collect();
    json!({
        "version": configuration.version(),
        "since": current.map(|c| c.since),
        "text_bytes": current.map(|c| c.rules.text.len()),
        "deltas": configuration.history_len(),
        "refusals": refusals,
    })
}

fn render_members(kernel: &Kernel) -> Value {
    let fleet = &kernel.fleet;
    let now = fleet.observed.mono;
    let members: BTreeMap<_, _> = fleet
        .members
        .iter()
        .map(|(vm, member)| (vm, MemberStatus::new(member, now)))
        .collect();
    json!(members)
}
