//! Header fields by which callers, nodes and targets tell each other about a call.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Depth;
use celeryshore_model::Dialect;
use celeryshore_model::Header;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::ServiceName;
use celeryshore_model::UpstreamName;

/// Key of an operation, chosen by the caller.
pub(super) const KEY: &[u8] = b"idempotency-key";
/// How often the caller has sent the key.
pub(super) const ATTEMPT: &[u8] = b"celeryshore-attempt";
const RETRY_AFTER: &[u8] = b"retry-after";

/// Lowest status of an answer that is no success.
const BAD_REQUEST: u16 = 400;
/// Lowest status by which a target says that it fails.
const INTERNAL_SERVER_ERROR: u16 = 500;
/// Status by which a target sheds load.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Status by which a target says that another one is meant.
const MISDIRECTED_REQUEST: u16 = 421;
/// Status by which a target limits a rate.
const TOO_MANY_REQUESTS: u16 = 429;

/// Returns the value of a header field as a number.
pub(super) fn number(request: &HttpRequest, name: &[u8]) -> Option<u64> {
    let value = request.header(name)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the depth that a request says it comes from.
pub(super) fn depth(dialect: &Dialect, request: &HttpRequest) -> Depth {
    let depth = dialect
        .depth
        .as_ref()
        .and_then(|name| number(request, name));
    let depth = depth.unwrap_or(0);
    Depth::new(u8::try_from(depth).unwrap_or(u8::MAX))
}

/// Returns the time after which the caller gives up, if the request says so.
pub(super) fn caller_timeout(dialect: &Dialect, request: &HttpRequest) -> Option<Duration> {
    number(request, &dialect.deadline).map(Duration::from_millis)
}

/// Prepares a request for the target: one call deeper, with its time left.
pub(super) fn set_call_fields(
    dialect: &Dialect,
    request: &mut HttpRequest,
    depth: Depth,
    remaining: Duration,
) {
    let remaining = remaining.as_millis().to_string();
    set(request, &dialect.deadline, remaining);
    if let Some(name) = &dialect.depth {
        set(request, name, depth.get().saturating_add(1).to_string());
    }
}

/// Names the target that is meant, so that another at its address refuses.
pub(super) fn set_expected_target(
    dialect: &Dialect,
    request: &mut HttpRequest,
    name: &UpstreamName,
) {
    if let Some(field) = &dialect.expected_target {
        set(request, field, name.to_string());
    }
}

/// Names the service that a request comes from, whatever its caller said.
pub(super) fn set_caller_service(
    dialect: &Dialect,
    request: &mut HttpRequest,
    service: &ServiceName,
) {
    if let Some(field) = &dialect.caller_service {
        set(request, field, service.to_string());
    }
}

/// Sets a header field in place of any others of its name.
fn set(request: &mut HttpRequest, name: &Bytes, value: String) {
    request.headers.retain(|h| h.name != name);
    request.headers.push(Header::new(name.clone(), value));
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
pub(super) fn is_not_run(dialect: &Dialect, response: &HttpResponse) -> bool {
    let is_marked = response.header(&dialect.not_run).is_some_and(|v| v == "1");
    is_misdirected(dialect, response) || (is_marked && response.status >= BAD_REQUEST)
}

/// Tells whether the target says that another one is meant.
pub(super) fn is_misdirected(dialect: &Dialect, response: &HttpResponse) -> bool {
    dialect.expected_target.is_some() && response.status == MISDIRECTED_REQUEST
}

/// Returns when the target asks to be called again.
pub(super) fn retry_after(response: &HttpResponse) -> Option<Duration> {
    let value = response.header(RETRY_AFTER)?;
    let secs: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(secs).ok()
}
