//! Explanation of a routing decision.

use std::fmt;

use celeryshore_model::HttpRequest;
use celeryshore_model::Kind;
use celeryshore_model::KindId;
use celeryshore_model::Route;
use celeryshore_model::RouteMatch;
use celeryshore_model::RouteName;
use celeryshore_model::ServiceName;
use celeryshore_model::Snapshot;
use celeryshore_model::Upstream;
use celeryshore_model::UpstreamName;
use celeryshore_model::VmName;
use celeryshore_model::Weight;
use celeryshore_model::ZoneName;
use derive_more::Display;
use serde::Serialize;

use crate::router::strip_query;

/// Explanation of how a snapshot routes a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Route that matches the request; `None` if no route does.
    pub route: Option<RouteName>,
    /// Routes before the matching one, or all routes if none matches.
    #[serde(rename = "passed_over")]
    pub skipped_routes: Vec<SkippedRoute>,
    /// Services that can receive the request.
    pub choices: Vec<Choice>,
}

/// Route that doesn't match the request.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{route}: {reason}")]
pub struct SkippedRoute {
    /// Name of the route.
    pub route: RouteName,
    /// First condition that the request doesn't meet.
    pub reason: Mismatch,
}

/// Condition of a route that a request doesn't meet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mismatch {
    /// The request is for another host.
    #[display("another host")]
    Host,
    /// The path doesn't start with the path of the route.
    #[display("another path")]
    Path,
    /// The request uses another method.
    #[display("another method")]
    Method,
}

/// Service that can receive the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Choice {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the service in a split route; `None` if the route isn't split.
    pub weight: Option<Weight>,
    /// Request kind of the route.
    pub kind: Option<Kind>,
    /// All upstreams of the service, including those out of service.
    pub upstreams: Vec<Candidate>,
}

/// Upstream that can receive the request unless it is out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// VM of the upstream.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Whether an `out` rule takes the upstream out of service, by its zone or VM.
    #[serde(rename = "out")]
    pub is_out_of_service: bool,
}

/// Explains how a snapshot routes a request.
///
/// # Example
///
/// ```
/// use celeryshore_model::HttpRequest;
/// use celeryshore_model::Index;
///
/// let snapshot = celeryshore_rules::from_str("epoch 1  # ops\n", Index(1))?;
/// let explanation = celeryshore_rules::explain(&snapshot, &HttpRequest::default());
/// assert!(explanation.route.is_none());
/// assert_eq!(explanation.to_string(), "no route takes the request\n");
/// # Ok::<(), celeryshore_rules::Error>(())
/// ```
#[must_use]
pub fn explain(snapshot: &Snapshot, req: &HttpRequest) -> Explanation {
    let mut skipped_routes = Vec::new();
    for route in &snapshot.routes {
        let Some(reason) = mismatch(&route.matches, req) else {
            return Explanation {
                route: Some(route.name.clone()),
                skipped_routes,
                choices: choices(snapshot, route),
            };
        };
        skipped_routes.push(SkippedRoute {
            route: route.name.clone(),
            reason,
        });
    }
    Explanation {
        route: None,
        skipped_routes,
        choices: Vec::new(),
    }
}

fn mismatch(matches: &RouteMatch, req: &HttpRequest) -> Option<Mismatch> {
    let host = matches.host.as_ref();
    if host.is_some_and(|host| !req.host.eq_ignore_ascii_case(host.as_bytes())) {
        return Some(Mismatch::Host);
    }
    if !matches_path(matches.path.as_bytes(), strip_query(&req.path)) {
        return Some(Mismatch::Path);
    }
    let method = matches.method.as_ref();
    let is_other_method = method.is_some_and(|method| req.method != method.as_bytes());
    is_other_method.then_some(Mismatch::Method)
}

fn matches_path(prefix: &[u8], path: &[u8]) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| prefix == b"/" || rest.is_empty() || rest.starts_with(b"/"))
}

fn choices(snapshot: &Snapshot, route: &Route) -> Vec<Choice> {
    if route.splits.is_empty() {
        return vec![choice(snapshot, route, &route.service, None)];
    }
    let splits = route.splits.iter();
    splits
        .map(|split| choice(snapshot, route, &split.service, Some(split.weight)))
        .collect()
}

fn choice(
    snapshot: &Snapshot,
    route: &Route,
    service: &ServiceName,
    weight: Option<Weight>,
) -> Choice {
    let id = KindId {
        service: service.clone(),
        kind: route.kind.clone(),
    };
    let upstreams = snapshot.services.get(service).map(|s| s.upstreams.iter());
    let upstreams = upstreams.into_iter().flatten();
    let upstreams = upstreams.filter_map(|name| snapshot.upstreams.get(name));
    Choice {
        service: service.clone(),
        weight,
        kind: snapshot.kind(&id).cloned(),
        upstreams: upstreams.map(|u| candidate(snapshot, u)).collect(),
    }
}

fn candidate(snapshot: &Snapshot, upstream: &Upstream) -> Candidate {
    Candidate {
        upstream: upstream.name.clone(),
        vm: upstream.vm.clone(),
        zone: upstream.zone.clone(),
        is_out_of_service: snapshot.is_out_of_service(upstream),
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for skipped in &self.skipped_routes {
            writeln!(f, "not route {skipped}")?;
        }
        match &self.route {
            Some(route) => writeln!(f, "route {route}")?,
            None => writeln!(f, "no route takes the request")?,
        }
        self.choices.iter().try_for_each(|choice| choice.fmt(f))
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "  service {}", self.service)?;
        if let Some(weight) = self.weight {
            write!(f, " weight {weight}")?;
        }
        if let Some(kind) = &self.kind {
            let Kind {
                name,
                semantics,
                deadline,
                ..
            } = kind;
            write!(f, ", kind {name} ({semantics}, {deadline:?})")?;
        }
        writeln!(f)?;
        self.upstreams.iter().try_for_each(|u| u.fmt(f))
    }
}

impl fmt::Display for Candidate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            upstream, vm, zone, ..
        } = self;
        let state = if self.is_out_of_service { "out" } else { "in" };
        writeln!(f, "    {state:<3} upstream {upstream} on {vm} in {zone}")
    }
}
