//! Explanation of where a request would go now, without sending it.
//!
//! Load pattern: an overrun target, while its cause is looked for. An explanation uses the
//! same code as the real choice, but has only read access, so that asking changes nothing:
//! no load, budget, quota or random choice.

use std::time::Duration;

use celeryshore_model::HttpRequest;
use celeryshore_model::Now;
use celeryshore_model::RouteName;
use celeryshore_model::UpstreamName;
use celeryshore_model::VmName;
use celeryshore_model::WorkspaceName;
use celeryshore_model::ZoneName;
use derive_more::Display;
use serde::Serialize;

use crate::NotRun;
use crate::requests::Distance;
use crate::requests::Requests;
use crate::requests::context::ReadContext;
use crate::requests::forwarding::explain_refusal;

/// Where a request would go now, and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// VM of the node that explains.
    pub vm: VmName,
    /// Configuration version in effect, if there is one.
    pub version: Option<String>,
    /// Route that matches the request.
    pub route: Option<RouteName>,
    /// Request kind, with the service that handles it.
    pub kind: Option<String>,
    /// Workspace of the key.
    pub workspace: Option<WorkspaceName>,
    /// All upstreams of the service.
    pub upstreams: Vec<ExplainedUpstream>,
    /// Upstream that the request would be sent to if it came now.
    pub chosen: Option<UpstreamName>,
    /// Upstream that it would be sent to next if the first refused it for its load.
    pub next: Option<UpstreamName>,
    /// Refusal if there is no upstream to send it to.
    pub refusal: Option<ExplainedRefusal>,
}

/// An upstream of the service, as the node knows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExplainedUpstream {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// VM of the upstream.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Distance from the node.
    pub distance: Distance,
    /// Slots that are probably free, as a multiple of a slot of usual speed.
    pub free: f64,
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: u64,
    /// Age of the latest load report in milliseconds; absent if none is known.
    pub age_ms: Option<u64>,
    /// Chance to be chosen, from 0 to 1.
    pub chance: f64,
    /// Why it is left out.
    pub left_out: Option<Exclusion>,
}

/// Why an upstream is not chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exclusion {
    /// The request was already sent there.
    #[display("tried")]
    Tried,
    /// The target or its node is leaving.
    #[display("leaving")]
    Leaving,
    /// Operators have taken the availability zone or the VM out of service.
    #[display("out-of-service")]
    OutOfService,
    /// The node is dead.
    #[display("dead")]
    Dead,
    /// The node is suspect, and others are not.
    #[display("suspect")]
    Suspect,
    /// The upstream failed recently.
    #[display("avoided")]
    Avoided,
    /// Requests of this node there take much longer than usual.
    #[display("stalled")]
    Stalled,
    /// All slots are probably in use, or a rate limit or the link delays requests.
    #[display("no-room")]
    NoRoom,
    /// Another upstream is nearer or expected to respond earlier.
    #[display("others-preferred")]
    OthersPreferred,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ExplainedRefusal {
    /// Why the request would not run.
    pub reason: NotRun,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl Requests {
    /// Explains where a request would go now. Nothing is sent or counted.
    ///
    /// The quarantine of requests that crash targets is not checked.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_kernel::NotRun;
    /// # use celeryshore_kernel::Requests;
    /// # use celeryshore_kernel::RequestsConfig;
    /// use celeryshore_model::HttpRequest;
    /// # use celeryshore_model::Incarnation;
    /// use celeryshore_model::Now;
    ///
    /// # let cfg = RequestsConfig {
    /// #     vm: "vm-1".parse()?,
    /// #     zone: "glasgow".parse()?,
    /// #     incarnation: Incarnation(1),
    /// #     seed: 1,
    /// #     terms: celeryshore_kernel::Terms::default(),
    /// # };
    /// let requests = Requests::new(cfg, Now::default());
    /// let explanation = requests.explain(Now::default(), &HttpRequest::default());
    /// assert_eq!(explanation.refusal.unwrap().reason, NotRun::Learning);
    /// # Ok::<(), celeryshore_model::Error>(())
    /// ```
    #[must_use]
    pub fn explain(&self, now: Now, request: &HttpRequest) -> Explanation {
        let view = &self.view;
        let mut explanation = Explanation {
            vm: view.cfg().vm.clone(),
            version: view.snapshot().map(|s| s.version.to_string()),
            route: view.route_name(request).cloned(),
            kind: None,
            workspace: None,
            upstreams: Vec::new(),
            chosen: None,
            next: None,
            refusal: None,
        };
        let cx = ReadContext {
            now,
            view,
            loads: &self.loads,
        };
        let forwarder = &self.dispatcher.forwarder;
        if self.is_forwarding_over(now.mono) {
            explanation.refusal = Some(explain_refusal(NotRun::Leaving));
        } else {
            forwarder.explain(cx, request, &mut explanation);
            self.explain_quota(now, &mut explanation);
        }
        explanation
    }

    /// Replaces the choice by a refusal if the workspace has no credit.
    fn explain_quota(&self, now: Now, explanation: &mut Explanation) {
        let workspace = explanation.workspace.as_ref();
        let checked = workspace.map_or(Ok(()), |name| self.quotas.check(now.mono, name));
        if let Err(retry_after) = checked {
            explanation.chosen = None;
            explanation.next = None;
            explanation.refusal = Some(ExplainedRefusal {
                reason: NotRun::Quota,
                retry_after_ms: millis(retry_after),
            });
        }
    }
}

/// Returns a time in whole milliseconds.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
