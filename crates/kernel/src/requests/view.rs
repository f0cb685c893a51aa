//! Configuration in effect and states of the other members.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use celeryshore_model::HttpRequest;
use celeryshore_model::Kind;
use celeryshore_model::KindId;
use celeryshore_model::KindName;
use celeryshore_model::Limits;
use celeryshore_model::Now;
use celeryshore_model::Priority;
use celeryshore_model::RequestKey;
use celeryshore_model::RouteName;
use celeryshore_model::Service;
use celeryshore_model::ServiceName;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Upstream;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::WorkspaceName;
use celeryshore_model::ZoneName;
use celeryshore_rules::Router;

use crate::MemberState;
use crate::requests::RequestsConfig;
use crate::requests::peers::Peers;
use crate::requests::stop_time::StopTime;
use crate::requests::workspaces::Workspaces;

/// Destination of a request, by its route.
#[derive(Debug)]
pub(super) struct Destination {
    /// Request kind, with the service that handles it.
    pub(super) kind: KindId,
    /// Whether the route needs no key.
    pub(super) is_public: bool,
}

/// A node's view of the configuration and of the other members.
#[derive(Debug)]
pub(super) struct View {
    cfg: RequestsConfig,
    started: Time,
    router: Option<Router>,
    /// Workspaces of the same configuration.
    workspaces: Workspaces,
    /// Upstream on this node's VM.
    own: Option<Upstream>,
    peers: Peers,
    /// Newest version that a peer has shown.
    newest: Version,
    members: BTreeMap<VmName, MemberState>,
    /// Number of upstreams in each zone.
    zone_sizes: BTreeMap<ZoneName, u32>,
    /// Whether the store has not confirmed the configuration for a long time.
    is_outdated: bool,
    /// Time since the store last confirmed the configuration, if it did.
    age: Option<Duration>,
    is_leaving: bool,
    is_forwarding_stopped: bool,
    /// End of this process, once it was told to stop and if the grace period is known.
    stop_time: Option<StopTime>,
}

impl View {
    /// Creates the view of a node without a configuration.
    pub(super) fn new(cfg: RequestsConfig, now: Time) -> Self {
        Self {
            cfg,
            started: now,
            router: None,
            workspaces: Workspaces::default(),
            own: None,
            peers: Peers::new(),
            newest: Version::default(),
            members: BTreeMap::new(),
            zone_sizes: BTreeMap::new(),
            is_outdated: false,
            age: None,
            is_leaving: false,
            is_forwarding_stopped: false,
            stop_time: None,
        }
    }

    /// Returns the settings of this node.
    pub(super) const fn cfg(&self) -> &RequestsConfig {
        &self.cfg
    }

    /// Returns the time since this process started.
    pub(super) fn uptime(&self, now: Time) -> Duration {
        now - self.started
    }

    /// Applies a configuration, unless a newer one is in effect.
    pub(super) fn configure(&mut self, now: Now, snapshot: Arc<Snapshot>) {
        if snapshot.version < self.version() {
            return;
        }
        self.own = snapshot.upstream_on(&self.cfg.vm).cloned();
        let old = self.router.as_ref().map(Router::snapshot);
        self.peers.configure(now, old.map(Arc::as_ref), &snapshot);
        self.zone_sizes = zone_sizes(&snapshot);
        self.workspaces = Workspaces::new(&snapshot);
        self.router = Some(Router::new(snapshot));
        self.peers.publish(now, self.published());
    }

    fn published(&self) -> Vec<Upstream> {
        let own = self.own.as_ref();
        own.map_or_else(Vec::new, |own| self.upstreams_of(&own.service))
    }

    /// Records the version that a peer's message carries.
    pub(super) fn observe_version(&mut self, version: Version) {
        self.newest = self.newest.max(version);
    }

    /// Returns `true` if a peer has shown a newer version than the one in effect.
    pub(super) fn is_behind(&self) -> bool {
        self.newest > self.version()
    }

    /// Records whether the store has not confirmed the configuration for a long time.
    pub(super) const fn set_outdated(&mut self, is_outdated: bool) {
        self.is_outdated = is_outdated;
    }

    /// Records the time since the store last confirmed the configuration.
    pub(super) const fn set_age(&mut self, age: Option<Duration>) {
        self.age = age;
    }

    /// Returns `true` if the keys are too old to be used. A configuration that the store
    /// never confirmed counts as too old.
    pub(super) fn are_keys_expired(&self) -> bool {
        let expiry = self.cfg.terms.key_expiry;
        expiry.is_some_and(|max| self.age.is_none_or(|age| age > max))
    }

