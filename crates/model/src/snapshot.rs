//! One whole configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::FromStr;
use serde::Serialize;

use crate::ByteSize;
use crate::Incarnation;
use crate::KindName;
use crate::Priority;
use crate::Rate;
use crate::RouteName;
use crate::ServiceName;
use crate::Share;
use crate::Slots;
use crate::UpstreamName;
use crate::Version;
use crate::VmName;
use crate::Weight;
use crate::ZoneName;

/// One whole configuration: every route and all that the routes refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Version of the rules text that this was made of.
    pub version: Version,
    /// Availability zones.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// Services with their kinds, limits and upstreams.
    pub services: BTreeMap<ServiceName, Service>,
    /// Upstreams of all services.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Routes in the order of the file; the first that matches counts.
    pub routes: Vec<Route>,
    /// Zones and VMs that operators have taken out of service.
    pub outages: Outages,
    /// What callers may send; the settings of the node if absent.
    pub callers: Option<CallerLimits>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CallerLimits {
    /// Longest header of a request.
    pub header: ByteSize,
    /// Longest body of a request.
    pub body: ByteSize,
    /// Time from the first byte of a header to its end.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

impl Snapshot {
    /// Returns the upstream that lies on a VM.
    ///
    /// The search is linear; callers that need it often keep an index.
    #[must_use]
    pub fn upstream_on(&self, vm: &VmName) -> Option<&Upstream> {
        self.upstreams.values().find(|u| &u.vm == vm)
    }

    /// Tells whether operators have taken this upstream out of service, by its
    /// zone or by its VM.
    #[must_use]
    pub fn is_out_of_service(&self, upstream: &Upstream) -> bool {
        self.outages.zones.contains(&upstream.zone) || self.outages.vms.contains(&upstream.vm)
    }

    /// Returns a request kind by service and name.
    #[must_use]
    pub fn kind(&self, id: &KindId) -> Option<&Kind> {
        self.services.get(&id.service)?.kinds.get(&id.kind)
    }
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Zone {
    /// Name of the zone.
    pub name: ZoneName,
    /// Region that the zone lies in; zones of one region are near each other.
    pub region: ZoneName,
}

/// A service: upstreams that can all answer the same kinds of request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// What each of its targets can bear.
    pub limits: Limits,
    /// When a request may be sent again by the mesh itself.
    pub retry: RetryPolicy,
    /// Request kinds.
    pub kinds: BTreeMap<KindName, Kind>,
    /// Upstreams in the order of their names.
    pub upstreams: Vec<UpstreamName>,
    /// Path at which its targets tell their health; the node's setting if absent.
    #[serde(rename = "health")]
    pub health_path: Option<String>,
}

/// What one target can bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Requests that a warm target runs at one time.
    pub slots: Slots,
    /// Requests that a target in cold start runs at one time.
    pub cold_slots: Slots,
    /// What a target in cold start bears, where that is a rate.
    pub cold_start: Option<ColdStart>,
    /// Requests that may wait for a slot.
    pub queue: Slots,
    /// Connections that the target accepts.
    pub connections: Slots,
    /// Largest body of a request or an answer.
    pub body: ByteSize,
}

/// Cold start of a target that bears a rate of requests until it is warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ColdStart {
    /// Most requests in any one second.
    pub rate: Rate,
    /// How long a target is cold after its start.
    #[serde(rename = "span")]
    pub duration: Duration,
}

/// When a request may be sent again by the mesh itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RetryPolicy {
    /// Hand-overs of one request, the first one counted.
    pub attempts: u32,
    /// Retries as a share of first attempts.
    pub budget: Share,
}

/// Whether running a request twice does harm.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Serialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Semantics {
    /// Running it again changes nothing.
    #[display("idempotent")]
    Idempotent,
    /// It must run at most once.
    #[display("at-most-once")]
    AtMostOnce,
}

/// A kind of request within a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Kind {
    /// Name of the kind.
    pub name: KindName,
    /// Whether running it twice does harm.
    pub semantics: Semantics,
    /// Time from arrival at the first node to the answer.
    pub deadline: Duration,
    /// Rank among the kinds of all services.
    pub priority: Priority,
    /// Time within which an answer is worth most to its caller.
    pub target_latency: Option<Duration>,
    /// Most targets that one request may be sent to; the service's policy if absent.
    pub attempts: Option<u32>,
}

/// A request kind, named across services.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{service}/{kind}")]
pub struct KindId {
    /// The service.
    pub service: ServiceName,
    /// The kind within the service.
    pub kind: KindName,
}

/// One target of a service, with the node that admits work to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// VM that holds the target and its node.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Where its node takes hand-overs (TCP) and heartbeats (UDP).
    pub peer: SocketAddr,
    /// Where its node serves the configuration to other nodes (gRPC).
    pub control: SocketAddr,
    /// Requests that this target runs at one time, where it differs from the
    /// service's limits.
    pub slots: Option<Slots>,
    /// Life of the target; a later start under the same name has another.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Whether the target takes new work.
    pub state: UpstreamState,
    /// Whether the platform says that the target is in cold start.
    pub is_cold: bool,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// It takes new work.
    #[default]
    #[display("serving")]
    Serving,
    /// It finishes what it has and ends.
    #[display("leaving")]
    Leaving,
}

/// A route: which requests go to which service as which kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Requests that the route takes.
    pub matches: RouteMatch,
    /// Service, unless the route is split.
    pub service: ServiceName,
    /// Request kind, present in the service and in every service of the split.
    pub kind: KindName,
    /// Services by weight; empty if all requests go to `service`.
    pub splits: Vec<Split>,
}

/// What a request must look like for a route to take it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteMatch {
    /// Host in lower case; any if absent.
    pub host: Option<String>,
    /// Start of the path, matched at whole segments.
    pub path: String,
    /// Method in upper case; any if absent.
    pub method: Option<String>,
}

/// One service of a split route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Split {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the services of the route.
    pub weight: Weight,
}

/// Zones and VMs that operators have taken out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outages {
    /// Zones that are out.
    pub zones: BTreeSet<ZoneName>,
    /// VMs that are out.
    pub vms: BTreeSet<VmName>,
}
