//! Identifiers of the admitting node's tasks.

use derive_more::From;

use crate::requests::WorkId;

/// Identifies a waiter for the end of a keyed copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaiterId(pub(super) u64);

/// Identifies a request that waits for a configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ParkedId(pub(super) u64);

/// Identifies a duplicate check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DuplicateCheckId(pub(super) u64);

/// Task that has an origin to reply to or a deadline.
#[derive(Clone, Copy, Debug, From, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Task {
    /// A request that is queued or running.
    Work(WorkId),
    /// A waiter for the end of a keyed copy.
    Waiter(WaiterId),
    /// A request that waits for a configuration version.
    Parked(ParkedId),
    /// A duplicate check of a keyed request.
    DuplicateCheck(DuplicateCheckId),
}
