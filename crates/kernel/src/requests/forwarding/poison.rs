//! Detection of poison requests, which crash the targets that run them.

use std::time::Duration;

use celeryshore_model::HttpRequest;
use celeryshore_model::Upstream;

use super::call::Call;
use super::call::UpstreamRequest;
use crate::Delivery;
use crate::Handover;
use crate::MemberState;
use crate::Unknown;
use crate::requests::CrashEvidence;
use crate::requests::context::Context;
use crate::requests::suspect_requests::POISON_THRESHOLD;

/// Timeout of an announcement of crashed VMs.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Records the loss of the target or node that ran a call, and announces it to
/// the service's other upstreams, so that a resend through any node is recognized.
///
/// A lost connection to a node that is still alive isn't announced, because the node
/// may only be unreachable from here. It counts for this call alone. Nothing is
/// recorded if only the loss of a target is evidence of a crash, which the admitting
/// node observes.
pub(super) fn record_loss(
    cx: &mut Context<'_>,
    call: &mut Call,
    req: &UpstreamRequest,
    reason: Unknown,
) {
    let is_target = reason == Unknown::TargetLost;
    let is_node = reason == Unknown::PeerLost && cx.view.member(&req.vm) != MemberState::Alive;
    if cx.view.cfg().terms.crash_evidence == CrashEvidence::LostTarget {
        return;
    }
    if !call.crashed_vms.contains(&req.vm) {
        call.crashed_vms.push(req.vm.clone());
    }
    if is_target || is_node {
        let crashed_vms = [req.vm.clone()];
        let now = cx.now.mono;
        let is_new = cx
            .suspect_requests
            .record(now, call.fingerprint, &crashed_vms);
        if is_new || req.is_local {
            announce(cx, call);
        }
    }
}

/// Returns `true` if so many VMs crashed while they ran a call that it isn't retried.
pub(super) const fn is_poison(call: &Call) -> bool {
    call.crashed_vms.len() >= POISON_THRESHOLD
}

/// Sends the crashed VMs to the other upstreams in requests that have no time
/// left, so that no node runs them.
fn announce(cx: &mut Context<'_>, call: &Call) {
    let crashed_vms = cx.suspect_requests.crashed_vms(&call.fingerprint);
    let deadline = cx.now.mono + ANNOUNCEMENT_TIMEOUT;
    for upstream in cx.view.upstreams_of(&call.kind.service) {
        if cx.view.is_usable(&upstream.vm) && upstream.vm != cx.view.cfg().vm {
            let announcement = Handover {
                crashed_vms: crashed_vms.clone(),
                ..announcement(cx, call, &upstream)
            };
            cx.send(&upstream, Box::new(announcement).into(), deadline);
        }
    }
}

fn announcement(cx: &Context<'_>, call: &Call, upstream: &Upstream) -> Handover {
    Handover {
        delivery: Delivery::Repeatable,
        remaining: Duration::ZERO,
        request: HttpRequest::default(),
        ..call.handover(cx, upstream, false, None)
    }
}
