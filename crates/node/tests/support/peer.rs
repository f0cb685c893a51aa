//! Fake node of another VM with scripted replies.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use bytes::Bytes;
use celeryshore_kernel::LoadReport;
use celeryshore_kernel::PeerReply;
use celeryshore_kernel::PeerRequest;
use celeryshore_kernel::Phase;
use celeryshore_kernel::Reply;
use celeryshore_kernel::ReplyOutcome;
use celeryshore_model::Header;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_wire::ReplyFrame;
use celeryshore_wire::RequestFrame;

const OK: u16 = 200;

/// One connection from the tested node to a fake peer.
pub struct FakePeer {
    pub stream: TcpStream,
}

impl FakePeer {
    /// Reads the next request; answers pings and ignores polls before it.
    pub fn receive(&mut self) -> Option<PeerRequest> {
        loop {
            match self.read()? {
                RequestFrame::Request(request) => return Some(*request),
                RequestFrame::Ping => self.write(ReplyFrame::Pong),
                RequestFrame::Catalog(_) => {}
            }
        }
    }

    /// Replies to a forwarded request with a response that has this body.
    pub fn reply(&mut self, request: &PeerRequest, body: &'static str) {
        self.write(reply_frame(request, body));
    }

    pub fn write(&mut self, frame: ReplyFrame) {
        let _ = self.stream.write_all(&frame.encode());
    }

    fn read(&mut self) -> Option<RequestFrame> {
        let mut prefix = [0; 4];
        self.stream.read_exact(&mut prefix).ok()?;
        let length = u32::from_be_bytes(prefix) as usize;
        let mut frame = prefix.to_vec();
        frame.resize(prefix.len() + length, 0);
        self.stream.read_exact(&mut frame[prefix.len()..]).ok()?;
        RequestFrame::decode(frame.into()).ok()
    }
}

/// Returns the reply to a forwarded request with a response that has this body.
pub fn reply_frame(request: &PeerRequest, body: &'static str) -> ReplyFrame {
    reply(request, Vec::new(), body)
}

/// Returns the reply to a forwarded request with a response that has these header fields
/// and no body.
pub fn reply_frame_with(request: &PeerRequest, headers: Vec<Header>) -> ReplyFrame {
    reply(request, headers, "")
}

fn reply(request: &PeerRequest, headers: Vec<Header>, body: &'static str) -> ReplyFrame {
    let PeerRequest::Handover(handover) = request else {
        panic!("not a forwarded request: {request:?}");
    };
    let reply = Reply {
        outcome: ReplyOutcome::Answered(HttpResponse {
            status: OK,
            headers,
            body: Bytes::from_static(body.as_bytes()),
        }),
        load: LoadReport {
            in_flight: 0,
            limit: 8,
            phase: Phase::Warm,
            ..LoadReport::default()
        },
        others: Vec::new(),
        run_time: None,
        longest_run: None,
        statement: None,
        version: handover.version,
        incarnation: Incarnation(1),
    };
    ReplyFrame::Reply(PeerReply::from(Box::new(reply)))
}
