//! Requests that run at the VM's own target.

mod health;
mod pool;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use celeryshore_kernel::Outcome;
use celeryshore_model::ByteSize;
use celeryshore_model::Dialect;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use serde_json::Value;

pub(crate) use self::health::poll_phase;
pub(crate) use self::health::run_health_checks;
use self::pool::Lease;
use self::pool::TargetPool;
use crate::Result;
use crate::error::Protocol;
use crate::http;
use crate::http::Connection;
use crate::http::MessageLimits;
use crate::timers::Timers;

const HEADER_LIMIT: ByteSize = ByteSize::new(8 * 1_024 - 1);

/// What may be used of the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetLimits {
    /// Connections that it accepts.
    pub(crate) connections: u32,
    /// Longest body of an answer.
    pub(crate) body: ByteSize,
}

/// The VM's own target.
pub(crate) struct Target {
    pool: TargetPool,
    timers: Arc<Timers>,
    dialect: Dialect,
}

impl Target {
    pub(crate) fn new(addr: SocketAddr, timers: Arc<Timers>, dialect: Dialect) -> Self {
        Self {
            pool: TargetPool::new(addr),
            timers,
            dialect,
        }
    }

    pub(crate) fn set_limits(&self, limits: TargetLimits) {
        self.pool.set_limits(limits);
    }

    /// Runs a request until its whole answer is read or the deadline has come.
    pub(crate) async fn run(&self, request: HttpRequest, deadline: Instant) -> Outcome {
        let Ok(bytes) = http::encode_request(&request).await else {
            return Outcome::NeverSent;
        };
        let Some((lease, stream)) = self.pool.lease().await else {
            return Outcome::NeverSent;
        };
        let conn = Connection::new(stream);
        let answer = self
            .timers
            .timeout_at(deadline, self.exchange(lease, conn, &bytes, &request))
            .await;
        match answer {
            Some(Ok(response)) => Outcome::Answered(response),
            Some(Err(_)) => Outcome::Broken,
            None => {
                self.pool.clear();
                Outcome::Silent
            }
        }
    }

    async fn exchange(
        &self,
        lease: Lease<'_>,
        mut conn: Connection,
        bytes: &[u8],
        request: &HttpRequest,
    ) -> Result<HttpResponse> {
        let limits = MessageLimits {
            header: HEADER_LIMIT,
            body: self.pool.limits().body,
        };
        let is_written = write(&conn, bytes).await?;
        let is_head = request.method == "HEAD";
        loop {
            let (response, keeps) = http::read_response(&mut conn, limits, is_head).await?;
            if self.is_strange(request, &response) {
                continue;
            }
            self.check_signature(request, &response)?;
            if keeps
                && is_written
                && let Some(stream) = conn.into_idle()
            {
                lease.keep(stream);
            }
            return Ok(response);
        }
    }

    /// Tells whether an answer belongs to another request, which was sent on this
    /// connection before.
    fn is_strange(&self, request: &HttpRequest, response: &HttpResponse) -> bool {
        let Some(name) = &self.dialect.request_id else {
            return false;
        };
        let answered = response.header(name);
        answered.is_some() && request.header(name) != answered
    }

    /// Refuses a success that the target did not sign: something else answered.
    fn check_signature(&self, request: &HttpRequest, response: &HttpResponse) -> Result<()> {
        let is_success = (200..300).contains(&response.status);
        let name = self.dialect.signature.as_ref();
        let is_call = self.dialect.request_id.as_ref();
        let is_call = is_call.is_some_and(|id| request.header(id).is_some());
        if is_call && is_success && name.is_some_and(|name| response.header(name).is_none()) {
            return Err(Protocol::Unsigned.into());
        }
        Ok(())
    }

    /// Describes the connections for the state dump.
    pub(crate) fn dump(&self) -> Value {
        self.pool.dump()
    }
}

/// Writes a request, unless the answer begins before its end; tells whether all
/// of it was written. A connection on which it was not cannot be used again.
async fn write(conn: &Connection, bytes: &[u8]) -> Result<bool> {
    let stream = conn.stream();
    let written = async {
        (&*stream).write_all(bytes).await?;
        Ok(true)
    };
    let answered = async {
        stream.readable().await?;
        Ok(false)
    };
    written.or(answered).await
}
