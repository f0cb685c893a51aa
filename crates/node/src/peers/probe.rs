//! Keep-alive probes, which find idle connections that no longer work.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_executor::StaticExecutor;
use async_io::Timer;
use celeryshore_wire::ReplyFrame;
use celeryshore_wire::RequestFrame;

use crate::net;
use crate::net::Stream;
use crate::peers::Peers;
use crate::peers::framed_stream::FramedStream;

const INTERVAL: Duration = Duration::from_secs(1);
const PONG_TIMEOUT: Duration = Duration::from_millis(500);

/// Pings idle connections until the task is dropped, and closes those without a pong
/// in time.
pub(crate) async fn probe_idle(ex: &'static StaticExecutor, peers: Arc<Peers>) {
    loop {
        Timer::after(INTERVAL).await;
        let Some(before) = Instant::now().checked_sub(INTERVAL) else {
            continue;
        };
        for (peer, mut idle) in peers.pool.take_unverified(before) {
            let peers = peers.clone();
            let probe = async move {
                if let Some(stream) = verify(idle.stream, &peers).await {
                    idle.stream = stream;
                    idle.verified = Instant::now();
                    peers.pool.put_back(peer, idle);
                }
            };
            ex.spawn(probe).detach();
        }
    }
}

/// Returns the connection if the peer answers a ping on it.
async fn verify(stream: Stream, peers: &Peers) -> Option<Stream> {
    let mut stream = FramedStream::new(stream, &peers.memory);
    let pong = net::timeout(PONG_TIMEOUT, ping(&mut stream)).await;
    match pong? {
        Some(ReplyFrame::Pong) => stream.into_idle(),
        _ => None,
    }
}

async fn ping(stream: &mut FramedStream) -> Option<ReplyFrame> {
    let ping = RequestFrame::Ping.encode();
    stream.write(&ping).await.ok()?;
    let frame = stream.read().await.ok()??;
    ReplyFrame::decode(frame).ok()
}
