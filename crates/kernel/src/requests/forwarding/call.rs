//! One caller's request at the node that it came to.

use std::time::Duration;

use celeryshore_model::Attempt;
use celeryshore_model::Depth;
use celeryshore_model::Digest;
use celeryshore_model::HttpRequest;
use celeryshore_model::KindId;
use celeryshore_model::RequestKey;
use celeryshore_model::Semantics;
use celeryshore_model::Time;
use celeryshore_model::Upstream;
use celeryshore_model::UpstreamName;
use celeryshore_model::VmName;

use crate::Delivery;
use crate::Handover;
use crate::NotRun;
use crate::RequestReport;
use crate::RequestStep;
use crate::Unknown;
use crate::requests::ExchangeId;
use crate::requests::RequestAction;
use crate::requests::context::Context;
use crate::requests::headers;

/// Calls may be nested this deep.
const MAX_DEPTH: u8 = 8;
/// Part of the target latency that a request may wait for a slot before its node
/// tries another upstream, as a divisor; the larger part is for the work itself.
const SPILLOVER_WAIT_DIVISOR: u32 = 4;
/// Part of the target latency that a request may wait for a slot at all, as a
/// divisor.
const MAX_WAIT_DIVISOR: u32 = 2;
/// Part of the target latency within which a request that an upstream refused for
/// its load has to start at another one, as a divisor; later the refusal is better.
const RETRY_WAIT_DIVISOR: u32 = 8;
/// Attempt number of a first send.
const FIRST: Attempt = Attempt::new(1);

/// Result of the checks that a request passes before it is handed over.
pub(super) type Result<T> = std::result::Result<T, NotRun>;

/// A caller's request that has not been answered.
#[derive(Debug)]
pub(super) struct Call {
    /// The request.
    pub(super) request: HttpRequest,
    /// Request kind that it was routed to.
    pub(super) kind: KindId,
    /// How it is delivered.
    pub(super) delivery: Delivery,
    /// When it came.
    pub(super) since: Time,
    /// When the caller gives up.
    pub(super) deadline: Time,
    /// Calls of the mesh between the first caller and this one.
    pub(super) depth: Depth,
    /// Digest of method, path and body.
    pub(super) fingerprint: Digest,
    /// VMs that were lost while they ran it.
    pub(super) crashed_vms: Vec<VmName>,
    /// Time within which the answer is worth most.
    pub(super) target_latency: Option<Duration>,
    /// Most hand-overs that may reach a target.
    pub(super) max_attempts: u32,
    /// Refusals by nodes whose target could take no more.
    pub(super) refusals: usize,
    /// Hand-overs that a peer may have got.
    pub(super) attempts: u32,
    /// Upstreams that it was handed to.
    pub(super) tried: Vec<UpstreamName>,
    /// Whether the call may already have run, or its key in an earlier send.
    pub(super) unknown_reason: Option<Unknown>,
    /// Whether a copy may still be on its way to a node that was left.
    pub(super) has_unsettled_copy: bool,
    /// The latest hand-over under way.
    pub(super) current: Option<UpstreamRequest>,
    /// An earlier hand-over that makes no progress, but may still be answered.
    pub(super) stalled: Option<UpstreamRequest>,
}

/// A hand-over under way.
#[derive(Clone, Debug)]
pub(super) struct UpstreamRequest {
    /// Number of the exchange.
    pub(super) exchange: ExchangeId,
    /// Upstream that was chosen.
    pub(super) upstream: UpstreamName,
    /// VM of the upstream.
    pub(super) vm: VmName,
    /// When it was handed over.
    pub(super) since: Time,
    /// Whether the upstream is this node's own.
    pub(super) is_local: bool,
}

