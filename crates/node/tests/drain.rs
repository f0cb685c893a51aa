//! Stopping a node: it serves for a while, refuses new requests and finishes the others.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use celeryshore_kernel::Delivery;
use celeryshore_kernel::Handover;
use celeryshore_kernel::PeerReply;
use celeryshore_kernel::PeerRequest;
use celeryshore_kernel::ReplyOutcome;
use celeryshore_model::Depth;
use celeryshore_model::Digest;
use celeryshore_model::HttpRequest;
use celeryshore_model::KindId;
use celeryshore_model::Version;
use celeryshore_wire::ReplyFrame;
use celeryshore_wire::RequestFrame;

use crate::support;
use crate::support::Caller;
use crate::support::FakeServer;
use crate::support::Vm;
use crate::support::call;
use crate::support::reply_ok;

/// Response time of the target.
const RESPONSE_TIME: Duration = Duration::from_millis(300);
const GET: &str = "GET /stock HTTP/1.1\r\nhost: a\r\n\r\n";

/// Column of the local address in `/proc/net/tcp`, as hexadecimal text.
const LOCAL_ADDRESS: usize = 1;
/// Column of the connection state.
const STATE: usize = 3;
/// State of a listening socket.
const LISTENING: &str = "0A";
/// Column of the socket's inode.
const INODE: usize = 9;

/// Returns `true` if this process has no listening socket at an IPv4 port.
///
/// Connecting doesn't show it: children that other tests start hold copies of this
/// process's sockets until they execute their programs.
fn is_closed(port: SocketAddr) -> bool {
    let IpAddr::V4(ip) = port.ip() else {
        panic!("expected an IPv4 address, found {port}");
    };
    let address = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(ip.octets()),
        port.port()
    );
    let sockets = fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = sockets
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    let listening = rows.filter(|row| row[LOCAL_ADDRESS] == address && row[STATE] == LISTENING);
    let names: Vec<_> = listening
        .map(|row| format!("socket:[{}]", row[INODE]))
        .collect();
    let files = fs::read_dir("/proc/self/fd").unwrap().flatten();
    let mut open = files.filter_map(|file| fs::read_link(file.path()).ok());
    !open.any(|file| names.iter().any(|name| file == Path::new(name)))
}

fn vm_with_slow_target() -> Vm {
    let vm = Vm::next();
    support::start_platform(vm, support::rules(&[vm]));
    FakeServer::target(vm, |_| {
        thread::sleep(RESPONSE_TIME);
        reply_ok("whole")
    });
    vm
}

#[test]
fn request_under_way() {
    let vm = vm_with_slow_target();
    let node = support::start(&support::settings(vm, vm, ""));
    let mut caller = Caller::connect(vm.callers());
    caller.send(GET);
    thread::sleep(RESPONSE_TIME / 3);
    assert!(!is_closed(vm.callers()));
    assert!(!is_closed(vm.peer()));
    let drained = support::drain(node);
    let response = caller.receive().expect("a response");
    assert_eq!(response.body, "whole");
    assert_eq!(response.header("connection"), Some("close"));
    assert!(caller.is_closed());
    drained.join().unwrap();
    assert!(is_closed(vm.callers()));
    assert!(is_closed(vm.peer()));
}

