//! A caller's request at the node that received it.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Attempt;
use celeryshore_model::Depth;
use celeryshore_model::Digest;
use celeryshore_model::HttpRequest;
use celeryshore_model::KindId;
use celeryshore_model::Priority;
use celeryshore_model::RequestKey;
use celeryshore_model::Semantics;
use celeryshore_model::Time;
use celeryshore_model::Upstream;
use celeryshore_model::UpstreamName;
use celeryshore_model::VmName;
use celeryshore_model::WorkspaceName;

use super::checks;
use super::checks::Result;
use super::resend;
use super::resend::FIRST_ATTEMPT;
use super::resend::attempt;
use crate::Delivery;
use crate::Handover;
use crate::NotRun;
use crate::RequestReport;
use crate::RequestStep;
use crate::TargetStatement;
use crate::Unknown;
use crate::requests::ExchangeId;
use crate::requests::RequestAction;
use crate::requests::context::Context;
use crate::requests::context::ReadContext;
use crate::requests::headers;
use crate::requests::view::Destination;

/// Maximum depth of nested calls.
const MAX_DEPTH: u8 = 8;
/// Divisor of the target latency: the wait for a slot after which a request spills
/// over to another upstream. Most of the target latency is left for the work.
const SPILLOVER_WAIT_DIVISOR: u32 = 4;
/// Divisor of the target latency: the maximum wait for a slot.
const MAX_WAIT_DIVISOR: u32 = 2;
/// Divisor of the target latency: the time within which a request that an upstream
/// refused for its load has to start at another one. After that, a refusal serves
/// the caller better.
const RETRY_WAIT_DIVISOR: u32 = 8;

/// A caller's request without a final response.
#[derive(Debug)]
pub(super) struct Call {
    /// The caller's request, with the caller's service set if the platform names it.
    pub(super) request: HttpRequest,
    /// Workspace of the caller's key; absent on public routes and without workspaces.
    pub(super) workspace: Option<WorkspaceName>,
    /// Priority of the workspace.
    pub(super) workspace_priority: Option<Priority>,
    /// Request kind that the routes assign.
    pub(super) kind: KindId,
    /// Delivery guarantee, with the idempotency key if there is one.
    pub(super) delivery: Delivery,
    /// Time of arrival.
    pub(super) since: Time,
    /// Time at which the call fails, from the kind's deadline or the caller's own.
    pub(super) deadline: Time,
    /// Number of calls through the mesh between the first caller and this one.
    pub(super) depth: Depth,
    /// Digest of method, path and body.
    pub(super) fingerprint: Digest,
    /// VMs that crashed while they ran this same request.
    pub(super) crashed_vms: Vec<VmName>,
    /// Response time that the kind aims for; bounds the wait for a slot.
    pub(super) target_latency: Option<Duration>,
    /// Priority of the run that made it, if a run did and the node ranks calls by it.
    pub(super) caller_priority: Option<Priority>,
    /// Number of calls of the same run that were answered before.
    pub(super) earlier_calls: u32,
    /// Whether its response is usually large.
    pub(super) is_large: bool,
    /// Limit on the requests to upstreams that may reach a target.
    pub(super) max_attempts: u32,
    /// Longest wait for a slot after which it can still be answered before this process is
    /// killed; absent if there is no such limit.
    pub(super) spare_time: Option<Duration>,
    /// Number of nodes that refused it because their target was at capacity.
    pub(super) refusals: usize,
    /// Number of requests to upstreams that may have reached a target.
    pub(super) attempts: u32,
    /// Upstreams that it was sent to.
    pub(super) tried: Vec<UpstreamName>,
    /// Reason why the call, or an earlier send of its key, may already have run.
    /// While it is set, no refusal may be reported as "not run".
    pub(super) unknown_reason: Option<Unknown>,
    /// Whether a copy may still arrive at a node that the call was rerouted from.
    pub(super) has_unsettled_copy: bool,
    /// Latest request to an upstream, until its reply.
    pub(super) current: Option<UpstreamRequest>,
    /// Earlier request that stalled, but may still be answered.
    pub(super) stalled: Option<UpstreamRequest>,
}

/// A request to an upstream that has no reply yet.
#[derive(Clone, Debug)]
pub(super) struct UpstreamRequest {
    /// Exchange that carries it.
    pub(super) exchange: ExchangeId,
    /// Upstream that the balancer chose.
    pub(super) upstream: UpstreamName,
    /// VM of the upstream.
    pub(super) vm: VmName,
    /// Time of sending.
    pub(super) since: Time,
    /// Whether the upstream runs on this node's VM.
    pub(super) is_local: bool,
}

