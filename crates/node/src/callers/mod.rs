//! Callers' port: accepts HTTP/1.1 requests with keep-alive and pipelining.
//!
//! [`listen`] accepts connections up to the limit that [`ConnectionTracker`] counts,
//! and `connection` serves each one: it passes requests to the kernel and writes the
//! kernel's answers, which `answer` encodes. `refusal` encodes the responses to
//! requests that never reach the kernel, and `record` counts all of them as metrics.

mod answer;
mod connection;
mod record;
mod refusal;
mod tracker;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use celeryshore_model::ByteSize;
use futures_lite::AsyncWriteExt;

use self::connection::serve;
use self::refusal::Refusal;
pub(crate) use self::tracker::ConnectionTracker;
use crate::driver::Driver;
use crate::http::Connection;
use crate::http::MessageLimits;
use crate::net;
use crate::net::Stream;
use crate::settings::SettingsLimits;

/// Longest body that fits into a frame between nodes.
const MAX_BODY: ByteSize = ByteSize::new(64 * 1_024 * 1_024);
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// State that all callers' connections share.
pub(crate) struct Callers {
    pub(crate) driver: Arc<Driver>,
    /// Limits of the settings, which [`Self::limits`] combines with those of the
    /// configuration.
    pub(crate) limits: SettingsLimits,
    pub(crate) tracker: ConnectionTracker,
}

/// Limits on a caller's messages: those of the configuration in effect if it has
/// any, otherwise those of the settings. The settings' header limit always applies.
#[derive(Clone, Copy, Debug)]
struct Limits {
    message: MessageLimits,
    /// Longest time from the first byte of a request to its last.
    read_timeout: Duration,
    idle_timeout: Duration,
}

impl Callers {
    fn limits(&self) -> Limits {
        let settings = &self.limits;
        match self.driver.caller_limits() {
            Some(limits) => Limits {
                message: MessageLimits {
                    header: limits.header.min(settings.header),
                    body: limits.body.min(MAX_BODY),
                },
                read_timeout: limits.header_timeout.max(limits.idle_timeout),
                idle_timeout: limits.idle_timeout,
            },
            None => Limits {
                message: MessageLimits {
                    header: settings.header,
                    body: settings.body,
                },
                read_timeout: settings.idle,
                idle_timeout: settings.idle,
            },
        }
    }
}

/// Accepts connections until the task is dropped.
pub(crate) async fn listen(callers: Arc<Callers>, listener: Async<TcpListener>) {
    loop {
        let Some(stream) = net::accept(&listener).await else {
            continue;
        };
        match callers.tracker.track(callers.limits.connections) {
            Some(guard) => {
                let memory = callers.driver.memory.clone();
                let conn = Connection::new(stream).with_memory(memory);
                let served = serve(callers.clone(), conn, guard);
                callers.driver.spawn(served);
            }
            None => callers
                .driver
                .spawn(refuse(callers.clone(), stream, Refusal::Connections)),
        }
    }
}

/// Writes a refusal and closes the connection.
async fn refuse(callers: Arc<Callers>, stream: Stream, refusal: Refusal) {
    record::record_refusal(refusal);
    let bytes = refusal.encode(&callers.driver.dialect).await;
    let ended = async {
        if (&*stream).write_all(&bytes).await.is_ok() {
            net::close_gracefully(&stream).await;
        }
    };
    net::timeout(REFUSAL_TIMEOUT, ended).await;
}
