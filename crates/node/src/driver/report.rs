//! Log lines about requests.

use std::time::Instant;

use celeryshore_kernel::Kernel;
use celeryshore_kernel::QuotaReport;
use celeryshore_kernel::RequestReport;
use celeryshore_kernel::RequestStep;
use celeryshore_kernel::TargetReport;
use celeryshore_kernel::WorkSummary;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::WorkspaceName;
use slog::KV;
use slog::Record;
use slog::Serializer;

use super::Driver;

impl Driver {
    /// Logs the outcomes of recent requests of one kind at the local target.
    pub(super) fn log_work_summary(&self, summary: &WorkSummary) {
        let counts = &summary.counts;
        let refused: Vec<_> = counts
            .refused
            .iter()
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        slog::info!(self.log, "work: {}", summary;
            "span_ms" => summary.span.as_millis(),
            "slots_used" => format!("{:.1}", summary.slots_used()),
            "given_up" => counts.given_up,
            "lost" => counts.lost,
            "shed" => counts.shed,
            "failed" => counts.failed,
            "answered" => counts.answered,
            "withdrawn" => counts.withdrawn,
            "refused" => refused.join(" "),
            "order_limited" => counts.order_limited,
            "held_when_due" => counts.held_when_due,
            "held" => counts.held,
            "asked" => counts.asked);
    }

    /// Logs what the local target newly states about itself, unless the quota of this
    /// second is used up.
    pub(super) fn log_target_report(&self, report: TargetReport) {
        if let Some(suppressed) = self.log_quota.take(Instant::now()) {
            slog::info!(self.log, "target: {}", report; "left_out" => suppressed);
        }
    }

    /// Logs that a workspace is limited by its quota. The kernel reports each workspace at
    /// most once per second.
    pub(super) fn log_quota_report(&self, report: &QuotaReport) {
        let owners: Vec<_> = report.owners.iter().map(ToString::to_string).collect();
        slog::info!(self.log, "quota: {}", report;
            "owners" => owners.join(" "),
            "interval_ms" => report.interval.map(|interval| interval.as_millis()),
            "refused" => report.refused);
    }

    /// Logs a decision about a request with the view that it was based on, unless the
    /// quota of this second is used up.
    pub(super) fn log_request_report(&self, kernel: &Kernel, now: Time, report: &RequestReport) {
        let is_sent = matches!(report.step, RequestStep::Sent { .. });
        let (quota, prefix) = if is_sent {
            (&self.sent_quota, "forwarding")
        } else {
            (&self.log_quota, "requests")
        };
        if let Some(suppressed) = quota.take(Instant::now()) {
            let request = report.request.as_deref().map(String::from_utf8_lossy);
            slog::info!(self.log, "{}: {}", prefix, report;
                "request" => request.unwrap_or_default().as_ref(),
                "remaining_ms" => report.remaining.as_millis(),
                "version" => %report.version.index,
                "left_out" => suppressed,
                WorkspaceField(report.workspace.as_ref()),
                ViewFields { kernel, now });
        }
    }

    /// Logs a configuration that takes effect, with its source.
    pub(super) fn log_configuration(&self, kernel: &Kernel, now: Time, snapshot: &Snapshot) {
        slog::info!(self.log, "node: version in effect";
            "version" => %snapshot.version.index,
            ViewFields { kernel, now });
    }
}

/// Field of a log line with the workspace of a request, if it has one.
struct WorkspaceField<'a>(Option<&'a WorkspaceName>);

impl KV for WorkspaceField<'_> {
    fn serialize(&self, _: &Record<'_>, out: &mut dyn Serializer) -> slog::Result {
        self.0
            .map_or(Ok(()), |name| out.emit_str("workspace", name.as_str()))
    }
}

/// Fields of a log line that say where the configuration in effect comes from: source,
/// age in milliseconds, and the revisions with their eras. Without a feed there is only the
/// age.
struct ViewFields<'a> {
    kernel: &'a Kernel,
    now: Time,
}

impl KV for ViewFields<'_> {
    fn serialize(&self, _: &Record<'_>, out: &mut dyn Serializer) -> slog::Result {
        let feed = self.kernel.feed.as_ref();
        let Some(view) = feed.map(|feed| feed.view(self.now)) else {
            let age = self.kernel.fleet.view_age(self.now);
            return age.map_or(Ok(()), |age| out.emit_u128("age_ms", age.as_millis()));
        };
        if let Some(source) = view.source {
            out.emit_arguments("source", &format_args!("{source}"))?;
        }
        if let Some(age) = view.age {
            out.emit_u128("age_ms", age.as_millis())?;
        }
        let [configuration, upstreams] = view.revisions;
        out.emit_arguments("configuration", &format_args!("{configuration}"))?;
        out.emit_arguments("upstreams", &format_args!("{upstreams}"))
    }
}
