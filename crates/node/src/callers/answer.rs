//! Final answers as HTTP.

use std::time::Duration;

use celeryshore_kernel::Answer;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Unknown;
use celeryshore_model::Header;
use celeryshore_model::HttpResponse;

use crate::Result;
use crate::http;

/// Field that tells the three outcomes apart.
pub(super) const OUTCOME: &str = "celeryshore-outcome";
/// Field that says why there is no answer of the target.
pub(super) const REASON: &str = "celeryshore-reason";
pub(super) const NOT_RUN: &str = "not-run";
pub(super) const ANSWERED: &str = "answered";
pub(super) const UNKNOWN: &str = "unknown";
const RETRY_AFTER: &str = "retry-after";
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Writes the HTTP answer that a caller gets.
///
/// A target's answer that cannot be written ends as unknown, since it ran.
pub(super) async fn encode(answer: Answer, method: &[u8], closes: bool) -> Result<Vec<u8>> {
    const LOST: Answer = Answer::Unknown {
        reason: Unknown::TargetLost,
        retry_after: Duration::ZERO,
    };
    let written = http::encode_response(&response(answer), method, closes).await;
    match written {
        Ok(bytes) => Ok(bytes),
        Err(_) => http::encode_response(&response(LOST), method, closes).await,
    }
}

fn response(answer: Answer) -> HttpResponse {
    match answer {
        Answer::Whole(response) => whole(response),
        Answer::NotRun {
            reason,
            retry_after,
        } => refusal(
            not_run_status(reason),
            NOT_RUN,
            reason.to_string(),
            retry_after,
        ),
        Answer::Unknown {
            reason,
            retry_after,
        } => refusal(
            unknown_status(reason),
            UNKNOWN,
            reason.to_string(),
            retry_after,
        ),
    }
}

fn whole(mut response: HttpResponse) -> HttpResponse {
    let own = |h: &Header| h.name == OUTCOME || h.name == REASON;
    response.headers.retain(|h| !own(h));
    response.headers.push(Header::new(OUTCOME, ANSWERED));
    response
}

fn refusal(
    status: u16,
    outcome: &'static str,
    reason: String,
    retry_after: Duration,
) -> HttpResponse {
    let mut headers = vec![Header::new(OUTCOME, outcome), Header::new(REASON, reason)];
    if !retry_after.is_zero() {
        let secs = retry_after.as_millis().div_ceil(1_000);
        headers.push(Header::new(RETRY_AFTER, secs.to_string()));
        headers.push(Header::new(
            RETRY_AFTER_MS,
            retry_after.as_millis().to_string(),
        ));
    }
    HttpResponse {
        status,
        headers,
        body: bytes::Bytes::new(),
    }
}

fn not_run_status(reason: NotRun) -> u16 {
    match reason {
        NotRun::BadKey => 400,
        NotRun::NoRoute => 404,
        NotRun::KeyReused => 409,
        NotRun::TooLarge => 413,
        NotRun::Deadline => 504,
        NotRun::TooDeep => 508,
        _ => 503,
    }
}

fn unknown_status(reason: Unknown) -> u16 {
    match reason {
        Unknown::Deadline => 504,
        _ => 502,
    }
}
