//! Requests to the local target.
//!
//! [`Target`] runs a request on a connection of `pool` and reports the outcome to the
//! kernel. `health` polls the target's health endpoint through the same pool.

mod health;
mod pool;
mod unread_fields;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use celeryshore_kernel::Outcome;
use celeryshore_model::ByteSize;
use celeryshore_model::Dialect;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use serde_json::Value;
use slog::Logger;

pub(crate) use self::health::poll_phase;
pub(crate) use self::health::run_health_checks;
use self::pool::LeasedConnection;
use self::pool::TargetPool;
use self::unread_fields::UnreadFields;
use crate::Result;
use crate::error::Protocol;
use crate::http;
use crate::http::Connection;
use crate::http::MessageLimits;
use crate::memory::BodyMemory;
use crate::timers::Timers;

/// Number of responses to earlier requests that are skipped on one connection.
const MAX_STALE_RESPONSES: u32 = 4;
const HEADER_LIMIT: ByteSize = ByteSize::new(8 * 1_024 - 1);

/// Limits on the connections to the target and on its responses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetLimits {
    /// Highest number of open connections.
    pub(crate) connections: u32,
    /// Longest body of a response.
    pub(crate) body: ByteSize,
}

/// Parts that a client of the target is made of.
pub(crate) struct TargetParts {
    /// Address of the target.
    pub(crate) addr: SocketAddr,
    pub(crate) timers: Arc<Timers>,
    pub(crate) memory: Arc<BodyMemory>,
    pub(crate) dialect: Dialect,
    pub(crate) log: Logger,
}

/// Client of the local target.
pub(crate) struct Target {
    pool: TargetPool,
    timers: Arc<Timers>,
    memory: Arc<BodyMemory>,
    dialect: Dialect,
    unread_fields: UnreadFields,
    /// Number of responses that named no request on a connection that was used before.
    unattributed: AtomicU64,
    log: Logger,
}

impl Target {
    pub(crate) fn new(parts: TargetParts) -> Self {
        Self {
            pool: TargetPool::new(parts.addr),
            timers: parts.timers,
            memory: parts.memory,
            dialect: parts.dialect,
            unread_fields: UnreadFields::default(),
            unattributed: AtomicU64::new(0),
            log: parts.log,
        }
    }

    pub(crate) fn set_limits(&self, limits: TargetLimits) {
        self.pool.set_limits(limits);
    }

    /// Sends a request and reads the complete response, until the deadline.
    ///
    /// A timeout closes the idle connections too, since the target may no longer
    /// respond on any of them.
    pub(crate) async fn run(&self, request: HttpRequest, deadline: Instant) -> Outcome {
        let Ok(bytes) = http::encode_request(&request).await else {
            return Outcome::NeverSent;
        };
        let request_id = self.request_id(&request);
        let Some(conn) = self.pool.lease(request_id).await else {
            return Outcome::NeverSent;
        };
        let response = self
            .timers
            .timeout_at(deadline, self.exchange(conn, &bytes, &request))
            .await;
        match response {
            Some(Ok(response)) => {
                self.log_unread_fields(&response);
                Outcome::Answered(response)
            }
            Some(Err(err)) if err.protocol() == Some(Protocol::Memory) => {
                slog::warn!(self.log, "target: response discarded"; "error" => %err);
                Outcome::Discarded
            }
            Some(Err(err)) => {
                if err.protocol() == Some(Protocol::Unattributed) {
                    self.unattributed.fetch_add(1, Ordering::Relaxed);
                    slog::warn!(self.log, "target: response discarded"; "error" => %err);
                }
                Outcome::Broken
            }
            None => {
                self.pool.clear();
                Outcome::Silent
            }
        }
    }

