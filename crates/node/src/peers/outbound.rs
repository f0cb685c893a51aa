//! Exchanges that this node opens with others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use celeryshore_kernel::CatalogAnswer;
use celeryshore_kernel::CatalogRequest;
use celeryshore_kernel::PeerReply;
use celeryshore_kernel::PeerRequest;
use celeryshore_kernel::Progress;
use celeryshore_wire::ReplyFrame;
use celeryshore_wire::RequestFrame;
use serde_json::Value;

use crate::memory::BodyMemory;
use crate::net;
use crate::peers::framed_stream::FramedStream;
use crate::peers::framed_stream::Part;
use crate::peers::pool::PeerPool;
use crate::timers::Timers;

/// Time after which a peer that sends nothing counts as unresponsive. While a reply
/// is outstanding, peers send a frame more often than this.
pub(super) const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for a poll.
const MAX_TRANSFER: Duration = Duration::from_secs(5);
/// Shortest mean time between two frames that only say that the reply is outstanding; a
/// quarter of the interval at which nodes send them.
const MIN_WORKING_INTERVAL: Duration = Duration::from_millis(60);
/// Number of such frames that may arrive earlier, after a delay on the way.
const MAX_EARLY_WORKING: u128 = 16;

/// Result of an exchange: the reply, or how much of the request was sent.
type Result<T> = std::result::Result<T, Progress>;

/// Client of the nodes of other VMs.
pub(crate) struct Peers {
    pub(super) pool: PeerPool,
    timers: Arc<Timers>,
    pub(super) memory: Arc<BodyMemory>,
}

impl Peers {
    pub(crate) fn new(timers: Arc<Timers>, memory: Arc<BodyMemory>) -> Self {
        Self {
            pool: PeerPool::default(),
            timers,
            memory,
        }
    }

    /// Sends a request to a peer and waits for its reply.
    pub(crate) async fn exchange(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
        deadline: Instant,
    ) -> Result<PeerReply> {
        let frame = RequestFrame::Request(Box::new(request)).encode();
        match self.round_trip(peer, frame, deadline).await? {
            ReplyFrame::Reply(reply) => Ok(reply),
            _ => Err(Progress::MaybeSent),
        }
    }

    /// Polls a peer for the contents of the platform's store. The answer has to begin
    /// before the deadline; a slow link may take longer for the rest of a large one.
    pub(crate) async fn poll_catalog(
        &self,
        peer: SocketAddr,
        request: CatalogRequest,
        deadline: Instant,
    ) -> Option<Box<CatalogAnswer>> {
        let frame = RequestFrame::Catalog(request).encode();
        let answered = self.poll(peer, frame, deadline);
        let answer = self.timers.timeout(MAX_TRANSFER, answered).await.flatten();
        if answer.is_none() {
            self.pool.clear(peer);
        }
        match answer? {
            ReplyFrame::Catalog(answer) => Some(answer),
            _ => None,
        }
    }

    async fn poll(&self, peer: SocketAddr, frame: Bytes, begin_by: Instant) -> Option<ReplyFrame> {
        let begun = async {
            let (mut stream, written) = self.start_send(peer, &frame).await.ok()?;
            stream.write(&frame[written..]).await.ok()?;
            let part = stream.read_part().await.ok()?;
            Some((stream, part))
        };
        let (mut stream, part) = self.timers.timeout_at(begin_by, begun).await??;
        let reply = match part {
            Part::Frame(frame) => ReplyFrame::decode(frame).ok()?,
            Part::Bytes => read_reply(&self.timers, &mut stream).await.ok()?,
            Part::End => return None,
        };
        self.keep(peer, stream);
        Some(reply)
    }

    /// Sends a frame and waits for the frame that ends the exchange.
    async fn round_trip(
        &self,
        peer: SocketAddr,
        frame: Bytes,
        deadline: Instant,
    ) -> Result<ReplyFrame> {
        let sent = self
            .timers
            .timeout_at(deadline, self.start_send(peer, &frame))
            .await;
        let (mut stream, written) = sent.ok_or(Progress::NeverSent)??;
        let rest = finish_exchange(&self.timers, &mut stream, &frame[written..]);
        let reply = self.timers.timeout_at(deadline, rest).await;
        match reply {
            Some(Ok(reply)) => {
                self.keep(peer, stream);
                Ok(reply)
            }
            Some(Err(Failure::Broken)) => Err(Progress::MaybeSent),
            Some(Err(Failure::Silent)) | None => {
                self.pool.clear(peer);
                Err(Progress::MaybeSent)
            }
        }
    }

    /// Writes the first bytes of a frame on a pooled connection that accepts them, or
    /// on a new one. Returns the connection and the number of bytes written.
    async fn start_send(&self, peer: SocketAddr, frame: &Bytes) -> Result<(FramedStream, usize)> {
        while let Some(stream) = self.pool.take(peer) {
            let stream = FramedStream::new(stream, &self.memory);
            if let Ok(written) = stream.write_some(frame).await {
                return Ok((stream, written));
            }
        }
        let stream = net::connect(peer).await.map_err(|_| Progress::NeverSent)?;
        let stream = FramedStream::new(stream, &self.memory);
        let written = stream.write_some(frame).await;
        let written = written.map_err(|_| Progress::NeverSent)?;
        Ok((stream, written))
    }

    fn keep(&self, peer: SocketAddr, stream: FramedStream) {
        if let Some(stream) = stream.into_idle() {
            self.pool.keep(peer, stream);
        }
    }

    /// Returns the number of idle connections by peer, for the state dump.
    pub(crate) fn dump(&self) -> Value {
        self.pool.dump()
    }
}

enum Failure {
    /// The connection ended or carried an invalid frame.
    Broken,
    /// The peer sent nothing, or accepted no bytes, in time.
    Silent,
}

/// Writes the rest of a request and waits for its reply.
async fn finish_exchange(
    timers: &Timers,
    stream: &mut FramedStream,
    rest: &[u8],
) -> std::result::Result<ReplyFrame, Failure> {
    let written = timers.timeout(PROGRESS_TIMEOUT, stream.write(rest)).await;
    written
        .ok_or(Failure::Silent)?
        .map_err(|_| Failure::Broken)?;
    let start = Instant::now();
    let mut working = 0;
    loop {
        match read_reply(timers, stream).await? {
            ReplyFrame::Working => working += 1,
            reply => return Ok(reply),
        }
        let expected = start.elapsed().as_millis() / MIN_WORKING_INTERVAL.as_millis();
        if working > MAX_EARLY_WORKING + expected {
            return Err(Failure::Broken);
        }
    }
}

/// Reads a reply as long as bytes of it arrive; a large one takes a slow link seconds.
async fn read_reply(
    timers: &Timers,
    stream: &mut FramedStream,
) -> std::result::Result<ReplyFrame, Failure> {
    loop {
        let read = timers.timeout(PROGRESS_TIMEOUT, stream.read_part()).await;
        let part = read.ok_or(Failure::Silent)?.map_err(|_| Failure::Broken)?;
        match part {
            Part::Frame(frame) => {
                return ReplyFrame::decode(frame).map_err(|_| Failure::Broken);
            }
            Part::Bytes => {}
            Part::End => return Err(Failure::Broken),
        }
    }
}
