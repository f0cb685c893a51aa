//! Encoding of the kernel's final answers as HTTP responses.

use std::time::Duration;

use celeryshore_kernel::Answer;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Unknown;
use celeryshore_model::Dialect;
use celeryshore_model::Header;
use celeryshore_model::HttpResponse;

use crate::Result;
use crate::http;

pub(super) const NOT_RUN: &str = "not-run";
pub(super) const ANSWERED: &str = "answered";
pub(super) const UNKNOWN: &str = "unknown";
const RETRY_AFTER: &str = "retry-after";
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Encodes the HTTP response to a caller.
///
/// If the target's response cannot be encoded, the outcome is unknown: the request
/// ran, but the caller cannot get its result.
pub(super) async fn encode(
    answer: Answer,
    dialect: &Dialect,
    method: &[u8],
    closes: bool,
) -> Result<Vec<u8>> {
    const RESPONSE_LOST: Answer = Answer::Unknown {
        reason: Unknown::TargetLost,
        retry_after: Duration::ZERO,
    };
    let encoded = http::encode_response(&to_response(answer, dialect), method, closes).await;
    match encoded {
        Ok(bytes) => Ok(bytes),
        Err(_) => http::encode_response(&to_response(RESPONSE_LOST, dialect), method, closes).await,
    }
}

fn to_response(answer: Answer, dialect: &Dialect) -> HttpResponse {
    match answer {
        Answer::Response(response) => answered(response, dialect),
        Answer::NotRun {
            reason,
            retry_after,
        } => without_response(
            dialect,
            not_run_status(dialect, reason),
            NOT_RUN,
            reason.to_string(),
            retry_after,
        ),
        Answer::Unknown {
            reason,
            retry_after,
        } => without_response(
            dialect,
            unknown_status(reason),
            UNKNOWN,
            reason.to_string(),
            retry_after,
        ),
    }
}

/// Marks a target's response as such, and removes header fields that only the node
/// may set.
fn answered(mut response: HttpResponse, dialect: &Dialect) -> HttpResponse {
    let reserved = [&dialect.outcome, &dialect.reason];
    let is_reserved = |h: &Header| reserved.iter().any(|name| name.as_ref() == Some(&h.name));
    response.headers.retain(|h| !is_reserved(h));
    if let Some(name) = &dialect.outcome {
        response.headers.push(Header::new(name.clone(), ANSWERED));
    }
    response
}

/// Returns the response to a request that did not run or whose outcome is unknown.
fn without_response(
    dialect: &Dialect,
    status: u16,
    outcome: &'static str,
    reason: String,
    retry_after: Duration,
) -> HttpResponse {
    let mut headers = Vec::new();
    if let Some(name) = &dialect.outcome {
        headers.push(Header::new(name.clone(), outcome));
    }
    if let Some(name) = &dialect.reason {
        headers.push(Header::new(name.clone(), reason));
    }
    if !retry_after.is_zero() {
        headers.extend(retry_after_fields(dialect, retry_after));
    }
    HttpResponse {
        status,
        headers,
        body: bytes::Bytes::new(),
    }
}

/// Returns the header fields that say when to retry, as precisely as callers can
/// parse them.
fn retry_after_fields(dialect: &Dialect, retry_after: Duration) -> Vec<Header> {
    let millis = retry_after.as_millis();
    if dialect.allows_fractional_retry_after {
        let secs = format!("{:.3}", retry_after.as_secs_f64());
        return vec![Header::new(RETRY_AFTER, secs)];
    }
    vec![
        Header::new(RETRY_AFTER, millis.div_ceil(1_000).to_string()),
        Header::new(RETRY_AFTER_MS, millis.to_string()),
    ]
}

/// Returns the status of a request that did not run.
///
/// In a dialect without an outcome header, the status alone tells callers that the
/// request did not run, so 503 replaces 504 and 508.
fn not_run_status(dialect: &Dialect, reason: NotRun) -> u16 {
    match reason {
        NotRun::Deadline | NotRun::TooDeep if dialect.outcome.is_none() => 503,
        NotRun::BadKey => 400,
        NotRun::UnknownKey => 401,
        NotRun::NoRoute => 404,
        NotRun::KeyReused => 409,
        NotRun::TooLarge => 413,
        NotRun::Quota => 429,
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
