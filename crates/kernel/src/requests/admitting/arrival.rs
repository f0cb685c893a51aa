//! One copy of a keyed request that came to the admitting node.

use celeryshore_model::Attempt;
use celeryshore_model::RequestKey;
use celeryshore_model::Time;

use crate::Delivery;
use crate::Handover;
use crate::requests::KeyedCopy;
use crate::requests::Standing;
use crate::requests::context::Context;
use crate::requests::context::Origin;

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
    let standing = if cx.view.is_home(cx.now, key) {
        Standing::Home
    } else {
        Standing::Other
    };
    Some(KeyedCopy {
        key: key.clone(),
        fingerprint: handover.fingerprint,
        attempt,
        standing,
    })
}