#[test]
fn idle_connections() {
    let vm = vm_with_slow_target();
    let node = support::start(&support::settings(vm, vm, ""));
    let mut idle = Caller::connect(vm.callers());
    idle.send("GET /none HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(idle.receive().unwrap().status(), 404);
    let drained = support::drain(node);
    assert!(idle.is_closed());
    drained.join().unwrap();
}

/// Guards against refusals while callers don't know yet that the node stops.
#[test]
fn request_while_stopping() {
    let vm = vm_with_slow_target();
    let node = support::start(&support::settings(vm, vm, ""));
    let mut kept = Caller::connect(vm.callers());
    kept.send("GET /none HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(kept.receive().unwrap().status(), 404);
    let drained = support::drain(node);
    thread::sleep(RESPONSE_TIME / 3);
    let mut new = Caller::connect(vm.callers());
    for caller in [&mut kept, &mut new] {
        caller.send(GET);
    }
    for caller in [&mut kept, &mut new] {
        let response = caller.receive().expect("a response");
        assert_eq!(response.body, "whole");
        assert_eq!(response.header("connection"), Some("close"));
    }
    drained.join().unwrap();
}

/// Guards against work that starts when the time for serving is over.
#[test]
fn request_after_drain() {
    let vm = vm_with_slow_target();
    let limits = "limits:\n  leaving: 50ms\n";
    let node = support::start(&support::settings(vm, vm, limits));
    let mut busy = Caller::connect(vm.callers());
    let mut idle = Caller::connect(vm.callers());
    idle.send("GET /none HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(idle.receive().unwrap().status(), 404);
    busy.send(GET);
    thread::sleep(RESPONSE_TIME / 3);
    let drained = support::drain(node);
    thread::sleep(RESPONSE_TIME / 3);
    idle.send(GET);
    let refused = idle.receive().expect("a response");
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.outcome(), Some("not-run"));
    assert_eq!(refused.header("connection"), Some("close"));
    assert_eq!(busy.receive().unwrap().body, "whole");
    drained.join().unwrap();
}

#[test]
fn terminated_process() {
    let vm = vm_with_slow_target();
    let path = format!("{}/drain.yaml", env!("CARGO_TARGET_TMPDIR"));
    fs::write(&path, support::settings(vm, vm, "")).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_celeryshore"))
        .args(["--settings", &path])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let stdout = BufReader::new(process.stdout.take().unwrap());
    support::wait_for(|| TcpStream::connect(vm.callers()).is_ok());
    support::wait_for(|| call(vm.callers(), "GET", "/none", "").reason() == Some("no-route"));
    let mut caller = Caller::connect(vm.callers());
    caller.send(GET);
    thread::sleep(RESPONSE_TIME / 3);
    let kill = Command::new("kill").arg(process.id().to_string()).status();
    assert!(kill.unwrap().success());
    assert_eq!(caller.receive().expect("a response").body, "whole");
    assert_eq!(process.wait().unwrap().code(), Some(0));
    let log: Vec<_> = stdout.lines().map_while(Result::ok).collect();
    assert!(log.last().unwrap().ends_with("node: drained"), "{log:?}");
}

/// Returns a forwarded request for the target of `vm-1`.
fn handover() -> PeerRequest {
    let handover = Handover {
        from: "vm-2".parse().unwrap(),
        version: Version::default(),
        upstream: "ord-1".parse().unwrap(),
        kind: KindId {
            service: "ordering".parse().unwrap(),
            kind: "stock".parse().unwrap(),
        },
        delivery: Delivery::Repeatable,
        remaining: Duration::from_secs(2),
        depth: Depth::default(),
        fingerprint: Digest::of(b"request"),
        crashed_vms: Vec::new(),
        max_wait: None,
        statement: None,
        workspace_priority: None,
        caller_priority: None,
        earlier_calls: 0,
        request: HttpRequest {
            method: "GET".into(),
            host: "a".into(),
            path: "/stock".into(),
            ..HttpRequest::default()
        },
    };
    Box::new(handover).into()
}

/// The reply to another node has to be written completely before the process ends.
#[test]
fn large_reply() {
    const BODY_BYTES: usize = 32 * 1_024 * 1_024;
    let vm = Vm::next();
    let rules = support::rules(&[vm]).replace("body=64KiB", "body=40MiB");
    support::start_platform(vm, rules);
    FakeServer::target(vm, |_| {
        thread::sleep(RESPONSE_TIME);
        reply_ok(&"x".repeat(BODY_BYTES))
    });
    let path = format!("{}/large-reply.yaml", env!("CARGO_TARGET_TMPDIR"));
    let limits = "limits:\n  leaving: 100ms\n";
    fs::write(&path, support::settings(vm, vm, limits)).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_celeryshore"))
        .args(["--settings", &path])
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    support::wait_for(|| TcpStream::connect(vm.callers()).is_ok());
    support::wait_for(|| call(vm.callers(), "GET", "/none", "").reason() == Some("no-route"));
    let mut peer = TcpStream::connect(vm.peer()).unwrap();
    let frame = RequestFrame::Request(Box::new(handover()));
    peer.write_all(&frame.encode()).unwrap();
    thread::sleep(RESPONSE_TIME / 3);
    let kill = Command::new("kill").arg(process.id().to_string()).status();
    assert!(kill.unwrap().success());
    thread::sleep(2 * RESPONSE_TIME);
    let reply = read_reply(&mut peer).expect("a complete reply");
    let ReplyFrame::Reply(PeerReply::Reply(reply)) = reply else {
        panic!("not a reply to a forwarded request");
    };
    let ReplyOutcome::Answered(response) = reply.outcome else {
        panic!("not answered: {:?}", reply.outcome);
    };
    assert_eq!(response.body.len(), BODY_BYTES);
    assert_eq!(process.wait().unwrap().code(), Some(0));
}

/// Reads the frames of a node until one that isn't a progress message.
fn read_reply(stream: &mut TcpStream) -> Option<ReplyFrame> {
    loop {
        let mut prefix = [0; 4];
        stream.read_exact(&mut prefix).ok()?;
        let length = u32::from_be_bytes(prefix) as usize;
        let mut frame = prefix.to_vec();
        frame.resize(prefix.len() + length, 0);
        stream.read_exact(&mut frame[prefix.len()..]).ok()?;
        match ReplyFrame::decode(frame.into()).ok()? {
            ReplyFrame::Working => {}
            reply => return Some(reply),
        }
    }
}

/// Guards against a request that is passed on while the response before it, which closes
/// the connection, waits for the link. It ran at the target and was never answered.
#[test]
fn request_behind_last() {
    /// Takes the link 0.4 s.
    const LARGE: usize = 45_000;
    let vm = Vm::next();
    support::start_platform(vm, support::rules(&[vm]));
    let seen = Arc::new(Mutex::new(Vec::new()));
    let heads = seen.clone();
    FakeServer::target(vm, move |head| {
        heads.lock().unwrap().push(head.to_owned());
        let is_large = head.contains("/large");
        thread::sleep(RESPONSE_TIME / 3);
        reply_ok(&"x".repeat(if is_large { LARGE } else { 1 }))
    });
    let node = support::start(&support::settings(vm, vm, "link: 1Mbit/s\n"));
    let mut caller = Caller::connect(vm.callers());
    caller.send("GET /stock/large HTTP/1.1\r\nhost: a\r\n\r\n");
    thread::sleep(RESPONSE_TIME / 6);
    let drained = support::drain(node);
    thread::sleep(RESPONSE_TIME / 2);
    caller.send("GET /stock/further HTTP/1.1\r\nhost: a\r\n\r\n");
    let response = caller.receive().expect("a response");
    assert_eq!(response.body.len(), LARGE);
    assert_eq!(response.header("connection"), Some("close"));
    assert!(caller.is_closed());
    drained.join().unwrap();
    let heads = seen.lock().unwrap();
    assert!(!heads.iter().any(|head| head.contains("/further")));
}

/// Guards against requests that are cut behind an earlier one when the node stops: all that
/// are sent while it may still be answered in time are answered, and the last one closes.
#[test]
fn pipeline_while_stopping() {
    let vm = vm_with_slow_target();
    let node = support::start(&support::settings(vm, vm, ""));
    let mut caller = Caller::connect(vm.callers());
    caller.send([GET; 3].concat());
    thread::sleep(RESPONSE_TIME / 3);
    let drained = support::drain(node);
    thread::sleep(RESPONSE_TIME / 3);
    caller.send(GET);
    for n in 1..=4 {
        let response = caller.receive().expect("a response");
        assert_eq!(response.body, "whole");
        let closes = response.header("connection") == Some("close");
        assert_eq!(closes, n == 4);
    }
    assert!(caller.is_closed());
    drained.join().unwrap();
}

/// Guards against requests that are cut when the platform kills a process that it has told
/// to stop: a late one is refused at once, and one that is still open is answered before.
#[test]
fn end_of_grace() {
    const GRACE: Duration = Duration::from_secs(1);
    let vm = Vm::next();
    support::start_platform(vm, support::rules(&[vm]));
    FakeServer::target(vm, |_| {
        thread::sleep(GRACE * 2);
        reply_ok("whole")
    });
    let limits = "limits:\n  grace: 1s\n";
    let node = support::start(&support::settings(vm, vm, limits));
    let mut open = Caller::connect(vm.callers());
    let mut late = Caller::connect(vm.callers());
    open.send(GET);
    thread::sleep(GRACE / 10);
    let stopped = Instant::now();
    let drained = support::drain(node);
    thread::sleep(GRACE / 10);
    late.send(GET);
    let refused = late.receive().expect("a response");
    assert_eq!(refused.outcome(), Some("not-run"));
    assert_eq!(refused.reason(), Some("leaving"));
    assert!(stopped.elapsed() < GRACE / 2);
    let unknown = open.receive().expect("a response");
    assert_eq!(unknown.outcome(), Some("unknown"));
    assert!(stopped.elapsed() < GRACE);
    drained.join().unwrap();
}
