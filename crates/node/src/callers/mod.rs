//! Callers' port: HTTP/1.1 with keep-alive.

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

/// Longest body that the exchanges between nodes carry.
const MAX_BODY: ByteSize = ByteSize::new(64 * 1_024 * 1_024);
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// What the connections of callers share.
pub(crate) struct Callers {
    pub(crate) driver: Arc<Driver>,
    pub(crate) limits: SettingsLimits,
    pub(crate) tracker: ConnectionTracker,
}

/// Bounds on what a caller sends now: the configuration's, else the settings'.
#[derive(Clone, Copy, Debug)]
struct Limits {
    message: MessageLimits,
    /// Time from the first byte of a request to its last.
    progress: Duration,
    idle: Duration,
}

impl Callers {
    fn limits(&self) -> Limits {
        let own = &self.limits;
        match self.driver.caller_limits() {
            Some(limits) => Limits {
                message: MessageLimits {
                    header: limits.header.min(own.header),
                    body: limits.body.min(MAX_BODY),
                },
                progress: limits.header_timeout.max(limits.idle_timeout),
                idle: limits.idle_timeout,
            },
            None => Limits {
                message: MessageLimits {
                    header: own.header,
                    body: own.body,
                },
                progress: own.idle,
                idle: own.idle,
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
            Some(pass) => {
                let served = serve(callers.clone(), Connection::new(stream), pass);
                callers.driver.spawn(served);
            }
            None => callers
                .driver
                .spawn(refuse(callers.clone(), stream, Refusal::Connections)),
        }
    }
}

/// Writes a refusal and ends the connection.
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