impl Call {
    /// Checks the key of a request and the limits of the service that it is routed to.
    pub(super) fn new(
        cx: ReadContext<'_>,
        mut request: HttpRequest,
        destination: Destination,
    ) -> Result<Self> {
        let snapshot = cx.view.snapshot().ok_or(NotRun::Learning)?;
        let workspace = checks::check_key(cx, &mut request, destination.is_public)?;
        let kind = destination.kind;
        let service = snapshot.services.get(&kind.service);
        let service = service.ok_or(NotRun::NoRoute)?;
        let rule = service.kinds.get(&kind.kind).ok_or(NotRun::NoRoute)?;
        let dialect = &cx.view.cfg().terms.dialect;
        let depth = headers::depth(dialect, &request);
        if depth.get() > MAX_DEPTH {
            return Err(NotRun::TooDeep);
        }
        if request.body.len() as u64 > service.limits.body.get() {
            return Err(NotRun::TooLarge);
        }
        let caller_timeout = headers::caller_timeout(dialect, &request).unwrap_or(Duration::MAX);
        if let Some(service) = &cx.view.cfg().terms.service {
            headers::set_caller_service(dialect, &mut request, service);
        }
        Ok(Self {
            target_latency: rule.target_latency,
            is_large: rule.semantics == Semantics::Download,
            max_attempts: rule.attempts.unwrap_or(service.retry.attempts),
            delivery: delivery(rule.semantics, &request)?,
            since: cx.now.mono,
            deadline: cx.now.mono + rule.deadline.min(caller_timeout),
            fingerprint: fingerprint(&request),
            unknown_reason: resend::earlier_send(rule.semantics, &request),
            request,
            workspace_priority: workspace
                .as_ref()
                .and_then(|name| cx.view.workspace_priority(name)),
            workspace,
            kind,
            depth,
            crashed_vms: Vec::new(),
            caller_priority: None,
            earlier_calls: 0,
            spare_time: None,
            refusals: 0,
            attempts: 0,
            tried: Vec::new(),
            has_unsettled_copy: false,
            current: None,
            stalled: None,
        })
    }

    /// Returns the idempotency key of a call that must run at most once.
    pub(super) const fn key(&self) -> Option<&RequestKey> {
        match &self.delivery {
            Delivery::Keyed { key, .. } => Some(key),
            Delivery::Repeatable | Delivery::Once => None,
        }
    }

    /// Returns `true` if the caller states that it sends the key for the first time.
    pub(super) fn is_first_send(&self) -> bool {
        matches!(&self.delivery, Delivery::Keyed { attempt, .. } if *attempt == Some(FIRST_ATTEMPT))
    }

    /// Returns `true` if the call may safely run more than once: by the configuration that
    /// it was routed under and by the one in effect, which may have changed its semantics.
    pub(super) fn is_idempotent(&self, cx: ReadContext<'_>) -> bool {
        matches!(self.delivery, Delivery::Repeatable) && !cx.view.is_at_most_once(&self.request)
    }

    /// Writes a log entry about a step of the call.
    pub(super) fn report(&self, cx: &mut Context<'_>, step: RequestStep) {
        let id = cx.view.cfg().terms.dialect.request_id.as_ref();
        let report = RequestReport {
            request: id.and_then(|name| self.request.header(name)).cloned(),
            kind: Some(self.kind.clone()),
            workspace: self.workspace.clone(),
            step,
            tried: self.tried.len(),
            remaining: self.deadline - cx.now.mono,
            version: cx.view.version(),
        };
        cx.actions.push(RequestAction::Report(Box::new(report)));
    }

    /// Writes a log entry about a request that is refused before it becomes a call.
    pub(super) fn report_refused(
        cx: &mut Context<'_>,
        id: Option<Bytes>,
        kind: Option<KindId>,
        reason: NotRun,
    ) {
        let report = RequestReport {
            request: id,
            kind,
            workspace: None,
            step: RequestStep::RefusedHere { reason },
            tried: 0,
            remaining: Duration::ZERO,
            version: cx.view.version(),
        };
        cx.actions.push(RequestAction::Report(Box::new(report)));
    }

