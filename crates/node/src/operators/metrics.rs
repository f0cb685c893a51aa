//! Metrics in the text format of Prometheus.

use std::sync::OnceLock;
use std::time::Duration;

use async_io::Timer;
use celeryshore_kernel::Feed;
use celeryshore_kernel::Kernel;
use celeryshore_kernel::KindCounts;
use celeryshore_kernel::LoadCounters;
use celeryshore_kernel::TrafficKind;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use metrics_process::Collector;

use crate::callers::Callers;

const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
const VERSION_INDEX: &str = "celeryshore_version_index";
const READER: &str = "celeryshore_reader";
const SOURCE_CALLS: &str = "celeryshore_source_calls_total";
/// Requests per second that the target takes; infinite if it states no limit.
const RATE_LIMIT: &str = "celeryshore_target_rate_limit";
const UNREADABLE_LIMITS: &str = "celeryshore_target_unreadable_limits_total";
/// Requests that didn't start at once though a slot was free.
const HELD_REQUESTS: &str = "celeryshore_target_held_requests_total";
/// Requests that didn't start at once, by what limited their kind beside the slots.
const DELAYED_REQUESTS: &str = "celeryshore_target_delayed_requests_total";
const LEAVING_ANSWERED: &str = "celeryshore_leaving_answered_total";
const LEAVING_REFUSED: &str = "celeryshore_leaving_refused_total";
const TARGET_REQUESTS: &str = "celeryshore_target_requests_total";
const QUOTA_REFUSALS: &str = "celeryshore_quota_refusals_total";
/// Workspaces that have a counter of their own, in the order of their names.
const MAX_QUOTA_LABELS: usize = 200;
/// Load of the busiest target of a service over the mean.
const LOAD_PEAK: &str = "celeryshore_service_load_peak";
/// Requests by the age of the report that their upstream was chosen by.
const REPORT_AGE_BUCKET: &str = "celeryshore_load_report_age_seconds_bucket";
const REPORT_AGE_SUM: &str = "celeryshore_load_report_age_seconds_sum";
const REFUSED_BESIDE_FREE: &str = "celeryshore_refused_beside_free_total";
const VIEW_AGE: &str = "celeryshore_view_age_seconds";
/// Upper bounds of the histogram buckets for call durations, in seconds.
const CALL_BUCKETS: [f64; 12] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// Recorder of the process, installed by the first node that starts in it.
static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Metrics of the process.
#[derive(Clone)]
pub(crate) struct Metrics {
    recorder: PrometheusHandle,
    process: Collector,
}

impl Metrics {
    pub(crate) fn install() -> Self {
        let recorder = RECORDER.get_or_init(install).clone();
        let process = Collector::default();
        process.describe();
        Self { recorder, process }
    }

    /// Runs the recorder's periodic upkeep, which bounds its memory, until the task is
    /// dropped.
    pub(crate) async fn upkeep(self) {
        loop {
            Timer::after(UPKEEP_INTERVAL).await;
            self.recorder.run_upkeep();
        }
    }

    pub(super) fn render(&self, callers: &Callers) -> String {
        self.process.collect();
        callers.driver.inspect(set_kernel_gauges);
        metrics::gauge!("celeryshore_caller_connections")
            .set(to_f64(callers.tracker.count() as u64));
        self.recorder.render()
    }
}

fn install() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    let builder = builder
        .set_buckets(&CALL_BUCKETS)
        .unwrap_or_else(|_| PrometheusBuilder::new());
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    let _ = metrics::set_global_recorder(recorder);
    handle
}

