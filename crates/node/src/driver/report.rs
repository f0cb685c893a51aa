//! Log lines of decisions about requests.

use std::time::Instant;

use celeryshore_kernel::RequestReport;

use super::Driver;

impl Driver {
    /// Logs a decision, unless too many were logged in this second.
    pub(super) fn report_request(&self, report: &RequestReport) {
        if let Some(left_out) = self.log_quota.take(Instant::now()) {
            let request = report.request.as_deref().map(String::from_utf8_lossy);
            slog::info!(self.log, "requests: {}", report;
                "request" => request.unwrap_or_default().as_ref(),
                "remaining_ms" => report.remaining.as_millis(),
                "version" => %report.version.index,
                "left_out" => left_out);
        }
    }
}
