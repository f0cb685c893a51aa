//! Counters of how well the load is known and spread.

use std::time::Duration;

use serde::Serialize;

/// Upper bounds of the ages of load reports that are counted, in milliseconds.
const AGE_BOUNDS_MS: [u64; 7] = [25, 50, 100, 200, 500, 1_000, 3_000];

/// Counts of the choices among upstreams since the process started, if the load is to be
/// even.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadCounters {
    /// Choices by the age of the chosen upstream's report: one count for each bound, and
    /// one for choices without a usable report.
    ages: [u64; AGE_BOUNDS_MS.len() + 1],
    /// Sum of those ages.
    pub age_sum: Duration,
    /// Sends that were refused as overloaded while another upstream of the service was
    /// known to have a free slot.
    pub refused_beside_free: u64,
}

impl LoadCounters {
    /// Counts a choice by a report of this age, or without one.
    pub(super) fn record_choice(&mut self, age: Option<Duration>) {
        let is_within = |age: Duration| {
            let bounds = AGE_BOUNDS_MS.iter();
            let mut bounds = bounds.map(|millis| Duration::from_millis(*millis));
            bounds.position(|bound| age <= bound)
        };
        let bucket = age.and_then(is_within).unwrap_or(AGE_BOUNDS_MS.len());
        self.ages[bucket] += 1;
        self.age_sum += age.unwrap_or_default();
    }

    /// Counts a send that was refused while another upstream had a free slot.
    pub(super) const fn record_refusal_beside_free(&mut self) {
        self.refused_beside_free += 1;
    }

    /// Returns each bound on the age with the number of choices by reports that were at most
    /// so old. The last entry has no bound and counts all choices.
    pub fn ages(&self) -> impl Iterator<Item = (Option<Duration>, u64)> {
        let bounds = AGE_BOUNDS_MS.into_iter().map(Duration::from_millis);
        let bounds = bounds.map(Some).chain([None]);
        bounds.zip(self.ages).scan(0, |sum, (bound, count)| {
            *sum += count;
            Some((bound, *sum))
        })
    }
}
