//! Tests of the encoding of the messages of an exchange.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::Delivery;
use celeryshore_kernel::Fence;
use celeryshore_kernel::Handover;
use celeryshore_kernel::Inquiry;
use celeryshore_kernel::KnownLoad;
use celeryshore_kernel::LoadReport;
use celeryshore_kernel::MAX_KNOWN_LOADS;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::PeerReply;
use celeryshore_kernel::PeerRequest;
use celeryshore_kernel::Phase;
use celeryshore_kernel::Reply;
use celeryshore_kernel::ReplyOutcome;
use celeryshore_kernel::Seen;
use celeryshore_kernel::Speed;
use celeryshore_kernel::TargetStatement;
use celeryshore_kernel::Unknown;
use celeryshore_kernel::Vote;
use celeryshore_model::Attempt;
use celeryshore_model::ByteSize;
use celeryshore_model::Depth;
use celeryshore_model::Digest;
use celeryshore_model::Epoch;
use celeryshore_model::Header;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_model::Index;
use celeryshore_model::KindId;
use celeryshore_model::KindName;
use celeryshore_model::Priority;
use celeryshore_model::Rate;
use celeryshore_model::RoutePlace;
use celeryshore_model::Version;
use celeryshore_wire::Category;
use celeryshore_wire::FrameLimit;
use celeryshore_wire::ReplyFrame;
use celeryshore_wire::RequestFrame;
use celeryshore_wire::frame_size;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;

const LIMIT: FrameLimit = FrameLimit(ByteSize::new(1_024));

fn version() -> Version {
    Version::new(Epoch(3), Index(40), Digest::of(b"rules"))
}

fn kind() -> KindId {
    KindId {
        service: "ordering".parse().unwrap(),
        kind: "place-order".parse().unwrap(),
    }
}

fn handover(delivery: Delivery) -> Handover {
    Handover {
        from: "vm-1".parse().unwrap(),
        version: version(),
        upstream: "ord-2".parse().unwrap(),
        kind: kind(),
        delivery,
        remaining: Duration::from_micros(1_999_999),
        depth: Depth::new(3),
        fingerprint: Digest::of(b"request"),
        crashed_vms: vec!["vm-7".parse().unwrap()],
        max_wait: Some(Duration::from_micros(75_001)),
        statement: Some(statement()),
        workspace_priority: Some(Priority::new(2)),
        caller_priority: Some(Priority::new(2)),
        earlier_calls: 3,
        request: HttpRequest {
            method: Bytes::from_static(b"POST"),
            host: Bytes::from_static(b"orders.example"),
            path: Bytes::from_static(b"/orders?x=1"),
            headers: vec![Header::new("accept", "*/*")],
            body: Bytes::from_static(b"\0\xff"),
        },
    }
}

fn statement() -> TargetStatement {
    TargetStatement {
        rate_limit: Some(Rate::from_per_mille(13_800)),
        is_leaving: true,
        target: Incarnation(8),
        age: Duration::from_micros(1_001),
    }
}

/// Guards against a kind that loses the place of its route, or the label by which nodes
/// of the former release know it.
#[test]
fn kind_of_route() {
    let label = "main".parse().unwrap();
    let place = RoutePlace::of("orders.example", "/");
    let mut sent = handover(Delivery::Once);
    sent.kind.kind = KindName::of_route(&label, place);
    let frame = RequestFrame::Request(Box::new(PeerRequest::from(Box::new(sent))));
    let RequestFrame::Request(request) = RequestFrame::decode(frame.encode()).unwrap() else {
        panic!("expected a request");
    };
    let PeerRequest::Handover(received) = *request else {
        panic!("expected a handover");
    };
    assert_eq!(received.kind.kind.place(), Some(place));
    assert_eq!(received.kind.kind.label(), "main");
}

fn response() -> HttpResponse {
    HttpResponse {
        status: 201,
        headers: vec![Header::new("etag", "1"), Header::new("etag", "2")],
        body: Bytes::from_static(b"whole"),
    }
}

fn fence() -> Fence {
    Fence {
        attempt: Attempt::new(2),
        sequence: 9,
        judge: "vm-3".parse().unwrap(),
    }
}

fn assert_request_round_trip(request: impl Into<PeerRequest>) {
    let frame = RequestFrame::Request(Box::new(request.into()));
    let bytes = frame.clone().encode();
    assert_eq!(frame_size(&bytes, LIMIT).unwrap(), Some(bytes.len()));
    assert_eq!(RequestFrame::decode(bytes).unwrap(), frame);
}

fn known_load() -> KnownLoad {
    KnownLoad {
        upstream: "10.0.3.17".parse().unwrap(),
        target: Incarnation(17),
        age: Duration::from_millis(340),
        load: LoadReport {
            in_flight: 7,
            limit: 9,
            phase: Phase::Warm,
            service_time: Duration::from_millis(275),
            starts: Rate::from_per_mille(21_500),
            speed: Some(Speed::from_per_mille(1_250)),
            ..LoadReport::default()
        },
    }
}

/// Guards against replies that grow by more than the reports of four other targets may
/// take.
#[test]
fn known_load_size() {
    let frame = |others| {
        let reply = Reply {
            outcome: ReplyOutcome::Unknown(Unknown::PeerLost),
            load: LoadReport::default(),
            others,
            run_time: None,
            longest_run: None,
            statement: None,
            version: version(),
            incarnation: Incarnation(1),
        };
        ReplyFrame::Reply(Box::new(reply).into()).encode()
    };
    let size = frame(vec![known_load(); MAX_KNOWN_LOADS]).len() - frame(Vec::new()).len();
    assert!(size <= 4 * 50, "{size} bytes");
    let decoded = ReplyFrame::decode(frame(vec![known_load(); 9])).unwrap();
    let ReplyFrame::Reply(PeerReply::Reply(reply)) = decoded else {
        panic!("expected a reply");
    };
    assert_eq!(reply.others.len(), MAX_KNOWN_LOADS);
}

