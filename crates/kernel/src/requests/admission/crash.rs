//! Requests that were lost with the target, if the target is gone indeed.
//!
//! Load pattern: one request that crashes every target that runs it and is sent
//! again by its caller, among others whose answers are merely lost.

use std::time::Duration;

use celeryshore_model::Depth;
use celeryshore_model::Digest;
use celeryshore_model::HttpRequest;
use celeryshore_model::KindId;
use celeryshore_model::Time;

use super::Admitting;
use super::work::Work;
use crate::Delivery;
use crate::Handover;
use crate::requests::CrashEvidence;
use crate::requests::Outcome;
use crate::requests::context::Context;

/// Time between the loss of answers and the sign that their target is gone: an
/// examination is due at once, and a crashed target takes seconds to return.
const WINDOW: Duration = Duration::from_millis(500);
/// Time after which an announcement is given up.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers that were lost lately.
#[derive(Debug, Default)]
pub(super) struct Losses {
    lost: Vec<(Time, KindId, Digest)>,
}

impl Losses {
    /// Notes a request whose answer was lost.
    pub(super) fn note(&mut self, now: Time, handover: &Handover) {
        self.lost.retain(|(at, ..)| now - *at <= WINDOW);
        let loss = (now, handover.kind.clone(), handover.fingerprint);
        self.lost.push(loss);
    }

    /// Takes out what was lost with a target that is gone now.
    fn take(&mut self, now: Time) -> Vec<(KindId, Digest)> {
        let lost = self.lost.drain(..);
        let fresh = lost.filter(|(at, ..)| now - *at <= WINDOW);
        fresh.map(|(_, kind, digest)| (kind, digest)).collect()
    }
}

impl Admitting {
    /// Records what an outcome says of a request that may crash targets.
    pub(super) fn suspect(&mut self, cx: &mut Context<'_>, work: &Work, outcome: &Outcome) {
        let fingerprint = work.handover.fingerprint;
        let is_lost = cx.view.cfg().terms.crash_evidence == CrashEvidence::LostAnswer;
        match outcome {
            Outcome::Answered(_) => cx.suspect_requests.clear(&fingerprint),
            Outcome::Broken | Outcome::Silent if is_lost => {
                let own = [cx.view.cfg().vm.clone()];
                cx.suspect_requests.record(cx.now.mono, fingerprint, &own);
            }
            Outcome::Broken => self.losses.note(cx.now.mono, &work.handover),
            Outcome::Silent => {}
            Outcome::NeverSent => self.target_gone(cx),
        }
    }

    /// Suspects the requests that were lost with a target that is gone, and
    /// tells the other nodes of the service.
    pub(super) fn target_gone(&mut self, cx: &mut Context<'_>) {
        let own = [cx.view.cfg().vm.clone()];
        for (kind, fingerprint) in self.losses.take(cx.now.mono) {
            if cx.suspect_requests.record(cx.now.mono, fingerprint, &own) {
                announce(cx, &kind, fingerprint);
            }
        }
    }
}

/// Makes losses known by hand-overs that have no time left to run.
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
            request: HttpRequest::default(),
        };
        cx.send(&upstream, Box::new(announcement).into(), deadline);
    }
}