    /// Returns the wait for a slot after which another upstream is preferable, if the
    /// kind has a target latency.
    ///
    /// Load pattern: large responses, whose traffic between zones is expensive. They stay in
    /// their zone as long as they can come in time there.
    pub(super) fn spillover_wait(&self) -> Option<Duration> {
        let divisor = if self.is_large {
            MAX_WAIT_DIVISOR
        } else {
            SPILLOVER_WAIT_DIVISOR
        };
        self.target_latency.map(|latency| latency / divisor)
    }

    /// Returns `true` if a request that other upstreams refused for their load can still
    /// start early enough at another one.
    pub(super) fn can_start_in_time(&self, now: Time) -> bool {
        self.target_latency
            .is_some_and(|latency| now - self.since < latency / RETRY_WAIT_DIVISOR)
    }

    /// Returns the wait for a slot beyond which the response would be late, less the
    /// time since the call arrived, for example for refusals by other upstreams.
    ///
    /// A request that would wait longer is refused and retried by its caller. A
    /// longer queue would make every response late for as long as the load lasts.
    fn max_wait(&self, now: Time, has_others: bool) -> Option<Duration> {
        let divisor = if self.refusals == 0 {
            MAX_WAIT_DIVISOR
        } else {
            RETRY_WAIT_DIVISOR
        };
        let longest = self.target_latency? / divisor;
        let left = longest.saturating_sub(now - self.since);
        let spillover = self.spillover_wait().filter(|_| has_others);
        Some(spillover.map_or(left, |wait| wait.min(left)))
    }

    /// Raises the attempt number of the key, after a request that may still arrive.
    pub(super) fn mark_resend(&mut self) {
        self.has_unsettled_copy = true;
        if let Delivery::Keyed {
            attempt: Some(attempt),
            ..
        } = &mut self.delivery
        {
            *attempt = Attempt::new(attempt.get().saturating_add(1));
        }
    }

    /// Returns `true` if a refusal of the latest request proves that the key has not
    /// run and that no earlier copy of it will.
    ///
    /// A copy in flight is fenced only if it carries a lower attempt number. Without
    /// an attempt number it is checked for duplicates when it arrives, and may run.
    pub(super) const fn is_refusal_conclusive(&self) -> bool {
        match &self.delivery {
            Delivery::Keyed { attempt, .. } => attempt.is_some() || !self.has_unsettled_copy,
            Delivery::Repeatable | Delivery::Once => false,
        }
    }

    /// Builds the message that forwards the call to an upstream.
    ///
    /// If `has_others`, the upstream refuses the call after a short wait for a slot,
    /// so that it can go to another one. `statement` is what this node knows of the
    /// target's own statements.
    pub(super) fn handover(
        &self,
        cx: &Context<'_>,
        upstream: &Upstream,
        has_others: bool,
        statement: Option<TargetStatement>,
    ) -> Handover {
        Handover {
            from: cx.view.cfg().vm.clone(),
            version: cx.view.version(),
            upstream: upstream.name.clone(),
            kind: self.kind.clone(),
            delivery: self.delivery.clone(),
            remaining: self.deadline - cx.now.mono,
            depth: self.depth,
            fingerprint: self.fingerprint,
            crashed_vms: self.crashed_vms.clone(),
            max_wait: min_wait(self.max_wait(cx.now.mono, has_others), self.spare_time),
            statement,
            workspace_priority: self.workspace_priority,
            caller_priority: self.caller_priority,
            earlier_calls: self.earlier_calls,
            request: self.request.clone(),
        }
    }
}

/// Returns the shorter of two limits that may be absent.
fn min_wait(a: Option<Duration>, b: Option<Duration>) -> Option<Duration> {
    a.into_iter().chain(b).min()
}

fn delivery(semantics: Semantics, request: &HttpRequest) -> Result<Delivery> {
    if semantics.is_repeatable() {
        return Ok(Delivery::Repeatable);
    }
    let Some(value) = request.header(headers::KEY) else {
        return Ok(Delivery::Once);
    };
    Ok(Delivery::Keyed {
        key: key(value).ok_or(NotRun::BadKey)?,
        attempt: attempt(request),
    })
}

fn key(value: &[u8]) -> Option<RequestKey> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn fingerprint(request: &HttpRequest) -> Digest {
    let parts = [&request.method, &request.path, &request.body];
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend_from_slice(&part.len().to_be_bytes());
        bytes.extend_from_slice(part);
    }
    Digest::of(&bytes)
}
