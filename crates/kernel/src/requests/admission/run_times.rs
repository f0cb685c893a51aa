//! Run times of the target by kind, and its speed.
//!
//! Load pattern: targets of uneven speed that run a mix of long and short kinds, a few
//! requests of which take many times as long. Each kind is compared with what is usual for
//! it at all targets, so that the mix doesn't count, and a long run counts as a few usual
//! ones at most.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;

use crate::Speed;

/// Inverse weight of the latest run in the mean of its kind.
const SMOOTHING: u32 = 32;
/// Multiple of the mean above which a run counts as this multiple.
const MAX_RUN_FACTOR: u32 = 3;
/// Mean below which long runs aren't reduced.
const MIN_RUN: Duration = Duration::from_millis(1);
/// Number of runs from which the speed is known.
const MIN_RUNS: u32 = 16;
/// Number of runs after which the counts are halved, so that the mix follows the load.
const MAX_RUNS: u32 = 256;
/// Maximum number of kinds that are kept. A target serves a few.
const MAX_KINDS: usize = 64;

/// Mean run time of a kind and the number of recent runs.
#[derive(Debug)]
struct KindRuns {
    mean: Duration,
    runs: u32,
}

/// Mean run times by kind.
#[derive(Debug)]
pub(super) struct RunTimes {
    kinds: BTreeMap<KindId, KindRuns>,
    runs: u32,
}

impl RunTimes {
    pub(super) const fn new() -> Self {
        Self {
            kinds: BTreeMap::new(),
            runs: 0,
        }
    }

    /// Records the run time of a request that was answered.
    pub(super) fn observe(&mut self, kind: &KindId, run_time: Duration) {
        if let Some(known) = self.kinds.get_mut(kind) {
            let run_time = run_time.min(known.mean.max(MIN_RUN) * MAX_RUN_FACTOR);
            let weight = (known.runs + 1).min(SMOOTHING);
            known.mean = (known.mean * (weight - 1) + run_time) / weight;
            known.runs += 1;
        } else if self.kinds.len() < MAX_KINDS {
            let (mean, runs) = (run_time, 1);
            self.kinds.insert(kind.clone(), KindRuns { mean, runs });
        } else {
            return;
        }
        self.runs += 1;
        if self.runs >= MAX_RUNS {
            self.kinds.values_mut().for_each(|known| known.runs /= 2);
            self.runs = self.kinds.values().map(|known| known.runs).sum();
        }
    }

    /// Returns the speed: the usual time of the recent runs over the time that they took.
    /// `None` if there are too few.
    pub(super) fn speed(&self, usual: impl Fn(&KindId) -> Option<Duration>) -> Option<Speed> {
        let (mut expected, mut taken, mut runs) = (Duration::ZERO, Duration::ZERO, 0);
        for (kind, known) in &self.kinds {
            if let Some(usual) = usual(kind) {
                expected += usual * known.runs;
                taken += known.mean * known.runs;
                runs += known.runs;
            }
        }
        if runs < MIN_RUNS {
            return None;
        }
        let per_mille = expected.as_micros() * 1_000 / taken.as_micros().max(1);
        let per_mille = u32::try_from(per_mille).unwrap_or(u32::MAX);
        Some(Speed::from_per_mille(per_mille))
    }
}
