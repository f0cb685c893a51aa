//! Header fields by which callers, nodes and targets tell each other about a call.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Depth;
use celeryshore_model::Header;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;

/// Key of an operation, chosen by the caller.
pub(super) const KEY: &[u8] = b"idempotency-key";
/// How often the caller has sent the key.
pub(super) const ATTEMPT: &[u8] = b"celeryshore-attempt";
/// Calls of the mesh between the first caller and this one.
pub(super) const DEPTH: &[u8] = b"celeryshore-depth";
/// Milliseconds left until the caller gives up.
pub(super) const DEADLINE: &[u8] = b"celeryshore-deadline-ms";
const NOT_RUN: &[u8] = b"x-not-run";
const RETRY_AFTER: &[u8] = b"retry-after";

/// Lowest status by which a target says that it fails.
const INTERNAL_SERVER_ERROR: u16 = 500;
/// Status by which a target sheds load.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Status by which a target limits a rate.
const TOO_MANY_REQUESTS: u16 = 429;

/// Returns the value of a header field as a number.
pub(super) fn number(request: &HttpRequest, name: &[u8]) -> Option<u64> {
    let value = request.header(name)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the depth that a request says it comes from.
pub(super) fn depth(request: &HttpRequest) -> Depth {
    let depth = number(request, DEPTH).unwrap_or(0);
    Depth::new(u8::try_from(depth).unwrap_or(u8::MAX))
}

/// Returns the time after which the caller gives up, if the request says so.
pub(super) fn patience(request: &HttpRequest) -> Option<Duration> {
    number(request, DEADLINE).map(Duration::from_millis)
}

/// Prepares a request for the target: one call deeper, with its time left.
pub(super) fn stamp(mut request: HttpRequest, depth: Depth, remaining: Duration) -> HttpRequest {
    let own = |h: &Header| h.name == DEPTH || h.name == DEADLINE;
    request.headers.retain(|h| !own(h));
    let depth = depth.get().saturating_add(1).to_string();
    let remaining = remaining.as_millis().to_string();
    request
        .headers
        .push(Header::new(Bytes::from_static(DEPTH), depth));
    request
        .headers
        .push(Header::new(Bytes::from_static(DEADLINE), remaining));
    request
}

/// Tells whether a target's answer means that it sheds load.
pub(super) fn is_shed(response: &HttpResponse) -> bool {
    [SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS].contains(&response.status)
}

/// Tells whether a target's answer means that it fails, whatever the request.
pub(super) const fn is_failure(response: &HttpResponse) -> bool {
    response.status >= INTERNAL_SERVER_ERROR
}

/// Tells whether a target's answer promises that the request did not run.
pub(super) fn is_not_run(response: &HttpResponse) -> bool {
    is_shed(response) && response.header(NOT_RUN).is_some_and(|v| v == "1")
}

/// Returns when the target asks to be called again.
pub(super) fn retry_after(response: &HttpResponse) -> Option<Duration> {
    let value = response.header(RETRY_AFTER)?;
    let secs = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    Some(Duration::from_secs(secs))
}