impl Call {
    /// Routes a request and checks it against the limits of its service.
    pub(super) fn route(cx: &Context<'_>, mut request: HttpRequest, random: u64) -> Result<Self> {
        if cx.view.is_forwarding_stopped() {
            return Err(NotRun::Leaving);
        }
        let snapshot = cx.view.snapshot().ok_or(NotRun::Learning)?;
        let kind = cx.view.route(&request, random).ok_or(NotRun::NoRoute)?;
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
            max_attempts: rule.attempts.unwrap_or(service.retry.attempts),
            delivery: delivery(rule.semantics, &request)?,
            since: cx.now.mono,
            deadline: cx.now.mono + rule.deadline.min(caller_timeout),
            fingerprint: fingerprint(&request),
            unknown_reason: earlier_send(rule.semantics, &request),
            request,
            kind,
            depth,
            crashed_vms: Vec::new(),
            refusals: 0,
            attempts: 0,
            tried: Vec::new(),
            has_unsettled_copy: false,
            current: None,
            stalled: None,
        })
    }

    /// Returns the idempotency key of an operation that must run at most once.
    pub(super) const fn key(&self) -> Option<&RequestKey> {
        match &self.delivery {
            Delivery::Keyed { key, .. } => Some(key),
            Delivery::Repeatable | Delivery::Once => None,
        }
    }

    /// Tells whether the caller says that it sends the key for the first time.
    pub(super) fn is_first_send(&self) -> bool {
        matches!(&self.delivery, Delivery::Keyed { attempt, .. } if *attempt == Some(FIRST))
    }

    /// Tells whether running it twice does no harm.
    pub(super) const fn is_idempotent(&self) -> bool {
        matches!(self.delivery, Delivery::Repeatable)
    }

    /// Tells the log of a decision about it.
    pub(super) fn report(&self, cx: &mut Context<'_>, step: RequestStep) {
        let id = cx.view.cfg().terms.dialect.request_id.as_ref();
        let report = RequestReport {
            request: id.and_then(|name| self.request.header(name)).cloned(),
            kind: self.kind.clone(),
            step,
            tried: self.tried.len(),
            remaining: self.deadline - cx.now.mono,
            version: cx.view.version(),
        };
        cx.actions.push(RequestAction::Report(Box::new(report)));
    }

    /// Returns the wait for a slot that leaves enough of the target latency.
    pub(super) fn spillover_wait(&self) -> Option<Duration> {
        self.target_latency
            .map(|latency| latency / SPILLOVER_WAIT_DIVISOR)
    }

    /// Returns the wait for a slot beyond which the answer would be late, less the
    /// time that other upstreams took to refuse. Whoever would wait longer is better
    /// off coming back: a queue that is longer than this makes every answer late for
    /// as long as the load lasts.
    fn max_wait(&self, now: Time, has_others: bool) -> Option<Duration> {
        let divisor = if self.refusals == 0 {
            MAX_WAIT_DIVISOR
        } else {
            RETRY_WAIT_DIVISOR
        };
        let longest = self.target_latency? / divisor;
        let left = longest.saturating_sub(now - self.since);
        let local = self.spillover_wait().filter(|_| has_others);
        Some(local.map_or(left, |wait| wait.min(left)))
    }

    /// Marks the next hand-over of the key as a resend, after one that may
    /// still arrive.
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

    /// Tells whether a true refusal of the latest hand-over holds for the key.
    ///
    /// A copy that is still on its way is fenced only if it carries a lower
    /// attempt number; without one it is judged when it arrives, and may run.
    pub(super) const fn is_refusal_conclusive(&self) -> bool {
        match &self.delivery {
            Delivery::Keyed { attempt, .. } => attempt.is_some() || !self.has_unsettled_copy,
            Delivery::Repeatable | Delivery::Once => false,
        }
    }

    /// Makes the hand-over to an upstream.
    ///
    /// If others are left, the upstream is to refuse what would wait for long.
    pub(super) fn handover(
        &self,
        cx: &Context<'_>,
        upstream: &Upstream,
        has_others: bool,
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
            max_wait: self.max_wait(cx.now.mono, has_others),
            request: self.request.clone(),
        }
    }
}

/// Whether a request may be a resend of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resend {
    /// It has no key, or its caller says that it is the first send.
    No,
    /// Its caller does not say.
    Maybe,
    /// Its caller says that it is one.
    Yes,
}

impl Resend {
    /// Reads it from the header fields of a request.
    pub(super) fn of(request: &HttpRequest) -> Self {
        match (request.header(headers::KEY), attempt(request)) {
            (None, _) | (Some(_), Some(FIRST)) => Self::No,
            (Some(_), None) => Self::Maybe,
            (Some(_), Some(_)) => Self::Yes,
        }
    }
}

/// Tells whether "not run" cannot be said of a request that was refused before
/// its route was known: its key may have run in an earlier send.
pub(super) const fn may_have_run(reason: NotRun, resend: Resend) -> bool {
    match resend {
        Resend::No => false,
        Resend::Maybe => matches!(reason, NotRun::Leaving | NotRun::Learning),
        Resend::Yes => !matches!(reason, NotRun::BadKey),
    }
}

fn earlier_send(semantics: Semantics, request: &HttpRequest) -> Option<Unknown> {
    let is_keyed = semantics == Semantics::AtMostOnce;
    let may_have_run = is_keyed && Resend::of(request) != Resend::No;
    may_have_run.then_some(Unknown::NotJudged)
}

fn delivery(semantics: Semantics, request: &HttpRequest) -> Result<Delivery> {
    if semantics == Semantics::Idempotent {
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

fn attempt(request: &HttpRequest) -> Option<Attempt> {
    let attempt = headers::number(request, headers::ATTEMPT)?;
    u32::try_from(attempt).ok().map(Attempt::new)
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