fn assert_outcome_round_trip(outcome: ReplyOutcome) {
    let reply = Reply {
        outcome,
        load: LoadReport {
            in_flight: 5,
            limit: 6,
            phase: Phase::Draining,
            wait: Duration::from_micros(1_500),
            service_time: Duration::from_micros(90_001),
            link_wait: Duration::from_millis(70),
            starts: Rate::from_per_mille(21_500),
            speed: Some(Speed::from_per_mille(640)),
        },
        others: vec![known_load()],
        run_time: Some(Duration::from_millis(310)),
        longest_run: Some(Duration::from_millis(990)),
        statement: Some(statement()),
        version: version(),
        incarnation: Incarnation(u64::MAX),
    };
    let frame = ReplyFrame::Reply(Box::new(reply).into());
    assert_eq!(ReplyFrame::decode(frame.clone().encode()).unwrap(), frame);
}

fn assert_vote_round_trip(seen: Seen) {
    let vote = Vote {
        seen,
        version: version(),
        incarnation: Incarnation(1),
    };
    let frame = ReplyFrame::Reply(Box::new(vote).into());
    assert_eq!(ReplyFrame::decode(frame.clone().encode()).unwrap(), frame);
}

#[test]
fn handovers() {
    let key = "order-17".parse().unwrap();
    for delivery in [
        Delivery::Repeatable,
        Delivery::Once,
        Delivery::Keyed { key, attempt: None },
    ] {
        assert_request_round_trip(Box::new(handover(delivery)));
    }
    let key = "order-18".parse().unwrap();
    let attempt = Some(Attempt::new(2));
    assert_request_round_trip(Box::new(handover(Delivery::Keyed { key, attempt })));
}

#[test]
fn inquiries() {
    assert_request_round_trip(Inquiry {
        from: "vm-1".parse().unwrap(),
        version: version(),
        kind: kind(),
        key: "order-17".parse().unwrap(),
        fingerprint: Digest::of(b"request"),
        fence: fence(),
        remaining: Duration::ZERO,
    });
}

#[test]
fn replies() {
    assert_outcome_round_trip(ReplyOutcome::Answered(response()));
    for reason in [
        NotRun::Overloaded,
        NotRun::RateLimited,
        NotRun::ColdStart,
        NotRun::Leaving,
        NotRun::OutOfService,
        NotRun::Behind,
        NotRun::NotHere,
        NotRun::Deadline,
        NotRun::Cancelled,
        NotRun::TargetDown,
        NotRun::Poison,
        NotRun::BadKey,
        NotRun::KeyReused,
        NotRun::JournalFull,
        NotRun::NoUpstream,
        NotRun::NoRoute,
        NotRun::UnknownKey,
        NotRun::Quota,
        NotRun::Learning,
        NotRun::TooLarge,
        NotRun::TooDeep,
        NotRun::Shed,
    ] {
        let retry_after = Duration::from_millis(250);
        assert_outcome_round_trip(ReplyOutcome::NotRun {
            reason,
            retry_after,
        });
    }
    for reason in [
        Unknown::PeerLost,
        Unknown::TargetLost,
        Unknown::Deadline,
        Unknown::WitnessUnreachable,
        Unknown::WitnessRestarted,
        Unknown::Superseded,
        Unknown::KeyExpired,
        Unknown::NotJudged,
        Unknown::AnswerGone,
    ] {
        assert_outcome_round_trip(ReplyOutcome::Unknown(reason));
    }
}

#[test]
fn votes() {
    for seen in [
        Seen::Fenced,
        Seen::Outranked(fence()),
        Seen::Done(Some(response())),
        Seen::Done(None),
        Seen::Lost,
        Seen::OtherRequest,
        Seen::TooYoung,
        Seen::Behind,
    ] {
        assert_vote_round_trip(seen);
    }
}

#[test]
fn other_frames() {
    for frame in [ReplyFrame::Pong, ReplyFrame::Working] {
        assert_eq!(ReplyFrame::decode(frame.clone().encode()).unwrap(), frame);
    }
    let empty = ReplyFrame::decode(Bytes::from_static(b"\0\0\0\0"));
    assert_eq!(empty.unwrap_err().classify(), Category::Content);
    let long = frame_size(b"\0\0\x04\x01", LIMIT);
    assert_eq!(long.unwrap_err().classify(), Category::Length);
}

#[test]
fn truncated_frames() {
    let request = PeerRequest::from(Box::new(handover(Delivery::Once)));
    let complete = RequestFrame::Request(Box::new(request)).encode();
    for end in 0..complete.len() {
        let size = frame_size(&complete[..end], LIMIT).unwrap();
        assert!(size.is_none_or(|size| size > end));
    }
}

proptest! {
    #[test]
    fn any_bytes(bytes in vec(any::<u8>(), 0..256)) {
        let bytes = Bytes::from(bytes);
        let _ = frame_size(&bytes, LIMIT);
        let _ = RequestFrame::decode(bytes.clone());
        let _ = ReplyFrame::decode(bytes);
    }
}
