//! One complete configuration.

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
use crate::Workspace;
use crate::WorkspaceName;
use crate::ZoneName;

/// Complete configuration: all routes and everything that they refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Version of the rules text that the snapshot was built from.
    pub version: Version,
    /// Availability zones with their regions.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// Services with their kinds, limits and upstreams.
    pub services: BTreeMap<ServiceName, Service>,
    /// Upstreams of all services.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Routes in the order of the rules text; the first match applies.
    pub routes: Vec<Route>,
    /// Zones and VMs that operators have taken out of service.
    pub outages: Outages,
    /// Workspaces of callers. If there are any, requests need a key, except on public
    /// routes.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
    /// Limits on callers; if absent, the settings of the node apply.
    pub callers: Option<CallerLimits>,
    /// Words for the semantics of kinds that the platform's adapter doesn't know.
    /// Requests of these kinds run at most once.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub unknown_semantics: BTreeSet<String>,
}

/// Limits on the size and the duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CallerLimits {
    /// Largest header section of a request.
    pub header: ByteSize,
    /// Largest body of a request.
    pub body: ByteSize,
    /// Time limit from the first byte of a header section to its end.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

impl Snapshot {
    /// Returns the upstream on a VM.
    ///
    /// The search is linear. Callers that need it often should keep an index.
    #[must_use]
    pub fn upstream_on(&self, vm: &VmName) -> Option<&Upstream> {
        self.upstreams.values().find(|u| &u.vm == vm)
    }

    /// Returns `true` if operators have taken the zone or the VM of the upstream out
    /// of service.
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
    /// Region of the zone; zones of one region are close to each other.
    pub region: ZoneName,
}

/// A service: a set of upstreams that all handle the same request kinds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Load limits of each of its targets.
    pub limits: Limits,
    /// Limits on retries by the mesh itself.
    pub retry: RetryPolicy,
    /// Request kinds by name.
    pub kinds: BTreeMap<KindName, Kind>,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<UpstreamName>,
    /// Path of the health check of its targets; if absent, the node's setting applies.
    #[serde(rename = "health")]
    pub health_path: Option<String>,
}

/// Load limits of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Number of requests that a warm target runs concurrently.
    pub slots: Slots,
    /// Number of requests that a target in cold start runs concurrently.
    pub cold_slots: Slots,
    /// Rate limit in cold start; absent if only `cold_slots` applies.
    pub cold_start: Option<ColdStart>,
    /// Number of requests that may wait for a slot.
    pub queue: Slots,
    /// Number of connections that the target accepts.
    pub connections: Slots,
    /// Largest body of a request or a response.
    pub body: ByteSize,
}

/// Rate limit of a target in cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ColdStart {
    /// Maximum number of requests in any second.
    pub rate: Rate,
    /// Duration of the cold start after the start of the target.
    #[serde(rename = "span")]
    pub duration: Duration,
}

/// Limits on retries by the mesh itself, as opposed to those by callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RetryPolicy {
    /// Maximum number of times that one request is forwarded, including the first.
    pub attempts: u32,
    /// Limit on retries, as a share of first attempts.
    pub budget: Share,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Serialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Semantics {
    /// The request may run more than once without further effect.
    #[display("idempotent")]
    Idempotent,
    /// The request may run more than once, and its response is large.
    #[display("download")]
    Download,
    /// The request must run at most once.
    #[display("at-most-once")]
    AtMostOnce,
}

impl Semantics {
    /// Returns `true` if a request may run more than once.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_model::Semantics;
    ///
    /// assert!(Semantics::Download.is_repeatable());
    /// assert!(!Semantics::AtMostOnce.is_repeatable());
    /// ```
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::AtMostOnce => false,
        }
    }
}

/// A kind of request within a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Kind {
    /// Name of the kind.
    pub name: KindName,
    /// Whether a request of this kind may run more than once.
    pub semantics: Semantics,
    /// Time limit from arrival at the first node to the response.
    pub deadline: Duration,
    /// Priority among the request kinds of all services.
    pub priority: Priority,
    /// Time within which a response has its full value to the caller.
    pub target_latency: Option<Duration>,
    /// Maximum number of targets that one request is sent to; if absent, the retry
    /// policy of the service applies.
    pub attempts: Option<u32>,
}

/// Identifier of a request kind: its service and its name.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{service}/{kind}")]
pub struct KindId {
    /// Service of the request kind.
    pub service: ServiceName,
    /// Name of the request kind within the service.
    pub kind: KindName,
}

/// Target of a service, with its admitting node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// VM that runs the target and its node.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address on which its node accepts exchanges (TCP) and heartbeats (UDP).
    pub peer: SocketAddr,
    /// Address on which its node serves the configuration to other nodes (gRPC).
    pub control: SocketAddr,
    /// Number of requests that this target runs concurrently, if it differs from the
    /// limits of the service.
    pub slots: Option<Slots>,
    /// Incarnation of the target; a later start under the same name has another.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Whether the target accepts new requests.
    pub state: UpstreamState,
    /// Whether the target is in cold start according to the platform.
    pub is_cold: bool,
}

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// The target accepts new requests.
    #[default]
    #[display("serving")]
    Serving,
    /// The target finishes its current requests and shuts down.
    #[display("leaving")]
    Leaving,
}

/// A route, which maps matching requests to a service and a request kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Condition for a request to match the route.
    pub matches: RouteMatch,
    /// Service that handles the requests, unless the route is split.
    pub service: ServiceName,
    /// Request kind; exists in the service and in every service of the split.
    pub kind: KindName,
    /// Weighted services; empty if all requests go to `service`.
    pub splits: Vec<Split>,
    /// Whether requests on the route need no key, although there are workspaces.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
}

/// Condition for a request to match a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteMatch {
    /// Host in lower case; if absent, any host matches.
    pub host: Option<String>,
    /// Prefix of the path; only complete path segments match.
    pub path: String,
    /// Method in upper case; if absent, any method matches.
    pub method: Option<String>,
}

/// Weighted service of a split route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Split {
    /// Service that receives a share of the requests.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: Weight,
}

/// Zones and VMs that operators have taken out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outages {
    /// Availability zones that are out of service.
    pub zones: BTreeSet<ZoneName>,
    /// VMs that are out of service.
    pub vms: BTreeSet<VmName>,
}
