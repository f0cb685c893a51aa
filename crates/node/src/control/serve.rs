//! Serves the configuration to peers.

use std::collections::HashMap;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::StaticExecutor;
use async_io::Async;
use async_io::Timer;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::InboundPullId;
use celeryshore_kernel::PullReply;
use celeryshore_kernel::PullRequest;
use celeryshore_wire::PullHandler;
use celeryshore_wire::PullServer;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use super::executor::HyperExecutor;
use super::pull::KEEP_ALIVE;
use super::pull::KEEP_ALIVE_TIMEOUT;
use crate::driver::Driver;
use crate::net;

/// Connections of peers that are served at one time.
const MAX_CONNECTIONS: usize = 64;

/// Pulls that one connection may bring at one time.
const MAX_STREAMS: u32 = 4;

/// Longest life of a connection; a pull takes far less.
const MAX_LIFE: Duration = Duration::from_secs(10);

/// Pause after no connection could be accepted.
const PAUSE: Duration = Duration::from_millis(20);

/// Pulls that wait for their reply.
#[derive(Default)]
pub(super) struct Inbound {
    waiting: Mutex<Waiting>,
}

#[derive(Default)]
struct Waiting {
    next: u64,
    replies: HashMap<InboundPullId, Sender<PullReply>>,
}

impl Inbound {
    fn add(&self) -> (InboundPullId, Receiver<PullReply>) {
        let (tx, rx) = async_channel::bounded(1);
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.next += 1;
        let inbound = InboundPullId(waiting.next);
        waiting.replies.insert(inbound, tx);
        (inbound, rx)
    }

    /// Gives a pull its reply.
    pub(super) fn reply(&self, inbound: InboundPullId, reply: PullReply) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = waiting.replies.remove(&inbound) {
            let _ = tx.try_send(reply);
        }
    }
}

/// Asks the decisions what to reply.
struct Handler {
    driver: Arc<Driver>,
    inbound: Arc<Inbound>,
}

impl PullHandler for Handler {
    async fn pull(&self, request: PullRequest) -> Option<PullReply> {
        let (inbound, reply) = self.inbound.add();
        self.driver
            .handle(FleetEvent::PullReceived { inbound, request });
        reply.recv().await.ok()
    }
}

/// Accepts connections of peers until the task is dropped.
pub(super) async fn listen(
    ex: &'static StaticExecutor,
    driver: Arc<Driver>,
    inbound: Arc<Inbound>,
    listener: Async<TcpListener>,
) {
    let server = PullServer::new(Handler { driver, inbound });
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(PAUSE).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            continue;
        }
        let (server, open) = (server.clone(), open.clone());
        open.fetch_add(1, Ordering::Relaxed);
        let task = async move {
            net::timeout(MAX_LIFE, serve(ex, server, stream)).await;
            open.fetch_sub(1, Ordering::Relaxed);
        };
        ex.spawn(task).detach();
    }
}

async fn serve(ex: &'static StaticExecutor, server: PullServer<Handler>, stream: Async<TcpStream>) {
    let _ = stream.get_ref().set_nodelay(true);
    let service = service_fn(move |request| {
        let server = server.clone();
        async move { server.answer(request).await }
    });
    let _ = http2::Builder::new(HyperExecutor(ex))
        .timer(SmolTimer::new())
        .keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .max_concurrent_streams(MAX_STREAMS)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}
