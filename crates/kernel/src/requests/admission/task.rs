//! What the admitting node has under way, by number.

use derive_more::From;

use crate::requests::WorkId;

/// Someone who waits for the end of a keyed copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaiterId(pub(super) u64);

/// A request that waits for a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ParkedId(pub(super) u64);

/// A judgement of a keyed copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JudgementId(pub(super) u64);

/// Anything that an origin waits for or that has a deadline.
#[derive(Clone, Copy, Debug, From, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Task {
    /// A request that waits for a slot or runs.
    Work(WorkId),
    /// Someone who waits for the end of a keyed copy.
    Waiter(WaiterId),
    /// A request that waits for a configuration.
    Parked(ParkedId),
    /// A judgement of a keyed copy.
    Judgement(JudgementId),
}
