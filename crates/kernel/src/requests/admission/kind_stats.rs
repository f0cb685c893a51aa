//! What became of the requests for the own target, by kind.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Time;

use crate::KindCounts;
use crate::NotRun;
use crate::WorkSummary;

/// Kinds that are counted apart; a target serves a few, and each is a label of the
/// metrics.
const MAX_KINDS: usize = 64;
/// Time between two summaries while requests are refused or fail. Load patterns
/// that matter last for seconds.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Counts by kind since the start of the process, and what was told of them.
#[derive(Debug)]
pub(super) struct Tally {
    counts: BTreeMap<KindId, KindCounts>,
    told: BTreeMap<KindId, KindCounts>,
    told_at: Time,
}

impl Tally {
    /// Makes the tally of a process that starts now.
    pub(super) const fn new(now: Time) -> Self {
        Self {
            counts: BTreeMap::new(),
            told: BTreeMap::new(),
            told_at: now,
        }
    }

    /// Returns the counts by kind.
    pub(super) const fn counts(&self) -> &BTreeMap<KindId, KindCounts> {
        &self.counts
    }

    /// Counts a request that asks for a slot.
    pub(super) fn asked(&mut self, kind: &KindId) {
        self.change(kind, |c| c.asked += 1);
    }

    /// Counts a request that certainly does not run.
    pub(super) fn refused(&mut self, kind: &KindId, reason: NotRun) {
        self.change(kind, |c| *c.refused.entry(reason).or_default() += 1);
    }

    /// Counts a waiting request whose handing node has withdrawn it.
    pub(super) fn withdrawn(&mut self, kind: &KindId) {
        self.change(kind, |c| c.withdrawn += 1);
    }

    /// Counts the end of a run.
    pub(super) fn ended(&mut self, kind: &KindId, end: RunEnd, busy: Duration) {
        self.change(kind, |c| {
            c.busy += busy;
            match end {
                RunEnd::Answered => c.answered += 1,
                RunEnd::Failed => c.failed += 1,
                RunEnd::Shed => c.shed += 1,
                RunEnd::Lost => c.lost += 1,
                RunEnd::GivenUp => c.given_up += 1,
            }
        });
    }

    /// Returns what happened since the last summary, if one is due and a request was
    /// refused or failed.
    pub(super) fn summary(&mut self, now: Time) -> Vec<WorkSummary> {
        let span = now - self.told_at;
        if span < SUMMARY_INTERVAL {
            return Vec::new();
        }
        self.told_at = now;
        let before = std::mem::replace(&mut self.told, self.counts.clone());
        let changes: Vec<_> = self
            .counts
            .iter()
            .map(|(kind, counts)| WorkSummary {
                kind: kind.clone(),
                counts: counts.since(before.get(kind)),
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

    fn change(&mut self, kind: &KindId, change: impl FnOnce(&mut KindCounts)) {
        if let Some(counts) = self.counts.get_mut(kind) {
            change(counts);
        } else if self.counts.len() < MAX_KINDS {
            change(self.counts.entry(kind.clone()).or_default());
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum RunEnd {
    /// The target answered.
    Answered,
    /// The target answered that it failed.
    Failed,
    /// The target refused it for load.
    Shed,
    /// The answer was lost, or the target was not reached.
    Lost,
    /// Its time was over, or its caller gone.
    GivenUp,
}
