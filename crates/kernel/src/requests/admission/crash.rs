//! Requests that may have crashed the local target.
//!
//! Load pattern: one request crashes each target that runs it, and its caller resends
//! it. It has to be told apart from requests whose responses are merely lost.

use std::time::Duration;

use celeryshore_model::Depth;
use celeryshore_model::Digest;
use celeryshore_model::HttpRequest;
use celeryshore_model::KindId;
use celeryshore_model::Time;

use super::Admission;
use super::work::Work;
use crate::Delivery;
use crate::Handover;
use crate::requests::CrashEvidence;
use crate::requests::Outcome;
use crate::requests::context::Context;

/// Maximum time between a lost response and the sign that its target has crashed. A
/// health check is due at once, and a crashed target takes seconds to return.
const CRASH_WINDOW: Duration = Duration::from_millis(500);
/// Timeout of an announcement to another node.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests whose responses were lost recently.
#[derive(Debug, Default)]
pub(super) struct LostResponses {
    lost: Vec<(Time, KindId, Digest)>,
}

impl LostResponses {
    /// Records a request whose response was lost.
    pub(super) fn record(&mut self, now: Time, handover: &Handover) {
        self.lost.retain(|(at, ..)| now - *at <= CRASH_WINDOW);
        let loss = (now, handover.kind.clone(), handover.fingerprint);
        self.lost.push(loss);
    }

    /// Removes and returns the requests that were lost together with the target.
    fn take(&mut self, now: Time) -> Vec<(KindId, Digest)> {
        let lost = self.lost.drain(..);
        let fresh = lost.filter(|(at, ..)| now - *at <= CRASH_WINDOW);
        fresh.map(|(_, kind, digest)| (kind, digest)).collect()
    }
}

impl Admission {
    /// Records what an outcome shows of a request that may crash targets.
    pub(super) fn record_crash_evidence(
        &mut self,
        cx: &mut Context<'_>,
        work: &Work,
        outcome: &Outcome,
    ) {
        let fingerprint = work.handover.fingerprint;
        let blames_lost_responses =
            cx.view.cfg().terms.crash_evidence == CrashEvidence::LostResponse;
        match outcome {
            Outcome::Answered(_) | Outcome::Discarded => cx.suspect_requests.clear(&fingerprint),
            Outcome::Broken | Outcome::Silent if blames_lost_responses => {
                let own = [cx.view.cfg().vm.clone()];
                cx.suspect_requests.record(cx.now.mono, fingerprint, &own);
            }
            Outcome::Broken => self.lost_responses.record(cx.now.mono, &work.handover),
            Outcome::Silent => {}
            Outcome::NeverSent => self.record_target_crash(cx),
        }
    }

    /// Records that the target has crashed: suspects the requests that were lost with
    /// it, and announces them to the other nodes of the service.
    pub(super) fn record_target_crash(&mut self, cx: &mut Context<'_>) {
        let own = [cx.view.cfg().vm.clone()];
        for (kind, fingerprint) in self.lost_responses.take(cx.now.mono) {
            if cx.suspect_requests.record(cx.now.mono, fingerprint, &own) {
                announce(cx, &kind, fingerprint);
            }
        }
    }
}

/// Announces a suspect request to the other nodes of the service. An announcement is a
/// forwarded request without time left, so it never runs.
fn announce(cx: &mut Context<'_>, kind: &KindId, fingerprint: Digest) {
    let deadline = cx.now.mono + ANNOUNCEMENT_TIMEOUT;
    for upstream in cx.view.upstreams_of(&kind.service) {
        if upstream.vm == cx.view.cfg().vm {
            continue;
        }
        let announcement = Handover {
            from: cx.view.cfg().vm.clone(),
            version: cx.view.version(),
            upstream: upstream.name.clone(),
            kind: kind.clone(),
            delivery: Delivery::Repeatable,
            remaining: Duration::ZERO,
            depth: Depth::default(),
            fingerprint,
            crashed_vms: cx.suspect_requests.crashed_vms(&fingerprint),
            max_wait: None,
            statement: None,
            workspace_priority: None,
            caller_priority: None,
            earlier_calls: 0,
            request: HttpRequest::default(),
        };
        cx.send(&upstream, Box::new(announcement).into(), deadline);
    }
}
