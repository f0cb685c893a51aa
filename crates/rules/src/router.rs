//! Matching of requests to routes.

use std::collections::HashMap;
use std::sync::Arc;

use celeryshore_model::HttpRequest;
use celeryshore_model::Route;
use celeryshore_model::ServiceName;
use celeryshore_model::Snapshot;

type PathIndex = HashMap<Box<[u8]>, Vec<usize>>;

/// Index of a snapshot's routes by host and path.
///
/// The first matching route in the file wins. The path of a route is a prefix
/// of whole segments; the query of a request is ignored.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use celeryshore_model::HttpRequest;
/// use celeryshore_model::Index;
/// use celeryshore_rules::Router;
///
/// let text = "\
/// epoch 1  # operations
/// zone glasgow region=scotland  # operations
/// service ordering slots=6 connections=110  # A. Baird
/// kind ordering/place-order semantics=at-most-once deadline=2s  # A. Baird
/// upstream ord-1 service=ordering zone=glasgow vm=vm-1 peer=10.0.0.1:71 control=10.0.0.1:72  # A. Baird
/// route place-order path=/orders service=ordering kind=place-order method=POST  # A. Baird
/// ";
/// let snapshot = celeryshore_rules::from_str(text, Index(7))?;
/// let router = Router::new(Arc::new(snapshot));
/// let mut request = HttpRequest {
///     method: "POST".into(),
///     path: "/orders/17?fast".into(),
///     ..HttpRequest::default()
/// };
/// let route = router.find(&request).unwrap();
/// assert_eq!(router.service(route, 0).as_str(), "ordering");
/// request.path = "/orders-old".into();
/// assert!(router.find(&request).is_none());
/// # Ok::<(), celeryshore_rules::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Router {
    snapshot: Arc<Snapshot>,
    hosts: HashMap<Box<[u8]>, PathIndex>,
    any_host: PathIndex,
    /// Length of the longest route path, in bytes; longer prefixes aren't looked up.
    longest_path: usize,
}

impl Router {
    /// Builds the index of a snapshot's routes.
    #[must_use]
    pub fn new(snapshot: Arc<Snapshot>) -> Self {
        let mut hosts: HashMap<Box<[u8]>, PathIndex> = HashMap::new();
        let mut any_host = PathIndex::new();
        for (i, route) in snapshot.routes.iter().enumerate() {
            let paths = match &route.matches.host {
                Some(host) => hosts.entry(host.as_bytes().into()).or_default(),
                None => &mut any_host,
            };
            let path = route.matches.path.as_bytes();
            paths.entry(path.into()).or_default().push(i);
        }
        let lengths = snapshot.routes.iter().map(|route| route.matches.path.len());
        let longest_path = lengths.max().unwrap_or(0);
        Self {
            snapshot,
            hosts,
            any_host,
            longest_path,
        }
    }

    /// Returns the snapshot that the index was built from.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the first route in the file that matches the request.
    #[must_use]
    pub fn find(&self, req: &HttpRequest) -> Option<&Route> {
        let host = req.host.to_ascii_lowercase();
        let for_host = self.hosts.get(&*host);
        let for_host = for_host.and_then(|paths| self.first_match(paths, req));
        let for_any_host = self.first_match(&self.any_host, req);
        let first = for_host.into_iter().chain(for_any_host).min();
        first.map(|i| &self.snapshot.routes[i])
    }

    fn first_match(&self, paths: &PathIndex, req: &HttpRequest) -> Option<usize> {
        let prefixes = prefixes(strip_query(&req.path), self.longest_path);
        let matching = prefixes.filter_map(|prefix| {
            let routes = paths.get(prefix)?;
            routes
                .iter()
                .copied()
                .find(|i| self.matches_method(*i, req))
        });
        matching.min()
    }

    fn matches_method(&self, i: usize, req: &HttpRequest) -> bool {
        let method = &self.snapshot.routes[i].matches.method;
        method.as_ref().is_none_or(|m| req.method == m.as_bytes())
    }

    /// Returns the service for a request on this route. In a split route, `draw`
    /// selects the service; uniformly distributed draws distribute requests by
    /// weight.
    #[must_use]
    pub fn service<'a>(&self, route: &'a Route, draw: u64) -> &'a ServiceName {
        let weights = route.splits.iter().map(|s| u64::from(s.weight.get()));
        let Some(mut point) = draw.checked_rem(weights.sum()) else {
            return &route.service;
        };
        for split in &route.splits {
            let weight = u64::from(split.weight.get());
            if point < weight {
                return &split.service;
            }
            point -= weight;
        }
        &route.service
    }
}

/// Returns a path without its query.
pub(crate) fn strip_query(path: &[u8]) -> &[u8] {
    let end = path.iter().position(|b| *b == b'?');
    &path[..end.unwrap_or(path.len())]
}

/// Returns the prefixes of a path that end at a segment, with and without the
/// trailing slash, up to a length of `longest` bytes. The first is `/`.
fn prefixes(path: &[u8], longest: usize) -> impl Iterator<Item = &[u8]> {
    let is_end = |end: &usize| path.get(*end).is_none_or(|b| *b == b'/') || path[end - 1] == b'/';
    let ends = (1..=path.len().min(longest)).filter(is_end);
    let root = path.first().filter(|b| **b == b'/').map(|_| &path[..1]);
    let longer = ends.filter(|end| *end > 1).map(|end| &path[..end]);
    root.into_iter().chain(longer)
}
