//! Forwarded requests as they arrive at the admitting node.

use std::time::Duration;

use celeryshore_model::Attempt;
use celeryshore_model::RequestKey;
use celeryshore_model::Time;

use crate::Delivery;
use crate::Handover;
use crate::requests::KeyRole;
use crate::requests::KeyedCopy;
use crate::requests::context::Context;
use crate::requests::context::Origin;

/// Lowest attempt number of a resent request.
const FIRST_RESEND: Attempt = Attempt::new(2);

/// Forwarded request, with where its reply goes.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) origin: Origin,
    pub(super) handover: Box<Handover>,
    /// Time by which the reply is due.
    pub(super) deadline: Time,
}

/// Returns the idempotency key of a request and its attempt number, if the caller states
/// one.
pub(super) const fn key_of(handover: &Handover) -> Option<(&RequestKey, Option<Attempt>)> {
    match &handover.delivery {
        Delivery::Keyed { key, attempt } => Some((key, *attempt)),
        Delivery::Repeatable | Delivery::Once => None,
    }
}

/// Returns the journal's view of a request, if it has an idempotency key.
///
/// The attempt number is raised to that of a resent request if peers may not know this
/// node yet or the request may predate this process, so that the journal does not let it
/// run without a duplicate check.
pub(super) fn keyed_copy(cx: &Context<'_>, handover: &Handover) -> Option<KeyedCopy> {
    let (key, attempt) = key_of(handover)?;
    let role = if cx.view.is_home(cx.now, key) {
        KeyRole::Home
    } else {
        KeyRole::Other
    };
    let may_skip_check =
        cx.view.is_known_to_peers(cx.now.mono) && !may_predate_process(cx, handover);
    Some(KeyedCopy {
        key: key.clone(),
        fingerprint: handover.fingerprint,
        attempt: if may_skip_check {
            attempt
        } else {
            attempt.map(|n| n.max(FIRST_RESEND))
        },
        role,
    })
}

/// Returns `true` if a request is the first attempt with its key, as far as its caller and
/// this process can know.
pub(super) fn is_first_send(cx: &Context<'_>, handover: &Handover) -> bool {
    let attempt = key_of(handover).and_then(|(_, attempt)| attempt);
    attempt.is_some_and(|n| n < FIRST_RESEND) && !may_predate_process(cx, handover)
}

/// Returns `true` if a request may be older than this process. A previous incarnation may
/// then have fenced its key.
fn may_predate_process(cx: &Context<'_>, handover: &Handover) -> bool {
    max_age(cx, handover) >= cx.view.uptime(cx.now.mono)
}

/// Returns the maximum time since the call arrived at its forwarding node.
fn max_age(cx: &Context<'_>, handover: &Handover) -> Duration {
    let kind = cx.view.kind(&handover.kind);
    let total = kind.map_or(Duration::MAX, |k| k.deadline);
    total.saturating_sub(handover.remaining)
}
