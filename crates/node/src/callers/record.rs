//! Metrics of callers' requests.

use std::time::Instant;

use celeryshore_kernel::Answer;

use crate::callers::answer::ANSWERED;
use crate::callers::answer::NOT_RUN;
use crate::callers::answer::UNKNOWN;
use crate::callers::refusal::Refusal;

const CALLS: &str = "celeryshore_calls_total";
const CALL_SECONDS: &str = "celeryshore_call_seconds";

/// Counts a call that the kernel answered, and records its duration.
pub(super) fn record(answer: &Answer, start: Instant) {
    metrics::histogram!(CALL_SECONDS).record(start.elapsed().as_secs_f64());
    match answer {
        Answer::Response(_) => metrics::counter!(CALLS, "outcome" => ANSWERED).increment(1),
        Answer::NotRun { reason, .. } => {
            metrics::counter!(CALLS, "outcome" => NOT_RUN, "reason" => reason.to_string())
                .increment(1);
        }
        Answer::Unknown { reason, .. } => {
            metrics::counter!(CALLS, "outcome" => UNKNOWN, "reason" => reason.to_string())
                .increment(1);
        }
    }
}

/// Counts a request or connection that was refused before it reached the kernel.
pub(super) fn record_refusal(refusal: Refusal) {
    metrics::counter!(CALLS, "outcome" => NOT_RUN, "reason" => refusal.to_string()).increment(1);
}
