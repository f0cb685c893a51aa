//! What a request asks of the admission, and what it is told.

use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::VmName;

use super::rank::Rank;
use crate::NotRun;

/// What is to become of a request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// A slot is free.
    Run,
    /// It may wait for a slot.
    Wait {
        /// For this time at most, if there is a bound.
        at_most: Option<Duration>,
    },
    /// It would wait too long.
    Refuse(Refusal),
}

/// Why a request does not run, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    /// Why it does not run.
    pub(super) reason: NotRun,
    /// When to come back.
    pub(super) retry_after: Duration,
}

/// What a request asks of the admission.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand<'a> {
    /// Node that hands it over.
    pub(super) from: &'a VmName,
    /// Its kind.
    pub(super) kind: &'a KindId,
    /// Time left until its deadline.
    pub(super) remaining: Duration,
    /// Longest wait after which its caller would rather go elsewhere.
    pub(super) max_wait: Option<Duration>,
    /// Its rank.
    pub(super) rank: Rank,
}
