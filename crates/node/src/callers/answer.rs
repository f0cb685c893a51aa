//! Final answers as HTTP.

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

/// Writes the HTTP answer that a caller gets.
///
/// A target's answer that cannot be written ends as unknown, since it ran.
pub(super) async fn encode(
    answer: Answer,
    dialect: &Dialect,
    method: &[u8],
    closes: bool,
) -> Result<Vec<u8>> {
    const LOST: Answer = Answer::Unknown {
        reason: Unknown::TargetLost,
        retry_after: Duration::ZERO,
    };
    let written = http::encode_response(&response(answer, dialect), method, closes).await;
    match written {
        Ok(bytes) => Ok(bytes),
        Err(_) => http::encode_response(&response(LOST, dialect), method, closes).await,
    }
}

fn response(answer: Answer, dialect: &Dialect) -> HttpResponse {
    match answer {
        Answer::Response(response) => whole(response, dialect),
        Answer::NotRun {
            reason,
            retry_after,
        } => refusal(
            dialect,
            not_run_status(dialect, reason),
            NOT_RUN,
            reason.to_string(),
            retry_after,
        ),
        Answer::Unknown {
            reason,
            retry_after,
        } => refusal(
            dialect,
            unknown_status(reason),
            UNKNOWN,
            reason.to_string(),
            retry_after,
        ),
    }
}

fn whole(mut response: HttpResponse, dialect: &Dialect) -> HttpResponse {
    let own = [&dialect.outcome, &dialect.reason];
    let is_own = |h: &Header| own.iter().any(|name| name.as_ref() == Some(&h.name));
    response.headers.retain(|h| !is_own(h));
    if let Some(name) = &dialect.outcome {
        response.headers.push(Header::new(name.clone(), ANSWERED));
    }
    response
}

fn refusal(
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
        headers.extend(come_back(dialect, retry_after));
    }
    HttpResponse {
        status,
        headers,
        body: bytes::Bytes::new(),
    }
}

/// Tells when to come back, as exactly as callers can read it.
fn come_back(dialect: &Dialect, retry_after: Duration) -> Vec<Header> {
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

/// Without a field of its own for the outcome, the status alone promises that
/// the request did not run.
fn not_run_status(dialect: &Dialect, reason: NotRun) -> u16 {
    match reason {
        NotRun::Deadline | NotRun::TooDeep if dialect.outcome.is_none() => 503,
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
