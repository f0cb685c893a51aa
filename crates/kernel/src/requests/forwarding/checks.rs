//! Route and key of a caller's request.

use celeryshore_model::HttpRequest;
use celeryshore_model::WorkspaceName;

use crate::NotRun;
use crate::requests::context::ReadContext;
use crate::requests::forwarding::RequestSource;
use crate::requests::headers;
use crate::requests::view::Destination;

/// Result of the checks before a request is forwarded.
pub(super) type Result<T> = std::result::Result<T, NotRun>;

/// Routes a request. `random` chooses among the splits of the route.
///
/// A node that has stopped forwarding still forwards the calls of its target's runs, which
/// would fail without them.
pub(super) fn route(
    cx: ReadContext<'_>,
    request: &HttpRequest,
    source: RequestSource,
    random: u64,
) -> Result<Destination> {
    if cx.view.is_forwarding_stopped() && source.earlier_calls.is_none() {
        return Err(NotRun::Leaving);
    }
    if cx.view.snapshot().is_none() {
        return Err(NotRun::Learning);
    }
    let destination = cx.view.route(request, random);
    destination.ok_or_else(|| unless_behind(cx, NotRun::NoRoute))
}

/// Returns the reason for a refusal, or [`NotRun::Behind`] if a newer configuration may
/// admit the request.
fn unless_behind(cx: ReadContext<'_>, reason: NotRun) -> NotRun {
    if cx.view.may_lack_route() {
        NotRun::Behind
    } else {
        reason
    }
}

/// Replaces the key of a request by the name of its workspace.
pub(super) fn check_key(
    cx: ReadContext<'_>,
    request: &mut HttpRequest,
    is_public: bool,
) -> Result<Option<WorkspaceName>> {
    let workspaces = cx.view.workspaces();
    if !workspaces.are_required() {
        return Ok(None);
    }
    let dialect = &cx.view.cfg().terms.dialect;
    let workspace = if is_public {
        None
    } else if cx.view.are_keys_expired() {
        return Err(NotRun::Behind);
    } else {
        let found = workspaces.find(dialect, request);
        Some(found.ok_or_else(|| unless_behind(cx, NotRun::UnknownKey))?)
    };
    headers::set_workspace(dialect, request, workspace);
    Ok(workspace.cloned())
}
