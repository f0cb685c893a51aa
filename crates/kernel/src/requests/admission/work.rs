//! A request that is queued or running at the local target.

use celeryshore_model::Time;

use super::rank::Rank;
use crate::Handover;
use crate::requests::KeyedCopy;
use crate::requests::WorkId;
use crate::requests::context::Origin;

/// A request that is queued or running.
#[derive(Debug)]
pub(super) struct Work {
    /// Where the reply goes; absent once it was sent or the forwarding node withdrew.
    pub(super) origin: Option<Origin>,
    pub(super) handover: Box<Handover>,
    /// Time by which the reply is due.
    pub(super) deadline: Time,
    pub(super) rank: Rank,
    /// Latest time to start, if it is queued with a maximum wait.
    pub(super) start_by: Option<Time>,
    /// Request that was sent together with it, if this one or both are queued.
    pub(super) sibling: Option<WorkId>,
    pub(super) state: WorkState,
    /// The journal's view of it, if it has an idempotency key.
    pub(super) copy: Option<KeyedCopy>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkState {
    /// It waits for a slot.
    Queued,
    /// It was sent to the target.
    Running {
        /// Time at which it was sent.
        since: Time,
    },
}

impl Work {
    pub(super) const fn is_keyed(&self) -> bool {
        self.copy.is_some()
    }

    pub(super) const fn is_running(&self) -> bool {
        matches!(self.state, WorkState::Running { .. })
    }
}
