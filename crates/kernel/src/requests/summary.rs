//! Counts of the work at the local target, for the metrics and the log.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;
use derive_more::Display;
use serde::Serialize;

use crate::NotRun;

/// Outcomes of the requests of one kind at the local target.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindCounts {
    /// Requests that asked for a slot.
    pub asked: u64,
    /// Requests that did not start at once though a slot was free, because it was left to
    /// more urgent kinds.
    pub held: u64,
    /// Held requests whose kind was due its minimum share.
    pub held_when_due: u64,
    /// Requests that did not start at once while their kind got no part of the minimum
    /// shares, because a more urgent kind was served less often.
    pub order_limited: u64,
    /// Requests that certainly did not run, by reason.
    pub refused: BTreeMap<NotRun, u64>,
    /// Requests that the forwarding node withdrew while they waited for a slot.
    pub withdrawn: u64,
    /// Runs that the target answered without a failure.
    pub answered: u64,
    /// Runs with a failure response.
    pub failed: u64,
    /// Runs that the target refused.
    pub shed: u64,
    /// Runs whose response was lost.
    pub lost: u64,
    /// Runs that were cancelled at their deadline or because the forwarding node
    /// withdrew them.
    pub given_up: u64,
    /// Total time for which the runs that ended occupied slots.
    pub busy: Duration,
}

impl KindCounts {
    /// Returns the number of runs that ended.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_kernel::KindCounts;
    ///
    /// let counts = KindCounts { answered: 3, failed: 1, ..KindCounts::default() };
    /// assert_eq!(counts.ended(), 4);
    /// ```
    #[must_use]
    pub const fn ended(&self) -> u64 {
        self.answered + self.failed + self.shed + self.lost + self.given_up
    }

    /// Returns the number of requests that certainly did not run.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_kernel::KindCounts;
    /// use celeryshore_kernel::NotRun;
    ///
    /// let refused = [(NotRun::Overloaded, 2), (NotRun::ColdStart, 1)].into();
    /// let counts = KindCounts { refused, ..KindCounts::default() };
    /// assert_eq!(counts.total_refused(), 3);
    /// ```
    #[must_use]
    pub fn total_refused(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns `true` if any request was refused or did not succeed.
    pub(super) fn has_failures(&self) -> bool {
        self.total_refused() + self.failed + self.shed + self.lost + self.given_up > 0
    }

    /// Returns the difference from an earlier count.
    pub(super) fn since(&self, before: Option<&Self>) -> Self {
        let Some(before) = before else {
            return self.clone();
        };
        let refused = self.refused.iter().map(|(reason, count)| {
            let earlier = before.refused.get(reason).copied().unwrap_or_default();
            (*reason, count - earlier)
        });
        Self {
            asked: self.asked - before.asked,
            held: self.held - before.held,
            held_when_due: self.held_when_due - before.held_when_due,
            order_limited: self.order_limited - before.order_limited,
            refused: refused.filter(|(_, count)| *count > 0).collect(),
            withdrawn: self.withdrawn - before.withdrawn,
            answered: self.answered - before.answered,
            failed: self.failed - before.failed,
            shed: self.shed - before.shed,
            lost: self.lost - before.lost,
            given_up: self.given_up - before.given_up,
            busy: self.busy.saturating_sub(before.busy),
        }
    }
}

/// Outcomes of the requests of one kind in a time span.
#[derive(Clone, Debug, Display)]
#[display("{kind} at the local target")]
pub struct WorkSummary {
    /// Request kind.
    pub kind: KindId,
    /// Counts within the span.
    pub counts: KindCounts,
    /// Length of the span.
    pub span: Duration,
}

impl WorkSummary {
    /// Returns the mean number of slots that were occupied by the runs that ended in the
    /// span.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celeryshore_kernel::KindCounts;
    /// use celeryshore_kernel::WorkSummary;
    /// use celeryshore_model::KindId;
    ///
    /// let summary = WorkSummary {
    ///     kind: KindId { service: "desk".parse()?, kind: "look".parse()? },
    ///     counts: KindCounts { busy: Duration::from_secs(3), ..KindCounts::default() },
    ///     span: Duration::from_secs(2),
    /// };
    /// assert!((summary.slots_used() - 1.5).abs() < 0.01);
    /// # Ok::<(), celeryshore_model::Error>(())
    /// ```
    #[must_use]
    pub fn slots_used(&self) -> f64 {
        self.counts.busy.as_secs_f64() / self.span.as_secs_f64().max(f64::EPSILON)
    }
}