    /// Returns `true` if a newer configuration may have a route or a key that this one
    /// lacks.
    pub(super) fn may_lack_route(&self) -> bool {
        self.is_outdated || self.is_behind()
    }

    /// Returns `true` if there is a configuration and it is older than `version`.
    pub(super) fn is_older_than(&self, version: Version) -> bool {
        self.snapshot().is_some_and(|s| s.version < version)
    }

    /// Records the state of a member.
    pub(super) fn observe_member(&mut self, vm: VmName, state: MemberState) {
        self.members.insert(vm, state);
    }

    /// Records that this node is leaving the fleet.
    pub(super) const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns `true` if this node is leaving the fleet.
    pub(super) const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records whether this node has stopped forwarding calls, after a drain.
    pub(super) const fn set_forwarding_stopped(&mut self, is_stopped: bool) {
        self.is_forwarding_stopped = is_stopped;
    }

    /// Records when the platform kills this process, unless that is known already.
    pub(super) fn set_stop_time(&mut self, stop_time: StopTime) {
        self.stop_time.get_or_insert(stop_time);
    }

    /// Returns when the platform kills this process, once it was told to stop.
    pub(super) const fn stop_time(&self) -> Option<StopTime> {
        self.stop_time
    }

    /// Records whether the platform would have sent the callers elsewhere by now if there
    /// was another node for them.
    pub(super) const fn set_callers_bound(&mut self, are_bound: bool) {
        if let Some(stop_time) = &mut self.stop_time {
            stop_time.set_callers_bound(are_bound);
        }
    }

    /// Returns the delay after which a caller that is refused because the node stops may
    /// retry here, if it has no other node.
    pub(super) fn retry_after_stop(&self, now: Time) -> Option<Duration> {
        self.stop_time.and_then(|stop| stop.retry_after(now))
    }

    /// Returns `true` if this node has stopped forwarding calls.
    pub(super) const fn is_forwarding_stopped(&self) -> bool {
        self.is_forwarding_stopped
    }