fn set_kernel_gauges(kernel: &Kernel) {
    let requests = kernel.requests.status();
    metrics::counter!(UNREADABLE_LIMITS).absolute(requests.unreadable_limits);
    metrics::counter!(HELD_REQUESTS).absolute(requests.held_requests);
    metrics::counter!(LEAVING_ANSWERED).absolute(requests.counters.answered_while_leaving);
    metrics::counter!(LEAVING_REFUSED).absolute(requests.counters.refused_while_leaving);
    let rate_limit = requests.statement.and_then(|s| s.rate_limit);
    metrics::gauge!(RATE_LIMIT)
        .set(rate_limit.map_or(f64::INFINITY, |rate| to_f64(rate.per_mille()) / 1_000.0));
    set_load_counts(&requests.load_choices);
    for (service, peak) in requests.load_peaks {
        metrics::gauge!(LOAD_PEAK, "service" => service.to_string()).set(peak);
    }
    for (kind, counts) in requests.kinds {
        set_kind_counts(&kind, &counts);
    }
    for (workspace, quota) in requests.quotas.iter().take(MAX_QUOTA_LABELS) {
        metrics::counter!(QUOTA_REFUSALS, "workspace" => workspace.to_string())
            .absolute(quota.refused);
    }
    if let Some(feed) = &kernel.feed {
        set_feed_gauges(feed);
        return;
    }
    let status = kernel.fleet.status();
    metrics::gauge!(VERSION_INDEX).set(to_f64(kernel.fleet.version().index.0));
    metrics::gauge!(READER).set(f64::from(u8::from(status.reader)));
    metrics::counter!(SOURCE_CALLS).absolute(status.source_calls);
    if let Some(age) = status.view_age {
        metrics::gauge!(VIEW_AGE).set(age.as_secs_f64());
    }
    for (state, count) in status.members {
        metrics::gauge!("celeryshore_members", "state" => state.to_string())
            .set(to_f64(count as u64));
    }
    for (kind, count) in status.traffic {
        set_traffic(kind, count.bytes);
    }
}

/// Sets the histogram of the ages of the load reports that requests were sent by.
fn set_load_counts(counts: &LoadCounters) {
    for (bound, count) in counts.ages() {
        let bound = bound.map_or_else(|| "+Inf".to_owned(), |b| b.as_secs_f64().to_string());
        metrics::counter!(REPORT_AGE_BUCKET, "le" => bound).absolute(count);
    }
    metrics::gauge!(REPORT_AGE_SUM).set(counts.age_sum.as_secs_f64());
    metrics::counter!(REFUSED_BESIDE_FREE).absolute(counts.refused_beside_free);
}

fn set_kind_counts(kind: &str, counts: &KindCounts) {
    let outcomes = [
        ("answered", counts.answered),
        ("failed", counts.failed),
        ("shed", counts.shed),
        ("lost", counts.lost),
        ("given-up", counts.given_up),
        ("withdrawn", counts.withdrawn),
    ];
    for (outcome, count) in outcomes {
        metrics::counter!(TARGET_REQUESTS, "kind" => kind.to_owned(), "outcome" => outcome)
            .absolute(count);
    }
    for (reason, count) in &counts.refused {
        metrics::counter!(TARGET_REQUESTS, "kind" => kind.to_owned(),
            "outcome" => "not-run", "reason" => reason.to_string())
        .absolute(*count);
    }
    let delays = [
        ("held", counts.held),
        ("held-when-due", counts.held_when_due),
        ("order-limited", counts.order_limited),
    ];
    for (reason, count) in delays {
        metrics::counter!(DELAYED_REQUESTS, "kind" => kind.to_owned(), "reason" => reason)
            .absolute(count);
    }
    metrics::gauge!("celeryshore_target_busy_seconds", "kind" => kind.to_owned())
        .set(counts.busy.as_secs_f64());
}

fn set_feed_gauges(feed: &Feed) {
    let status = feed.status();
    metrics::gauge!(VERSION_INDEX).set(to_f64(status.version.index.0));
    metrics::gauge!(READER).set(f64::from(u8::from(status.is_reader)));
    metrics::counter!(SOURCE_CALLS).absolute(status.store_reads);
    metrics::gauge!("celeryshore_store_era").set(to_f64(status.era.0));
    metrics::counter!("celeryshore_comparisons_total").absolute(status.comparisons);
    metrics::gauge!("celeryshore_view_outdated").set(f64::from(u8::from(status.is_outdated)));
    metrics::gauge!("celeryshore_peers").set(to_f64(status.peers as u64));
    if let Some(age) = status.age {
        metrics::gauge!(VIEW_AGE).set(age.as_secs_f64());
    }
}

fn set_traffic(kind: TrafficKind, bytes: u64) {
    metrics::counter!("celeryshore_control_sent_bytes_total", "kind" => kind.to_string())
        .absolute(bytes);
}

/// Converts a count. Counts above 2^53 lose their last digits.
fn to_f64(count: u64) -> f64 {
    const HALF_BITS: u32 = 32;
    let high = u32::try_from(count >> HALF_BITS).unwrap_or(u32::MAX);
    let low = u32::try_from(count & u64::from(u32::MAX)).unwrap_or(u32::MAX);
    f64::from(high) * 4_294_967_296.0 + f64::from(low)
}
