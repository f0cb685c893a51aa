//! Server side of pulls: serves the configuration to peers by gRPC.

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
use super::pull::KEEP_ALIVE_INTERVAL;
use super::pull::KEEP_ALIVE_TIMEOUT;
use crate::driver::Driver;
use crate::net;

/// Maximum number of open connections; a further one is closed at once.
const MAX_CONNECTIONS: usize = 64;

/// Maximum number of concurrent pulls on a connection.
const MAX_STREAMS: u32 = 4;

/// Age at which a connection is closed; a pull takes far less time.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(10);

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Pulls that wait for the kernel's reply.
#[derive(Default)]
pub(super) struct PendingPulls {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    last_id: u64,
    replies: HashMap<InboundPullId, Sender<PullReply>>,
}

impl PendingPulls {
    fn add(&self) -> (InboundPullId, Receiver<PullReply>) {
        let (tx, rx) = async_channel::bounded(1);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.last_id += 1;
        let inbound = InboundPullId(state.last_id);
        state.replies.insert(inbound, tx);
        (inbound, rx)
    }

    /// Passes the reply to a pull, if it still waits.
    pub(super) fn reply(&self, inbound: InboundPullId, reply: PullReply) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = state.replies.remove(&inbound) {
            let _ = tx.try_send(reply);
        }
    }
}

/// Passes pulls to the kernel and waits for its replies.
struct Handler {
    driver: Arc<Driver>,
    pulls: Arc<PendingPulls>,
}

impl PullHandler for Handler {
    async fn pull(&self, request: PullRequest) -> Option<PullReply> {
        let (inbound, reply) = self.pulls.add();
        self.driver
            .handle(FleetEvent::PullReceived { inbound, request });
        reply.recv().await.ok()
    }
}

/// Accepts connections until the task is dropped.
pub(super) async fn listen(
    ex: &'static StaticExecutor,
    driver: Arc<Driver>,
    pulls: Arc<PendingPulls>,
    listener: Async<TcpListener>,
) {
    let server = PullServer::new(Handler { driver, pulls });
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            continue;
        }
        let (server, open) = (server.clone(), open.clone());
        open.fetch_add(1, Ordering::Relaxed);
        let task = async move {
            net::timeout(MAX_CONNECTION_AGE, serve(ex, server, stream)).await;
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
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .max_concurrent_streams(MAX_STREAMS)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}
