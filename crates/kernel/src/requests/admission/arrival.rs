//! One copy of a keyed request that came to the admitting node.

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

/// Lowest attempt number of a resend.
const SECOND: Attempt = Attempt::new(2);

/// A copy of a keyed request, with where its reply goes.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// Where the reply goes.
    pub(super) origin: Origin,
    /// The request with its circumstances.
    pub(super) handover: Box<Handover>,
    /// When the reply is due.
    pub(super) deadline: Time,
}

/// Returns the key of a hand-over, and how often its caller has sent it.
pub(super) const fn key_of(handover: &Handover) -> Option<(&RequestKey, Option<Attempt>)> {
    match &handover.delivery {
        Delivery::Keyed { key, attempt } => Some((key, *attempt)),
        Delivery::Repeatable | Delivery::Once => None,
    }
}

/// Makes the journal's view of a hand-over, if it is keyed.
pub(super) fn keyed_copy(cx: &Context<'_>, handover: &Handover) -> Option<KeyedCopy> {
    let (key, attempt) = key_of(handover)?;
    let role = if cx.view.is_home(cx.now, key) {
        KeyRole::Home
    } else {
        KeyRole::Other
    };
    let runs_at_once = cx.view.is_known_to_peers(cx.now.mono) && !is_stale(cx, handover);
    Some(KeyedCopy {
        key: key.clone(),
        fingerprint: handover.fingerprint,
        attempt: if runs_at_once {
            attempt
        } else {
            attempt.map(|n| n.max(SECOND))
        },
        role,
    })
}

/// Tells whether a hand-over is the first send of a key, as far as its caller
/// and this process can know.
pub(super) fn is_first_send(cx: &Context<'_>, handover: &Handover) -> bool {
    let attempt = key_of(handover).and_then(|(_, attempt)| attempt);
    attempt.is_some_and(|n| n < SECOND) && !is_stale(cx, handover)
}

/// Tells whether a copy is older than this process, which then may have fenced
/// it in an earlier life.
fn is_stale(cx: &Context<'_>, handover: &Handover) -> bool {
    age(cx, handover) >= cx.view.uptime(cx.now.mono)
}

/// Returns how long ago the call came to its handing node, at most.
fn age(cx: &Context<'_>, handover: &Handover) -> Duration {
    let kind = cx.view.kind(&handover.kind);
    let whole = kind.map_or(Duration::MAX, |k| k.deadline);
    whole.saturating_sub(handover.remaining)
}
