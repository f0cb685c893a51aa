//! Checks of a forwarded request before it asks for a slot.

use celeryshore_model::Upstream;
use celeryshore_model::UpstreamState;

use crate::Delivery;
use crate::Handover;
use crate::NotRun;
use crate::requests::context::Context;
use crate::requests::suspect_requests::POISON_THRESHOLD;

/// Result of a check; the error is the reason of the refusal.
pub(super) type Result<T> = std::result::Result<T, NotRun>;

/// Checks a forwarded request against this node's configuration and state.
pub(super) fn check(cx: &mut Context<'_>, handover: &Handover) -> Result<()> {
    check_poison(cx, handover)?;
    check_configured(cx)?;
    check_upstream(cx, handover)?;
    check_kind(cx, handover)
}

/// Checks that a request isn't quarantined here. It passes if its forwarding node knows
/// of the crashes and sent it anyway.
fn check_poison(cx: &mut Context<'_>, handover: &Handover) -> Result<()> {
    let is_known = handover.crashed_vms.len() >= POISON_THRESHOLD;
    let now = cx.now.mono;
    if !is_known
        && cx
            .suspect_requests
            .check_quarantine(now, &handover.fingerprint)
            .is_some()
    {
        return Err(NotRun::Poison);
    }
    Ok(())
}

fn check_configured(cx: &Context<'_>) -> Result<()> {
    cx.view.snapshot().map(|_| ()).ok_or(NotRun::Learning)
}

fn check_upstream(cx: &Context<'_>, handover: &Handover) -> Result<()> {
    let own = cx.view.own().ok_or(NotRun::NotHere)?;
    if own.name != handover.upstream || own.service != handover.kind.service {
        return Err(NotRun::NotHere);
    }
    if cx.view.is_own_out_of_service() {
        return Err(NotRun::OutOfService);
    }
    if cx.view.is_leaving() {
        return Err(NotRun::Leaving);
    }
    check_serving(own)
}

/// Checks that the local target takes new requests. Forwarding nodes with an older view
/// go on choosing a target for a while after it has announced that it leaves.
pub(super) fn check_serving(own: &Upstream) -> Result<()> {
    match own.state {
        UpstreamState::Serving => Ok(()),
        UpstreamState::Leaving => Err(NotRun::Leaving),
    }
}

fn check_kind(cx: &Context<'_>, handover: &Handover) -> Result<()> {
    let kind = cx.view.kind(&handover.kind).ok_or(NotRun::NotHere)?;
    let is_repeatable = handover.delivery == Delivery::Repeatable;
    if is_repeatable != kind.semantics.is_repeatable() {
        return Err(NotRun::NotHere);
    }
    let limits = cx.view.own_limits().ok_or(NotRun::NotHere)?;
    if handover.request.body.len() as u64 > limits.body.get() {
        return Err(NotRun::TooLarge);
    }
    Ok(())
}
