//! Exchanges that other nodes open.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Async;
use celeryshore_kernel::CatalogRequest;
use celeryshore_kernel::PeerReply;
use celeryshore_kernel::PeerRequest;
use celeryshore_wire::ReplyFrame;
use celeryshore_wire::RequestFrame;
use futures_lite::FutureExt;

use crate::Result;
use crate::driver::Driver;
use crate::error::Protocol;
use crate::net;
use crate::peers::framed_stream::FramedStream;

/// Time between two messages that a reply is still outstanding.
const WORKING_INTERVAL: Duration = Duration::from_millis(250);
/// A connection that is not even probed for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections until the task is dropped.
pub(crate) async fn listen(driver: Arc<Driver>, listener: Async<TcpListener>) {
    loop {
        let Some(stream) = net::accept(&listener).await else {
            continue;
        };
        let frames = FramedStream::new(stream);
        driver.spawn(serve(driver.clone(), frames));
    }
}

async fn serve(driver: Arc<Driver>, mut frames: FramedStream) {
    loop {
        let served = serve_one(&driver, &mut frames).await;
        if let Err(err) = &served {
            slog::debug!(driver.log(), "peers: connection closed"; "error" => %err);
        }
        if !matches!(served, Ok(Next::Read)) {
            return;
        }
    }
}

/// What becomes of a connection.
enum Next {
    Read,
    Close,
}

async fn serve_one(driver: &Arc<Driver>, frames: &mut FramedStream) -> Result<Next> {
    let read = driver.timers.timeout(IDLE_TIMEOUT, frames.read()).await;
    let Some(frame) = read.ok_or(Protocol::Timeout)?? else {
        return Ok(Next::Close);
    };
    let reply = match RequestFrame::decode(frame)? {
        RequestFrame::Ping => Some(ReplyFrame::Pong),
        RequestFrame::Request(request) => decide(driver, frames, *request).await?,
        RequestFrame::Catalog(request) => tell(driver, frames, request).await,
    };
    let Some(reply) = reply else {
        return Ok(Next::Close);
    };
    write(driver, frames, reply).await?;
    Ok(Next::Read)
}

/// Waits for the decision; nothing if the peer withdraws.
async fn decide(
    driver: &Arc<Driver>,
    frames: &mut FramedStream,
    request: PeerRequest,
) -> Result<Option<ReplyFrame>> {
    let (inbound, reply) = driver.receive(request);
    loop {
        match wait(driver, frames, &reply).await {
            Waited::Replied(reply) => return Ok(Some(ReplyFrame::Reply(reply))),
            Waited::Interrupted => {
                driver.withdraw(inbound);
                return Ok(None);
            }
            Waited::Outstanding => {
                if let Err(err) = write(driver, frames, ReplyFrame::Working).await {
                    driver.withdraw(inbound);
                    return Err(err);
                }
            }
        }
    }
}

/// Waits for what is known of the platform's store; nothing if the peer withdraws.
async fn tell(
    driver: &Arc<Driver>,
    frames: &mut FramedStream,
    request: CatalogRequest,
) -> Option<ReplyFrame> {
    let (question, answer) = driver.ask(request);
    let answered = async { answer.recv().await.ok() };
    let interrupted = async {
        frames.interrupted().await;
        None
    };
    let answer = answered.or(interrupted).await;
    if answer.is_none() {
        driver.withdraw_question(question);
    }
    answer.map(ReplyFrame::Catalog)
}

enum Waited {
    Replied(PeerReply),
    Interrupted,
    Outstanding,
}

async fn wait(driver: &Driver, frames: &mut FramedStream, reply: &Receiver<PeerReply>) -> Waited {
    let replied = async {
        match reply.recv().await {
            Ok(reply) => Waited::Replied(reply),
            Err(_) => Waited::Interrupted,
        }
    };
    let interrupted = async {
        frames.interrupted().await;
        Waited::Interrupted
    };
    let outstanding = async {
        let end = Instant::now() + WORKING_INTERVAL;
        driver.timers.sleep_until(end).await;
        Waited::Outstanding
    };
    replied.or(interrupted).or(outstanding).await
}

async fn write(driver: &Driver, frames: &FramedStream, reply: ReplyFrame) -> Result<()> {
    let frame = reply.encode();
    let written = driver
        .timers
        .timeout(WRITE_TIMEOUT, frames.write(&frame))
        .await;
    Ok(written.ok_or(Protocol::Timeout)??)
}
