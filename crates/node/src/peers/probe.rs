//! Keep-alive of idle connections: each one proves from time to time that it works.

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

/// Probes idle connections until the task is dropped.
pub(crate) async fn probe_idle(ex: &'static StaticExecutor, peers: Arc<Peers>) {
    loop {
        Timer::after(INTERVAL).await;
        let Some(before) = Instant::now().checked_sub(INTERVAL) else {
            continue;
        };
        for (peer, mut idle) in peers.pool.take_unproved(before) {
            let peers = peers.clone();
            let probe = async move {
                if let Some(stream) = answers(idle.stream).await {
                    idle.stream = stream;
                    idle.proved = Instant::now();
                    peers.pool.put_back(peer, idle);
                }
            };
            ex.spawn(probe).detach();
        }
    }
}

async fn answers(stream: Stream) -> Option<Stream> {
    let mut frames = FramedStream::new(stream);
    let pong = net::timeout(PONG_TIMEOUT, ping(&mut frames)).await;
    match pong? {
        Some(ReplyFrame::Pong) => frames.into_idle(),
        _ => None,
    }
}

async fn ping(frames: &mut FramedStream) -> Option<ReplyFrame> {
    let ping = RequestFrame::Ping.encode();
    frames.write(&ping).await.ok()?;
    let frame = frames.read().await.ok()??;
    ReplyFrame::decode(frame).ok()
}
