//! Routing of a request to a service and a request kind.

use celeryshore_model::HttpRequest;
use celeryshore_model::KindId;
use celeryshore_model::Route;
use celeryshore_model::RouteMatch;
use celeryshore_model::ServiceName;
use celeryshore_model::Snapshot;

/// Returns the request kind that the first matching route names.
///
/// `draw` chooses among the services of a split route.
pub(super) fn find(snapshot: &Snapshot, request: &HttpRequest, draw: u64) -> Option<KindId> {
    let route = snapshot
        .routes
        .iter()
        .find(|r| is_match(&r.matches, request))?;
    Some(KindId {
        service: service(route, draw).clone(),
        kind: route.kind.clone(),
    })
}

fn is_match(matches: &RouteMatch, request: &HttpRequest) -> bool {
    let host_ok = matches
        .host
        .as_ref()
        .is_none_or(|h| h.as_bytes().eq_ignore_ascii_case(&request.host));
    let method_ok = matches
        .method
        .as_ref()
        .is_none_or(|m| m.as_bytes() == &request.method[..]);
    host_ok && method_ok && is_prefix(matches.path.as_bytes(), path_only(&request.path))
}

fn path_only(path: &[u8]) -> &[u8] {
    path.split(|b| *b == b'?').next().unwrap_or_default()
}

fn is_prefix(prefix: &[u8], path: &[u8]) -> bool {
    let prefix = prefix.strip_suffix(b"/").unwrap_or(prefix);
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest[0] == b'/')
}

fn service(route: &Route, draw: u64) -> &ServiceName {
    let total: u64 = route.splits.iter().map(|s| u64::from(s.weight.get())).sum();
    if total == 0 {
        return &route.service;
    }
    let mut left = draw % total;
    for split in &route.splits {
        let weight = u64::from(split.weight.get());
        if left < weight {
            return &split.service;
        }
        left -= weight;
    }
    &route.service
}
