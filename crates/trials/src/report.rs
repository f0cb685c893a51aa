//! Tables that show the results of trials.

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

/// Duration, displayed in milliseconds.
#[derive(Clone, Copy, Debug, Display)]
#[display("{:.2} ms", _0.as_secs_f64() * MILLIS_PER_SECOND)]
pub struct Millis(pub Duration);

/// Returns a percentile of a histogram whose values are microseconds.
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

/// Result of checking one promise.
#[derive(Clone, Debug, Tabled)]
#[tabled(rename_all = "lowercase")]
pub struct Promise {
    /// Text of the promise.
    pub promise: &'static str,
    /// Observation that decides whether the promise held.
    pub seen: String,
    /// Whether the promise held.
    pub held: Held,
}

/// Whether a promise held.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Held {
    /// The promise held.
    #[display("yes")]
    Yes,
    /// The promise was broken.
    #[display("NO")]
    No,
}

impl From<bool> for Held {
    fn from(held: bool) -> Self {
        if held { Self::Yes } else { Self::No }
    }
}

/// Results of one request kind under one load.
#[derive(Clone, Debug, Tabled)]
#[tabled(rename_all = "lowercase")]
pub struct ServiceRow {
    /// Name of the request kind.
    pub kind: &'static str,
    /// Number of requests.
    pub sent: u64,
    /// Complete responses before the deadline.
    #[tabled(rename = "in time")]
    pub in_time: u64,
    /// Complete responses after the deadline.
    pub late: u64,
    /// Refusals as not run.
    #[tabled(rename = "not run")]
    pub not_run: u64,
    /// Refusals as not run of requests that ran.
    pub untrue: u64,
    /// Refusals as unknown.
    pub unknown: u64,
    /// Error responses of the target that were passed on.
    pub failed: u64,
    /// Missing or incomplete responses.
    pub cut: u64,
    /// Responses to other requests.
    pub wrong: u64,
    /// At-most-once requests that ran more than once.
    pub doubled: u64,
    /// 50th percentile of the response time.
    pub p50: Millis,
    /// 99th percentile of the response time.
    pub p99: Millis,
}

impl ServiceRow {
    /// Creates the row of a summary.
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

/// Formats how many requests were not answered, by outcome and by the reasons of
/// all their attempts.
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

/// Formats the peak load of any one target, and the totals of overloads, shed
/// requests and cut requests.
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
