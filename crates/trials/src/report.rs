//! Tables of results.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_standins::target::Counts;
use derive_more::Display;
use hdrhistogram::Histogram;
use tabled::Table;
use tabled::Tabled;
use tabled::settings::Style;

use crate::caller::Outcome;
use crate::caller::Record;
use crate::load::Summary;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Prints rows as a table under a title.
pub fn print<T: Tabled>(title: &str, rows: impl IntoIterator<Item = T>) {
    let mut table = Table::new(rows);
    table.with(Style::markdown());
    println!("\n{title}\n\n{table}");
}

/// A duration in milliseconds.
#[derive(Clone, Copy, Debug, Display)]
#[display("{:.2} ms", _0.as_secs_f64() * MILLIS_PER_SECOND)]
pub struct Millis(pub Duration);

/// Returns a percentile of a histogram in microseconds.
///
/// # Example
///
/// ```
/// use celeryshore_trials::report::percentile;
/// use hdrhistogram::Histogram;
///
/// let mut times = Histogram::new(3)?;
/// times.record(1_500)?;
/// assert_eq!(percentile(&times, 50.0).to_string(), "1.50 ms");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[must_use]
pub fn percentile(times: &Histogram<u64>, percent: f64) -> Millis {
    Millis(Duration::from_micros(times.value_at_percentile(percent)))
}

/// One promise, what was seen, and whether it held.
#[derive(Clone, Debug, Tabled)]
#[tabled(rename_all = "lowercase")]
pub struct Promise {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
    /// Whether it held.
    pub held: Held,
}

/// Whether a promise held.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Held {
    /// It held.
    #[display("yes")]
    Yes,
    /// It was broken.
    #[display("NO")]
    No,
}

impl From<bool> for Held {
    fn from(held: bool) -> Self {
        if held { Self::Yes } else { Self::No }
    }
}

/// Service of one request kind under one load.
#[derive(Clone, Debug, Tabled)]
#[tabled(rename_all = "lowercase")]
pub struct ServiceRow {
    /// Request kind.
    pub kind: &'static str,
    /// Requests.
    pub sent: u64,
    /// Whole answers before the deadline.
    #[tabled(rename = "in time")]
    pub in_time: u64,
    /// Whole answers after the deadline.
    pub late: u64,
    /// Refusals as not run.
    #[tabled(rename = "not run")]
    pub not_run: u64,
    /// Refusals as not run of requests that did run.
    pub untrue: u64,
    /// Refusals as unknown.
    pub unknown: u64,
    /// Failures of the target that were passed on.
    pub failed: u64,
    /// Missing or broken answers.
    pub cut: u64,
    /// Answers to other requests.
    pub wrong: u64,
    /// Runs of at-most-once requests beyond the first.
    pub doubled: u64,
    /// Time at 50 in 100.
    pub p50: Millis,
    /// Time at 99 in 100.
    pub p99: Millis,
}

impl ServiceRow {
    /// Makes the row of a summary.
    #[must_use]
    pub fn new(kind: &'static str, summary: &Summary) -> Self {
        Self {
            kind,
            sent: summary.outcomes.values().sum(),
            in_time: summary.count(Outcome::Answered) - summary.late,
            late: summary.late,
            not_run: summary.count(Outcome::NotRun),
            untrue: summary.false_not_run,
            unknown: summary.count(Outcome::Unknown),
            failed: summary.count(Outcome::Failed),
            cut: summary.count(Outcome::Cut),
            wrong: summary.count(Outcome::Wrong),
            doubled: summary.duplicated,
            p50: percentile(&summary.times, 50.0),
            p99: percentile(&summary.times, 99.0),
        }
    }
}

/// Reasons why requests were not answered, one after the other for each send.
#[must_use]
pub fn reasons(records: &[Record]) -> String {
    let mut counts = BTreeMap::new();
    for record in records.iter().filter(|r| r.outcome != Outcome::Answered) {
        let reasons = record.reasons.join(" > ");
        *counts.entry((record.outcome, reasons)).or_insert(0) += 1;
    }
    let reasons = counts
        .iter()
        .map(|((outcome, reasons), n)| format!("{n} {outcome}: {reasons}"));
    reasons.collect::<Vec<_>>().join(", ")
}

/// Most load that any target of a fleet saw, against what it can bear.
#[must_use]
pub fn peak_load(counts: &[Counts]) -> String {
    let max = |value: fn(&Counts) -> usize| counts.iter().map(value).max().unwrap_or_default();
    let total = |value: fn(&Counts) -> u64| counts.iter().map(value).sum::<u64>();
    format!(
        "peak cold {}, peak warm {}, fallen {}, shed {}, cut {}",
        max(|c| c.peak_cold),
        max(|c| c.peak),
        total(|c| c.fallen),
        total(|c| c.shed),
        total(|c| c.cut),
    )
}
