//! Requests that run at the VM's own target.

mod health;
mod pool;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use celeryshore_kernel::Outcome;
use celeryshore_model::ByteSize;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use serde_json::Value;

pub(crate) use self::health::watch;
use self::pool::Lease;
use self::pool::TargetPool;
use crate::Result;
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
}

impl Target {
    pub(crate) fn new(addr: SocketAddr, timers: Arc<Timers>) -> Self {
        Self {
            pool: TargetPool::new(addr),
            timers,
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
        let is_head = request.method == "HEAD";
        let answer = self
            .timers
            .until(deadline, self.exchange(lease, conn, &bytes, is_head))
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
        is_head: bool,
    ) -> Result<HttpResponse> {
        let limits = MessageLimits {
            header: HEADER_LIMIT,
            body: self.pool.limits().body,
        };
        conn.write(bytes).await?;
        let (response, keeps) = http::read_response(&mut conn, limits, is_head).await?;
        if keeps && let Some(stream) = conn.into_idle() {
            lease.keep(stream);
        }
        Ok(response)
    }

    /// Describes the connections for the state dump.
    pub(crate) fn dump(&self) -> Value {
        self.pool.dump()
    }
}