    /// Returns the configuration in effect.
    pub(super) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.router.as_ref().map(Router::snapshot)
    }

    /// Returns the version in effect, or the lowest version without a configuration.
    pub(super) fn version(&self) -> Version {
        self.snapshot().map_or_else(Version::default, |s| s.version)
    }

    /// Returns the upstream on this node's VM.
    pub(super) const fn own(&self) -> Option<&Upstream> {
        self.own.as_ref()
    }

    /// Returns the service of the upstream on this node's VM.
    pub(super) fn own_service(&self) -> Option<&Service> {
        let own = self.own.as_ref()?;
        self.snapshot()?.services.get(&own.service)
    }

    /// Returns the limits of the local target.
    pub(super) fn own_limits(&self) -> Option<Limits> {
        self.own_service().map(|s| s.limits)
    }

    /// Returns a service by its name.
    pub(super) fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.snapshot()?.services.get(name)
    }

    /// Returns the upstreams of a service, in whatever state they are.
    pub(super) fn upstreams_of(&self, service: &ServiceName) -> Vec<Upstream> {
        let snapshot = self.snapshot();
        let names = self.service(service).into_iter().flat_map(|s| &s.upstreams);
        names
            .filter_map(|name| snapshot?.upstreams.get(name))
            .cloned()
            .collect()
    }

    /// Returns `true` if the upstream on this node's VM is out of service.
    pub(super) fn is_own_out_of_service(&self) -> bool {
        let snapshot = self.snapshot();
        snapshot
            .zip(self.own.as_ref())
            .is_some_and(|(s, u)| s.is_out_of_service(u))
    }

    /// Returns the state of a member, or the default state of an unknown one.
    pub(super) fn member(&self, vm: &VmName) -> MemberState {
        self.members.get(vm).copied().unwrap_or_default()
    }

    /// Returns the number of nodes, one for each upstream.
    pub(super) fn node_count(&self) -> u32 {
        self.zone_sizes.values().sum()
    }

    /// Returns the number of nodes in a zone.
    pub(super) fn zone_size(&self, zone: &ZoneName) -> u32 {
        self.zone_sizes.get(zone).copied().unwrap_or_default()
    }

    /// Returns `true` if new work may go to the node on a VM. A node ignores what
    /// others say of its own state.
    pub(super) fn is_usable(&self, vm: &VmName) -> bool {
        if *vm == self.cfg.vm {
            return !self.is_leaving;
        }
        matches!(self.member(vm), MemberState::Alive | MemberState::Suspect)
    }

    /// Returns `true` if every copy of a key goes to this node first.
    pub(super) fn is_home(&self, now: Now, key: &RequestKey) -> bool {
        let own = self.own.as_ref();
        own.is_some_and(|own| self.peers.is_home(now, own, key))
    }

    /// Returns the witnesses of this node: the other upstreams of its service that may
    /// have run a key.
    pub(super) fn witnesses(&self, now: Time) -> Vec<Upstream> {
        let own = self.own.as_ref();
        own.map_or_else(Vec::new, |own| self.peers.witnesses(now, own))
    }

    /// Returns `true` if a VM has one of the witnesses.
    pub(super) fn is_witness(&self, now: Time, vm: &VmName) -> bool {
        self.witnesses(now).iter().any(|u| u.vm == *vm)
    }

    /// Records that every other published upstream knows that this one is listed.
    pub(super) fn mark_known_to_peers(&self) {
        self.peers.mark_known_to_peers();
    }

    /// Returns `true` if all nodes know by now that this node's upstream is listed.
    pub(super) fn is_known_to_peers(&self, now: Time) -> bool {
        self.peers.is_known_to_peers(now)
    }

    /// Returns `true` if all upstreams that may have run a key are known.
    pub(super) fn knows_witnesses(&self, now: Now, key: &RequestKey) -> bool {
        self.peers.is_complete(now, key)
    }

    /// Returns a request kind by its service and name.
    pub(super) fn kind(&self, id: &KindId) -> Option<&Kind> {
        self.snapshot()?.kind(id)
    }

    /// Returns the kind of a request that another node names. Nodes of the former release
    /// name a kind by its label only; where several kinds share the label, the route of
    /// the request decides. `None` if no kind of the service fits.
    pub(super) fn resolve_kind(&self, named: &KindId, request: &HttpRequest) -> Option<KindId> {
        if named.kind.place().is_some() || self.kind(named).is_some() {
            return Some(named.clone());
        }
        let kinds = &self.service(&named.service)?.kinds;
        let is_namesake = |kind: &&KindName| kind.label() == named.kind.label();
        let mut namesakes = kinds.keys().filter(is_namesake);
        let first = namesakes.next()?;
        let kind = if namesakes.next().is_none() {
            first
        } else {
            let route = self.router.as_ref()?.find(request)?;
            Some(&route.kind).filter(is_namesake)?
        };
        Some(KindId {
            service: named.service.clone(),
            kind: kind.clone(),
        })
    }

    /// Returns `true` if the configuration in effect lets a request run at most once.
    pub(super) fn is_at_most_once(&self, request: &HttpRequest) -> bool {
        let route = self.router.as_ref().and_then(|router| router.find(request));
        let kind = route.and_then(|route| self.service(&route.service)?.kinds.get(&route.kind));
        kind.is_some_and(|kind| !kind.semantics.is_repeatable())
    }

    /// Returns the workspaces of the configuration in effect.
    pub(super) const fn workspaces(&self) -> &Workspaces {
        &self.workspaces
    }

    /// Returns the priority of a workspace.
    pub(super) fn workspace_priority(&self, name: &WorkspaceName) -> Option<Priority> {
        let workspace = self.snapshot()?.workspaces.get(name);
        workspace.map(|workspace| workspace.priority)
    }

    /// Returns the name of the first matching route.
    pub(super) fn route_name(&self, request: &HttpRequest) -> Option<&RouteName> {
        let route = self.router.as_ref()?.find(request)?;
        Some(&route.name)
    }

    /// Returns the destination that the first matching route gives a request. `random`
    /// chooses among the splits of the route.
    pub(super) fn route(&self, request: &HttpRequest, random: u64) -> Option<Destination> {
        let router = self.router.as_ref()?;
        let route = router.find(request)?;
        Some(Destination {
            kind: KindId {
                service: router.service(route, random).clone(),
                kind: route.kind.clone(),
            },
            is_public: route.is_public,
        })
    }
}

fn zone_sizes(snapshot: &Snapshot) -> BTreeMap<ZoneName, u32> {
    let mut sizes = BTreeMap::new();
    for upstream in snapshot.upstreams.values() {
        *sizes.entry(upstream.zone.clone()).or_default() += 1;
    }
    sizes
}
