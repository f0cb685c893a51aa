//! A caller that sends requests and, where it may, sends them again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use celeryshore_standins::client::Answer;
use celeryshore_standins::client::Client;
use derive_more::Display;
use serde::Deserialize;
use uuid::Uuid;

use crate::deployment::KindShape;

const ATTEMPT: &str = "celeryshore-attempt";
const CRASH: &str = "x-crash";
const DEADLINE: &str = "celeryshore-deadline-ms";
const KEY: &str = "idempotency-key";
const OUTCOME: &str = "celeryshore-outcome";
const RETRY_AFTER: &str = "retry-after";
const RETRY_AFTER_MS: &str = "retry-after-ms";
const REASON: &str = "celeryshore-reason";
const OK: u16 = 200;
/// Time in which the answer to a passed deadline may arrive.
const GRACE: Duration = Duration::from_millis(100);
const BACKOFF: Duration = Duration::from_millis(50);

/// What a caller got in the end.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum End {
    /// The whole answer to its own request.
    #[display("answered")]
    Answered,
    /// An answer of the target that is a failure.
    #[display("failed")]
    Failed,
    /// A refusal that says that it did not run.
    #[display("not run")]
    NotRun,
    /// A refusal that says that it may have run.
    #[display("unknown")]
    Unknown,
    /// No answer, or a broken one.
    #[display("cut")]
    Cut,
    /// An answer to another request.
    #[display("wrong")]
    Wrong,
}

/// What a caller got for one send.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What it got.
    pub end: End,
    /// Reason of a refusal.
    pub reason: Option<String>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// One request's way from its first send to its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// Kind of the request.
    pub kind: KindShape,
    /// Its idempotency key.
    pub key: String,
    /// How it ended.
    pub end: End,
    /// Reasons of the refusals, from the first send to the last.
    pub reasons: Vec<String>,
    /// How often it was sent.
    pub sends: u32,
    /// Time from the first send to the end.
    pub time: Duration,
}

/// Sends requests over pooled connections.
#[derive(Debug, Default)]
pub struct Caller {
    pool: Mutex<HashMap<SocketAddr, Vec<Client>>>,
}

impl Caller {
    /// Makes a new key, whose time is now.
    #[must_use]
    pub fn key() -> String {
        Uuid::now_v7().to_string()
    }

    /// Sends a request to the nodes in turn until it has a final answer, at
    /// most `sends` times and within `patience`.
    pub async fn call(
        &self,
        kind: KindShape,
        nodes: &[SocketAddr],
        sends: u32,
        patience: Duration,
    ) -> Record {
        let started = Instant::now();
        let key = Self::key();
        let mut record = Record {
            kind,
            key,
            end: End::Cut,
            reasons: Vec::new(),
            sends: 0,
            time: Duration::ZERO,
        };
        for node in nodes.iter().cycle().take(sends as usize) {
            let left = patience.saturating_sub(started.elapsed());
            if left.is_zero() {
                break;
            }
            record.sends += 1;
            let reply = self
                .send(kind, *node, &record.key, record.sends, left)
                .await;
            record.end = reply.end;
            record
                .reasons
                .push(reply.reason.unwrap_or_else(|| reply.end.to_string()));
            record.time = started.elapsed();
            let pause = reply.retry_after.unwrap_or(BACKOFF);
            if matches!(record.end, End::Answered | End::Wrong) || pause >= left {
                break;
            }
            Timer::after(pause).await;
        }
        record
    }

    /// Sends one copy of a request and judges its answer.
    pub async fn send(
        &self,
        kind: KindShape,
        node: SocketAddr,
        key: &str,
        attempt: u32,
        timeout: Duration,
    ) -> Reply {
        let pooled = self.with_pool(node, Vec::pop);
        let mut client = pooled.unwrap_or_else(|| Client::new(node, timeout));
        client.set_timeout(timeout + GRACE);
        let mut req = client.request(kind.method, kind.path);
        req.insert_header(KEY, key);
        req.insert_header(DEADLINE, timeout.as_millis().to_string());
        req.insert_header(ATTEMPT, attempt.to_string());
        if kind.crashes {
            req.insert_header(CRASH, "1");
        }
        req.set_body(body(kind, key));
        let Ok(answer) = client.send(req).await else {
            return Reply {
                end: End::Cut,
                reason: None,
                retry_after: None,
            };
        };
        self.with_pool(node, |clients| clients.push(client));
        Reply {
            end: judge(kind, key, &answer),
            reason: answer.header(REASON).map(str::to_owned),
            retry_after: retry_after(&answer),
        }
    }

    fn with_pool<T>(&self, node: SocketAddr, change: impl FnOnce(&mut Vec<Client>) -> T) -> T {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        change(pool.entry(node).or_default())
    }
}

fn retry_after(answer: &Answer) -> Option<Duration> {
    let number = |name| answer.header(name)?.parse().ok();
    let millis = number(RETRY_AFTER_MS).map(Duration::from_millis);
    millis.or_else(|| number(RETRY_AFTER).map(Duration::from_secs))
}

#[derive(Deserialize)]
struct Echo {
    key: String,
    path: String,
    body: String,
}

fn body(kind: KindShape, key: &str) -> &str {
    if kind.idempotent { "" } else { key }
}

fn judge(kind: KindShape, key: &str, answer: &Answer) -> End {
    match answer.header(OUTCOME) {
        Some("not-run") => return End::NotRun,
        Some("unknown") => return End::Unknown,
        _ => (),
    }
    if answer.status != OK {
        return End::Failed;
    }
    let own =
        |echo: &Echo| echo.key == key && echo.path == kind.path && echo.body == body(kind, key);
    let echo = serde_json::from_slice(&answer.body).ok();
    if echo.as_ref().is_some_and(own) {
        return End::Answered;
    }
    End::Wrong
}
