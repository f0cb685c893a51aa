//! One request at the node that admits work to the target.

use celeryshore_model::Time;

use super::rank::Rank;
use crate::Handover;
use crate::requests::KeyedCopy;
use crate::requests::context::Origin;

/// A request that waits for a slot or runs.
#[derive(Debug)]
pub(super) struct Work {
    /// Where the final reply goes; absent once it was sent or nobody waits.
    pub(super) origin: Option<Origin>,
    /// The request with its circumstances.
    pub(super) handover: Box<Handover>,
    /// When the final reply is due.
    pub(super) deadline: Time,
    /// Its rank among work that waits.
    pub(super) rank: Rank,
    /// When it has to start at the latest, if it waits.
    pub(super) start_by: Option<Time>,
    /// Whether it waits or runs.
    pub(super) state: WorkState,
    /// The journal's view of it, if it is named by a key.
    pub(super) copy: Option<KeyedCopy>,
}

/// Whether a request waits for a slot or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkState {
    /// It waits for a slot.
    Queued,
    /// It was given to the target.
    Running {
        /// When it was given to the target.
        since: Time,
    },
}

impl Work {
    /// Tells whether it is named by a key.
    pub(super) const fn is_keyed(&self) -> bool {
        self.copy.is_some()
    }

    /// Tells whether it was given to the target.
    pub(super) const fn is_running(&self) -> bool {
        matches!(self.state, WorkState::Running { .. })
    }
}