    async fn exchange(
        &self,
        leased: LeasedConnection<'_>,
        bytes: &[u8],
        request: &HttpRequest,
    ) -> Result<HttpResponse> {
        let LeasedConnection {
            lease,
            stream,
            mut earlier,
        } = leased;
        let mut conn = Connection::new(stream).with_memory(self.memory.clone());
        let limits = MessageLimits {
            header: HEADER_LIMIT,
            body: self.pool.limits().body,
        };
        let is_written = write(&conn, bytes).await?;
        let is_head = request.method == "HEAD";
        let mut stale = 0;
        loop {
            let (response, is_reusable) = http::read_response(&mut conn, limits, is_head).await?;
            if self.is_stale_response(request, &response) {
                stale += 1;
                if stale > MAX_STALE_RESPONSES {
                    return Err(Protocol::Stale.into());
                }
                continue;
            }
            let is_attributed = self.is_attributed(request, &response);
            if !is_attributed && earlier.has_calls() {
                return Err(Protocol::Unattributed.into());
            }
            self.check_signature(request, &response)?;
            let request_id = self.request_id(request);
            let is_recognizable = if is_success(&response) {
                earlier.insert(request_id);
                is_attributed
            } else {
                is_attributed && earlier.insert_failed(request_id)
            };
            if is_reusable
                && is_written
                && is_recognizable
                && stale == 0
                && let Some(stream) = conn.into_idle()
            {
                lease.keep(stream, earlier);
            }
            return Ok(response);
        }
    }

    /// Returns the identifier of a request, if it has one.
    fn request_id<'a>(&self, request: &'a HttpRequest) -> Option<&'a Bytes> {
        let name = self.dialect.request_id.as_ref()?;
        request.header(name)
    }

    /// Returns `true` if a response is known to belong to a request: it carries the
    /// request's identifier, or the request has none.
    fn is_attributed(&self, request: &HttpRequest, response: &HttpResponse) -> bool {
        let name = self.dialect.request_id.as_ref();
        name.is_none_or(|name| {
            let id = request.header(name);
            id.is_none() || id == response.header(name)
        })
    }

    /// Returns `true` if a response carries the identifier of another request, which
    /// was sent on this connection before.
    fn is_stale_response(&self, request: &HttpRequest, response: &HttpResponse) -> bool {
        let Some(name) = &self.dialect.request_id else {
            return false;
        };
        let response_id = response.header(name);
        response_id.is_some() && request.header(name) != response_id
    }

    /// Rejects a success without the target's signature, since it does not come from
    /// the target.
    ///
    /// Health checks are exempt: they carry no request identifier.
    fn check_signature(&self, request: &HttpRequest, response: &HttpResponse) -> Result<()> {
        let name = self.dialect.signature.as_ref();
        let is_call = self.dialect.request_id.as_ref();
        let is_call = is_call.is_some_and(|id| request.header(id).is_some());
        if is_call
            && is_success(response)
            && name.is_some_and(|name| response.header(name).is_none())
        {
            return Err(Protocol::Unsigned.into());
        }
        Ok(())
    }

    /// Counts the response fields that the node doesn't read, and logs each name once.
    fn log_unread_fields(&self, response: &HttpResponse) {
        for name in self.unread_fields.record(&self.dialect, response) {
            let name = String::from_utf8_lossy(&name);
            slog::info!(self.log, "target: response has an unread field"; "field" => %name);
        }
    }

    /// Returns the state of the connections, the counts of unread response fields and the
    /// memory of bodies, for the state dump.
    pub(crate) fn dump(&self) -> Value {
        let mut state = self.pool.dump();
        state["unread_fields"] = self.unread_fields.dump();
        state["unattributed_responses"] = self.unattributed.load(Ordering::Relaxed).into();
        state["body_bytes"] = self.memory.used().into();
        state
    }
}

fn is_success(response: &HttpResponse) -> bool {
    (200..300).contains(&response.status)
}

/// Writes a request until it is complete or the response begins. Returns `true` if
/// it is complete; otherwise the connection cannot be reused.
async fn write(conn: &Connection, bytes: &[u8]) -> Result<bool> {
    let stream = conn.stream();
    let written = async {
        (&*stream).write_all(bytes).await?;
        Ok(true)
    };
    let responded = async {
        stream.readable().await?;
        Ok(false)
    };
    written.or(responded).await
}
