//! Caller that sends requests and retries them with the same idempotency key.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use celeryshore_standins::client::BufferedResponse;
use celeryshore_standins::client::Client;
use derive_more::Display;
use serde::Deserialize;
use uuid::Uuid;

use crate::deployment::KindSpec;

const ATTEMPT_HEADER: &str = "celeryshore-attempt";
const CRASH_HEADER: &str = "x-crash";
const DEADLINE_HEADER: &str = "celeryshore-deadline-ms";
const KEY_HEADER: &str = "idempotency-key";
const OUTCOME_HEADER: &str = "celeryshore-outcome";
const RETRY_AFTER_HEADER: &str = "retry-after";
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";
const REASON_HEADER: &str = "celeryshore-reason";
const STATUS_OK: u16 = 200;
/// Time after the deadline within which the response may still arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);
const BACKOFF: Duration = Duration::from_millis(50);

/// Final outcome of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// A complete response to this request.
    #[display("answered")]
    Answered,
    /// An error response of the target.
    #[display("failed")]
    Failed,
    /// A refusal that states that the request did not run.
    #[display("not run")]
    NotRun,
    /// A refusal that states that the request may have run.
    #[display("unknown")]
    Unknown,
    /// No response, or an incomplete one.
    #[display("cut")]
    Cut,
    /// A response to another request.
    #[display("wrong")]
    Wrong,
}

/// Result of one attempt of a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Outcome of this attempt.
    pub outcome: Outcome,
    /// Reason that a refusal states.
    pub reason: Option<String>,
    /// Time to wait before the next attempt, if the response states one.
    pub retry_after: Option<Duration>,
}

/// Attempts and final outcome of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Kind of the request.
    pub kind: KindSpec,
    /// Idempotency key of all attempts.
    pub key: String,
    /// Outcome of the last attempt.
    pub outcome: Outcome,
    /// One entry for each attempt, in order: the reason of a refusal, otherwise
    /// the outcome.
    pub reasons: Vec<String>,
    /// Number of attempts.
    pub attempts: u32,
    /// Time from the first attempt to the end of the last.
    pub time: Duration,
}

/// Caller that sends requests over pooled connections.
#[derive(Debug, Default)]
pub struct Caller {
    pool: Mutex<HashMap<SocketAddr, Vec<Client>>>,
}

impl Caller {
    /// Creates an idempotency key, whose timestamp is the current time.
    #[must_use]
    pub fn new_key() -> String {
        Uuid::now_v7().to_string()
    }

    /// Sends a request to the nodes in turn until one returns a successful
    /// response, at most `max_attempts` times and within `timeout`.
    pub async fn call(
        &self,
        kind: KindSpec,
        nodes: &[SocketAddr],
        max_attempts: u32,
        timeout: Duration,
    ) -> Record {
        let started = Instant::now();
        let key = Self::new_key();
        let mut record = Record {
            kind,
            key,
            outcome: Outcome::Cut,
            reasons: Vec::new(),
            attempts: 0,
            time: Duration::ZERO,
        };
        for node in nodes.iter().cycle().take(max_attempts as usize) {
            let remaining = timeout.saturating_sub(started.elapsed());
            if remaining.is_zero() {
                break;
            }
            record.attempts += 1;
            let reply = self
                .send(kind, *node, &record.key, record.attempts, remaining)
                .await;
            record.outcome = reply.outcome;
            record
                .reasons
                .push(reply.reason.unwrap_or_else(|| reply.outcome.to_string()));
            record.time = started.elapsed();
            let delay = reply.retry_after.unwrap_or(BACKOFF);
            if matches!(record.outcome, Outcome::Answered | Outcome::Wrong) || delay >= remaining {
                break;
            }
            Timer::after(delay).await;
        }
        record
    }

    /// Makes one attempt of a request and classifies the response.
    pub async fn send(
        &self,
        kind: KindSpec,
        node: SocketAddr,
        key: &str,
        attempt: u32,
        timeout: Duration,
    ) -> Reply {
        let pooled = self.with_pool(node, Vec::pop);
        let mut client = pooled.unwrap_or_else(|| Client::new(node, timeout));
        client.set_timeout(timeout + DEADLINE_GRACE);
        let mut req = client.request(kind.method, kind.path);
        req.insert_header(KEY_HEADER, key);
        req.insert_header(DEADLINE_HEADER, timeout.as_millis().to_string());
        req.insert_header(ATTEMPT_HEADER, attempt.to_string());
        if kind.crashes {
            req.insert_header(CRASH_HEADER, "1");
        }
        req.set_body(request_body(kind, key));
        let Ok(res) = client.send(req).await else {
            return Reply {
                outcome: Outcome::Cut,
                reason: None,
                retry_after: None,
            };
        };
        self.with_pool(node, |clients| clients.push(client));
        Reply {
            outcome: classify(kind, key, &res),
            reason: res.header(REASON_HEADER).map(str::to_owned),
            retry_after: retry_after(&res),
        }
    }

    fn with_pool<T>(&self, node: SocketAddr, update: impl FnOnce(&mut Vec<Client>) -> T) -> T {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        update(pool.entry(node).or_default())
    }
}

fn retry_after(res: &BufferedResponse) -> Option<Duration> {
    let number = |name| res.header(name)?.parse().ok();
    let millis = number(RETRY_AFTER_MS_HEADER).map(Duration::from_millis);
    millis.or_else(|| number(RETRY_AFTER_HEADER).map(Duration::from_secs))
}

/// Response body of the stand-in target, which repeats parts of the request.
#[derive(Deserialize)]
struct Echo {
    key: String,
    path: String,
    body: String,
}

fn request_body(kind: KindSpec, key: &str) -> &str {
    if kind.idempotent { "" } else { key }
}

fn classify(kind: KindSpec, key: &str, res: &BufferedResponse) -> Outcome {
    match res.header(OUTCOME_HEADER) {
        Some("not-run") => return Outcome::NotRun,
        Some("unknown") => return Outcome::Unknown,
        _ => (),
    }
    if res.status != STATUS_OK {
        return Outcome::Failed;
    }
    let matches_request = |echo: &Echo| {
        echo.key == key && echo.path == kind.path && echo.body == request_body(kind, key)
    };
    let echo = serde_json::from_slice(&res.body).ok();
    if echo.as_ref().is_some_and(matches_request) {
        return Outcome::Answered;
    }
    Outcome::Wrong
}
