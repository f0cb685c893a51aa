//! Exchanges that other nodes open with this one.

use std::net::TcpListener;
use std::pin::pin;
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
use crate::uplink::Ticket;

/// Time between two frames that tell the peer that its reply is still outstanding;
/// shorter than the time after which the peer gives up.
const WORKING_INTERVAL: Duration = Duration::from_millis(250);
/// Connections without any frame for this time are closed. A peer that is alive
/// pings its idle connections more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections until the task is dropped.
pub(crate) async fn listen(driver: Arc<Driver>, listener: Async<TcpListener>) {
    loop {
        let Some(stream) = net::accept(&listener).await else {
            continue;
        };
        let stream = FramedStream::new(stream, &driver.memory);
        driver.spawn(serve(driver.clone(), stream));
    }
}

async fn serve(driver: Arc<Driver>, mut stream: FramedStream) {
    loop {
        let served = serve_one(&driver, &mut stream).await;
        if let Err(err) = &served {
            slog::debug!(driver.log(), "peers: connection closed"; "error" => %err);
        }
        if !matches!(served, Ok(Next::Read)) {
            return;
        }
    }
}

/// What to do with a connection after an exchange.
enum Next {
    Read,
    Close,
}

async fn serve_one(driver: &Arc<Driver>, stream: &mut FramedStream) -> Result<Next> {
    let read = driver.timers.timeout(IDLE_TIMEOUT, stream.read()).await;
    let Some(frame) = read.ok_or(Protocol::Timeout)?? else {
        return Ok(Next::Close);
    };
    let frame = RequestFrame::decode(frame)?;
    // A drain ends only when the replies to forwarded requests are written.
    let _unsent =
        matches!(frame, RequestFrame::Request(_)).then(|| driver.unsent_replies.track(usize::MAX));
    let reply = match frame {
        RequestFrame::Ping => Some(ReplyFrame::Pong),
        RequestFrame::Request(request) => handle_request(driver, stream, *request).await?,
        RequestFrame::Catalog(request) => handle_poll(driver, stream, request).await,
    };
    let Some(reply) = reply else {
        return Ok(Next::Close);
    };
    write_reply(driver, stream, reply).await?;
    Ok(Next::Read)
}

/// Passes a request to the kernel and waits for the reply; returns `None` if the
/// peer cancels the request.
async fn handle_request(
    driver: &Arc<Driver>,
    stream: &mut FramedStream,
    request: PeerRequest,
) -> Result<Option<ReplyFrame>> {
    let (inbound, reply) = driver.receive_request(request);
    loop {
        match wait(driver, stream, &reply).await {
            Waited::Replied(reply) => return Ok(Some(ReplyFrame::Reply(reply))),
            Waited::Interrupted => {
                driver.cancel_request(inbound);
                return Ok(None);
            }
            Waited::Outstanding => {
                if let Err(err) = write(driver, stream, ReplyFrame::Working).await {
                    driver.cancel_request(inbound);
                    return Err(err);
                }
            }
        }
    }
}

/// Passes a long poll for the contents of the platform's store to the kernel and
/// waits for the answer; returns `None` if the peer cancels the poll.
async fn handle_poll(
    driver: &Arc<Driver>,
    stream: &mut FramedStream,
    request: CatalogRequest,
) -> Option<ReplyFrame> {
    let (poll, answer) = driver.receive_poll(request);
    let answered = async { answer.recv().await.ok() };
    let interrupted = async {
        stream.interrupted().await;
        None
    };
    let answer = answered.or(interrupted).await;
    if answer.is_none() {
        driver.cancel_poll(poll);
    }
    answer.map(ReplyFrame::Catalog)
}

/// Result of one round of waiting for a reply.
enum Waited {
    Replied(PeerReply),
    Interrupted,
    Outstanding,
}

async fn wait(driver: &Driver, stream: &mut FramedStream, reply: &Receiver<PeerReply>) -> Waited {
    let replied = async {
        match reply.recv().await {
            Ok(reply) => Waited::Replied(reply),
            Err(_) => Waited::Interrupted,
        }
    };
    let interrupted = async {
        stream.interrupted().await;
        Waited::Interrupted
    };
    replied
        .or(interrupted)
        .or(outstanding(driver, Waited::Outstanding))
        .await
}

/// Writes the frame that ends an exchange. Large replies to requests wait for their turn
/// on the link; configurations do not.
async fn write_reply(driver: &Driver, stream: &mut FramedStream, reply: ReplyFrame) -> Result<()> {
    let is_reply = matches!(reply, ReplyFrame::Reply(_));
    let frame = reply.encode();
    let _held = driver.memory.hold(frame.len());
    let ticket = driver.uplink.ticket(frame.len()).filter(|_| is_reply);
    let Some((ticket, size)) = ticket.zip(driver.uplink.part_size()) else {
        return write_bytes(driver, stream, &frame).await;
    };
    for (i, part) in frame.chunks(size).enumerate() {
        if i == 0 {
            wait_for_turn(driver, stream, &ticket, part.len()).await?;
        } else {
            ticket.acquire(part.len()).await;
        }
        write_bytes(driver, stream, part).await?;
    }
    Ok(())
}

/// Waits until the first part of a reply may be written, and tells the peer meanwhile
/// that the reply is outstanding. Fails if the peer closes the connection.
async fn wait_for_turn(
    driver: &Driver,
    stream: &mut FramedStream,
    ticket: &Ticket<'_>,
    size: usize,
) -> Result<()> {
    let mut acquired = pin!(ticket.acquire(size));
    loop {
        let has_turn = async {
            acquired.as_mut().await;
            Turn::Acquired
        };
        let interrupted = async {
            stream.interrupted().await;
            Turn::Interrupted
        };
        match has_turn
            .or(interrupted)
            .or(outstanding(driver, Turn::Outstanding))
            .await
        {
            Turn::Acquired => return Ok(()),
            Turn::Interrupted => return Err(Protocol::Closed.into()),
            Turn::Outstanding => write(driver, stream, ReplyFrame::Working).await?,
        }
    }
}

/// Result of one round of waiting for the link.
enum Turn {
    Acquired,
    Interrupted,
    Outstanding,
}

/// Returns `value` when the peer has to be told that its reply is outstanding.
async fn outstanding<T>(driver: &Driver, value: T) -> T {
    let deadline = Instant::now() + WORKING_INTERVAL;
    driver.timers.sleep_until(deadline).await;
    value
}

async fn write(driver: &Driver, stream: &FramedStream, reply: ReplyFrame) -> Result<()> {
    write_bytes(driver, stream, &reply.encode()).await
}

async fn write_bytes(driver: &Driver, stream: &FramedStream, bytes: &[u8]) -> Result<()> {
    let written = driver
        .timers
        .timeout(WRITE_TIMEOUT, stream.write(bytes))
        .await;
    Ok(written.ok_or(Protocol::Timeout)??)
}
