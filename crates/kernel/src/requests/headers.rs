//! Header fields about calls, exchanged by callers, nodes and targets.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Depth;
use celeryshore_model::Dialect;
use celeryshore_model::Header;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::ServiceName;
use celeryshore_model::UpstreamName;
use celeryshore_model::WorkspaceName;

/// Idempotency key of an operation, chosen by the caller.
pub(super) const KEY: &[u8] = b"idempotency-key";
/// Number of times that the caller has sent the key, this one included.
pub(super) const ATTEMPT: &[u8] = b"celeryshore-attempt";
const RETRY_AFTER: &[u8] = b"retry-after";

/// Lowest status code of an unsuccessful response.
const BAD_REQUEST: u16 = 400;
/// Lowest status code of a failure of the target.
const INTERNAL_SERVER_ERROR: u16 = 500;
/// Status code of a target that sheds load.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Status code of a target that isn't the one named in the request.
const MISDIRECTED_REQUEST: u16 = 421;
/// Status code of a target that limits the request rate.
const TOO_MANY_REQUESTS: u16 = 429;

/// Returns the identifier of a request, if the dialect has a field for it.
pub(super) fn request_id<'a>(dialect: &Dialect, request: &'a HttpRequest) -> Option<&'a Bytes> {
    request.header(dialect.request_id.as_ref()?)
}

/// Returns the identifier of the run that made a request, as far as its own one says.
pub(super) fn parent_id(dialect: &Dialect, request: &HttpRequest) -> Option<Bytes> {
    let separator = dialect.call_separator?;
    let id = request_id(dialect, request)?;
    let end = id.iter().rposition(|byte| *byte == separator)?;
    Some(id.slice(..end))
}

/// Returns the value of a header field as a number, if it is one.
pub(super) fn number(request: &HttpRequest, name: &[u8]) -> Option<u64> {
    let value = request.header(name)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the call depth that a request states; 0 if it states none.
pub(super) fn depth(dialect: &Dialect, request: &HttpRequest) -> Depth {
    let depth = dialect
        .depth
        .as_ref()
        .and_then(|name| number(request, name));
    let depth = depth.unwrap_or(0);
    Depth::new(u8::try_from(depth).unwrap_or(u8::MAX))
}

/// Returns the time after which the caller gives up, if the request states it.
pub(super) fn caller_timeout(dialect: &Dialect, request: &HttpRequest) -> Option<Duration> {
    number(request, &dialect.deadline).map(Duration::from_millis)
}

/// Sets the depth, one greater than the caller's, and the time left on a request to
/// the target.
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

/// Names the intended target, so that another one at the same address refuses the
/// request.
pub(super) fn set_expected_target(
    dialect: &Dialect,
    request: &mut HttpRequest,
    name: &UpstreamName,
) {
    if let Some(field) = &dialect.expected_target {
        set(request, field, name.to_string());
    }
}

/// Names the service that a request comes from, overwriting the caller's value.
pub(super) fn set_caller_service(
    dialect: &Dialect,
    request: &mut HttpRequest,
    service: &ServiceName,
) {
    if let Some(field) = &dialect.caller_service {
        set(request, field, service.to_string());
    }
}

/// Removes the caller's key and any workspace that the caller states, and names the
/// workspace of the request if it has one.
pub(super) fn set_workspace(
    dialect: &Dialect,
    request: &mut HttpRequest,
    workspace: Option<&WorkspaceName>,
) {
    remove_unchecked(dialect, request, false);
    if let Some((field, workspace)) = dialect.workspace.as_ref().zip(workspace) {
        set(request, field, workspace.to_string());
    }
}

/// Removes the key that a forwarding node without knowledge of workspaces passes on, and,
/// unless the workspace `is_checked`, the one that the caller states.
pub(super) fn remove_unchecked(dialect: &Dialect, request: &mut HttpRequest, is_checked: bool) {
    let workspace = dialect.workspace.as_ref().filter(|_| !is_checked);
    let fields = [dialect.key.as_ref(), workspace];
    request.headers.retain(|h| !fields.contains(&Some(&h.name)));
}

/// Sets a header field and removes any others of the same name.
fn set(request: &mut HttpRequest, name: &Bytes, value: String) {
    request.headers.retain(|h| h.name != name);
    request.headers.push(Header::new(name.clone(), value));
}

/// Returns `true` if the target shed the request because of load.
pub(super) fn is_shed(response: &HttpResponse) -> bool {
    [SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS].contains(&response.status)
}

/// Returns `true` if the response shows a failure of the target, not of the request.
pub(super) const fn is_failure(response: &HttpResponse) -> bool {
    response.status >= INTERNAL_SERVER_ERROR
}

/// Returns `true` if the response guarantees that the request did not run.
pub(super) fn is_not_run(dialect: &Dialect, response: &HttpResponse) -> bool {
    let is_marked = response.header(&dialect.not_run).is_some_and(|v| v == "1");
    is_misdirected(dialect, response) || (is_marked && response.status >= BAD_REQUEST)
}

/// Returns `true` if the request reached another target than it names.
pub(super) fn is_misdirected(dialect: &Dialect, response: &HttpResponse) -> bool {
    dialect.expected_target.is_some() && response.status == MISDIRECTED_REQUEST
}

/// Returns the delay that the target asks for before a retry.
pub(super) fn retry_after(response: &HttpResponse) -> Option<Duration> {
    let value = response.header(RETRY_AFTER)?;
    let secs: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(secs).ok()
}
