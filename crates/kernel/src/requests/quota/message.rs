//! Messages between nodes about quotas.

use std::time::Duration;

use celeryshore_model::VmName;
use celeryshore_model::WorkspaceName;
use derive_more::From;

/// Time within which the credit of a call that was refused after all may be used again. Most
/// refusals come within some round trips.
pub(super) const OPEN_TIME: Duration = Duration::from_millis(300);

/// Datagram between a node with callers of a workspace and an owner of its quota.
#[derive(Clone, Debug, From, PartialEq, Eq)]
pub enum QuotaMessage {
    /// A node asks an owner for credits.
    Ask(QuotaAsk),
    /// The owner answers.
    Answer(QuotaAnswer),
}

/// Request for credits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaAsk {
    /// Workspace whose requests the credits admit.
    pub workspace: WorkspaceName,
    /// Number of the ask, unique among those of the asking process.
    pub number: u64,
    /// VM of the asking node.
    pub vm: VmName,
    /// Number of credits that the node wants to hold.
    pub wanted: u32,
    /// Number of unused credits of this owner that the node holds.
    pub held: u32,
    /// Number of further credits that were used since the ask before, for calls that may still
    /// be refused. The node may use them again within 300 ms of their first use.
    pub open: u32,
}

/// Answer to a [`QuotaAsk`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaAnswer {
    /// Workspace of the ask.
    pub workspace: WorkspaceName,
    /// Number of the ask.
    pub number: u64,
    /// Number of credits that the node may hold now, in place of those it held.
    pub lent: u32,
    /// Time in which the owner expects to lend this node one more credit; absent if it lent
    /// all that was wanted.
    pub interval: Option<Duration>,
}
