//! Rendezvous hashing: the order of a service's upstreams for an idempotency key.

use std::cmp::Reverse;

use celeryshore_model::Digest;
use celeryshore_model::RequestKey;
use celeryshore_model::UpstreamName;

/// Returns the upstreams in the order in which a key is sent to them. The first is
/// the home of the key.
///
/// All nodes with the same list compute the same order. Adding or removing an
/// upstream moves only the keys whose home it becomes or was.
pub(super) fn order<'a>(
    upstreams: impl IntoIterator<Item = &'a UpstreamName>,
    key: &RequestKey,
) -> Vec<&'a UpstreamName> {
    let mut order: Vec<_> = upstreams.into_iter().collect();
    order.sort_by_cached_key(|name| Reverse(weight(name, key)));
    order
}

fn weight(upstream: &UpstreamName, key: &RequestKey) -> Digest {
    let name = upstream.as_str().as_bytes();
    Digest::of(&[key.as_bytes(), &[0], name].concat())
}
