//! Statistics of the requests for the local target, by kind.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Time;

use super::decision::SlotLimits;
use crate::KindCounts;
use crate::NotRun;
use crate::WorkSummary;

/// Maximum number of kinds that are counted. A target serves a few, and each is a label
/// of the metrics.
const MAX_KINDS: usize = 64;
/// Interval between summaries in the log while requests are refused or fail. Load
/// patterns that matter last for seconds.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Counts by kind since the start of the process, and those already reported.
#[derive(Debug)]
pub(super) struct KindStats {
    counts: BTreeMap<KindId, KindCounts>,
    reported: BTreeMap<KindId, KindCounts>,
    reported_at: Time,
}

impl KindStats {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            counts: BTreeMap::new(),
            reported: BTreeMap::new(),
            reported_at: now,
        }
    }

    pub(super) const fn counts(&self) -> &BTreeMap<KindId, KindCounts> {
        &self.counts
    }

    /// Counts a request that asks for a slot.
    pub(super) fn record_request(&mut self, kind: &KindId) {
        self.update(kind, |c| c.asked += 1);
    }

    /// Counts what keeps a request from starting at once.
    pub(super) fn record_delay(&mut self, kind: &KindId, limits: SlotLimits) {
        self.update(kind, |c| {
            c.held += u64::from(limits.is_held);
            c.held_when_due += u64::from(limits.is_held && limits.is_due);
            c.order_limited += u64::from(limits.is_order_limited);
        });
    }

    /// Counts a request that certainly doesn't run.
    pub(super) fn record_refusal(&mut self, kind: &KindId, reason: NotRun) {
        self.update(kind, |c| *c.refused.entry(reason).or_default() += 1);
    }

    /// Counts a queued request that its forwarding node withdrew.
    pub(super) fn record_withdrawal(&mut self, kind: &KindId) {
        self.update(kind, |c| c.withdrawn += 1);
    }

    /// Counts the end of a run that took a slot for `busy`.
    pub(super) fn record_end(&mut self, kind: &KindId, end: RunEnd, busy: Duration) {
        self.update(kind, |c| {
            c.busy += busy;
            match end {
                RunEnd::Answered => c.answered += 1,
                RunEnd::Failed => c.failed += 1,
                RunEnd::Shed => c.shed += 1,
                RunEnd::Lost => c.lost += 1,
                RunEnd::Aborted => c.given_up += 1,
            }
        });
    }

    /// Returns the counts since the last summary, if a summary is due and a request was
    /// refused or failed in between.
    pub(super) fn summary(&mut self, now: Time) -> Vec<WorkSummary> {
        let span = now - self.reported_at;
        if span < SUMMARY_INTERVAL {
            return Vec::new();
        }
        self.reported_at = now;
        let previous = std::mem::replace(&mut self.reported, self.counts.clone());
        let changes: Vec<_> = self
            .counts
            .iter()
            .map(|(kind, counts)| WorkSummary {
                kind: kind.clone(),
                counts: counts.since(previous.get(kind)),
                span,
            })
            .filter(|summary| summary.counts.asked + summary.counts.ended() > 0)
            .collect();
        if changes.iter().any(|summary| summary.counts.has_failures()) {
            changes
        } else {
            Vec::new()
        }
    }

    fn update(&mut self, kind: &KindId, update: impl FnOnce(&mut KindCounts)) {
        if let Some(counts) = self.counts.get_mut(kind) {
            update(counts);
        } else if self.counts.len() < MAX_KINDS {
            update(self.counts.entry(kind.clone()).or_default());
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) enum RunEnd {
    /// The target responded without a failure.
    Answered,
    /// The target responded with a failure.
    Failed,
    /// The target refused the request.
    Shed,
    /// The response was lost, or the target wasn't reached.
    Lost,
    /// The deadline passed, or the forwarding node withdrew the request.
    Aborted,
}
