//! Log lines about requests.

use std::time::Instant;

use celeryshore_kernel::RequestReport;
use celeryshore_kernel::TargetReport;
use celeryshore_kernel::WorkSummary;

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
            "asked" => counts.asked);
    }

    /// Logs what the local target newly states about itself, unless the quota of this
    /// second is used up.
    pub(super) fn log_target_report(&self, report: TargetReport) {
        if let Some(suppressed) = self.log_quota.take(Instant::now()) {
            slog::info!(self.log, "target: {}", report; "left_out" => suppressed);
        }
    }

    /// Logs a decision about a request, unless the quota of this second is used up.
    pub(super) fn log_request_report(&self, report: &RequestReport) {
        if let Some(suppressed) = self.log_quota.take(Instant::now()) {
            let request = report.request.as_deref().map(String::from_utf8_lossy);
            slog::info!(self.log, "requests: {}", report;
                "request" => request.unwrap_or_default().as_ref(),
                "remaining_ms" => report.remaining.as_millis(),
                "version" => %report.version.index,
                "left_out" => suppressed);
        }
    }
}
