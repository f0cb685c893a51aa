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
use celeryshore_model::UpstreamName;
use celeryshore_model::VmName;

use crate::Delivery;
use crate::NotRun;
use crate::requests::ExchangeId;
use crate::requests::context::Context;
use crate::requests::headers;

/// Calls may be nested this deep.
const MAX_DEPTH: u8 = 8;

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
    /// When the caller gives up.
    pub(super) deadline: Time,
    /// Calls of the mesh between the first caller and this one.
    pub(super) depth: Depth,
    /// Digest of method, path and body.
    pub(super) fingerprint: Digest,
    /// VMs that were lost while they ran it.
    pub(super) casualties: Vec<VmName>,
    /// Hand-overs so far.
    pub(super) handovers: u32,
    /// Upstreams that it was handed to.
    pub(super) tried: Vec<UpstreamName>,
    /// The hand-over under way.
    pub(super) current: Option<Leg>,
}

/// A hand-over under way.
#[derive(Clone, Debug)]
pub(super) struct Leg {
    /// Number of the exchange.
    pub(super) exchange: ExchangeId,
    /// Upstream that was chosen.
    pub(super) upstream: UpstreamName,
    /// Whether the upstream is this node's own.
    pub(super) is_local: bool,
}

impl Call {
    /// Routes a request and checks it against the limits of its service.
    pub(super) fn route(cx: &Context<'_>, request: HttpRequest, draw: u64) -> Result<Self> {
        if cx.view.is_closed() {
            return Err(NotRun::Leaving);
        }
        let snapshot = cx.view.snapshot().ok_or(NotRun::Learning)?;
        let kind = cx.view.route(&request, draw).ok_or(NotRun::NoRoute)?;
        let service = snapshot
            .services
            .get(&kind.service)
            .ok_or(NotRun::NoRoute)?;
        let rule = service.kinds.get(&kind.kind).ok_or(NotRun::NoRoute)?;
        let depth = headers::depth(&request);
        if depth.get() > MAX_DEPTH {
            return Err(NotRun::TooDeep);
        }
        if request.body.len() as u64 > service.limits.body.get() {
            return Err(NotRun::TooLarge);
        }
        let patience = headers::patience(&request).unwrap_or(Duration::MAX);
        Ok(Self {
            delivery: delivery(rule.semantics, &request)?,
            deadline: cx.now.mono + rule.deadline.min(patience),
            fingerprint: fingerprint(&request),
            request,
            kind,
            depth,
            casualties: Vec::new(),
            handovers: 0,
            tried: Vec::new(),
            current: None,
        })
    }

    /// Tells whether running it twice does no harm.
    pub(super) const fn is_repeatable(&self) -> bool {
        matches!(self.delivery, Delivery::Repeatable)
    }
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
