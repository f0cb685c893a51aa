//! Invalid or excessive input on the callers' and the peer port, and from the target.

use std::net::SocketAddr;

use celeryshore_node::Node;

use crate::support;
use crate::support::Caller;
use crate::support::FakeServer;
use crate::support::Vm;
use crate::support::call;
use crate::support::reply_ok;

/// Starts a node whose only upstream is its local target.
fn node(extra: &str, answer: fn(&str) -> Vec<u8>) -> (Node, Vm) {
    let vm = Vm::next();
    support::start_platform(vm, support::rules(&[vm]));
    FakeServer::target(vm, answer);
    let node = support::start(&support::settings(vm, vm, extra));
    (node, vm)
}

fn hello(_: &str) -> Vec<u8> {
    reply_ok("hello")
}

/// Sends bytes that the node must refuse, and returns the status of the response.
fn refusal_status(node: SocketAddr, bytes: impl AsRef<[u8]>) -> u16 {
    let mut caller = Caller::connect(node);
    caller.send(bytes);
    let response = caller.receive().expect("a response");
    assert_eq!(response.outcome(), Some("not-run"));
    assert!(caller.is_closed());
    response.status()
}

fn assert_serves(node: SocketAddr) {
    let response = call(node, "GET", "/stock", "");
    assert_eq!(response.status(), 200);
    assert_eq!(response.body, "hello");
}

#[test]
fn malformed_requests() {
    let (_node, vm) = node("", hello);
    for bytes in [
        "nonsense\r\n\r\n",
        "GET /stock HTTP/1.1\r\n\r\n",
        "GET /stock HTTP/1.0\r\nhost: a\r\n\r\n",
        "GET /stock HTTP/1.1\r\nhost: a\r\nname: caf\u{e9}\r\n\r\n",
        "GET /stock HTTP/1.1\r\nhost: a\r\nno colon\r\n\r\n",
        "GET /a/../stock HTTP/1.1\r\nhost: a\r\n\r\n",
        "POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
        "POST /stock HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n",
        "POST /stock HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ] {
        assert_eq!(refusal_status(vm.callers(), bytes), 400, "{bytes}");
    }
    assert_serves(vm.callers());
}

#[test]
fn long_header() {
    let (_node, vm) = node("", hello);
    let long = format!("GET /stock HTTP/1.1\r\nname: {}", "x".repeat(9_000));
    assert_eq!(refusal_status(vm.callers(), long), 431);
    assert_serves(vm.callers());
}

#[test]
fn long_body() {
    let (_node, vm) = node("limits: {body: 1KiB}\n", hello);
    let with_length = "POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n";
    assert_eq!(refusal_status(vm.callers(), with_length), 413);
    let chunk = "x".repeat(0x800);
    let chunked = format!(
        "POST /stock HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n800\r\n{chunk}\r\n"
    );
    assert_eq!(refusal_status(vm.callers(), chunked), 413);
    assert_serves(vm.callers());
}

#[test]
fn truncated_body() {
    let (_node, vm) = node("", hello);
    let mut caller = Caller::connect(vm.callers());
    caller.send("POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf");
    caller.stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert!(caller.receive().is_none());
    assert_serves(vm.callers());
}

#[test]
fn chunked_body() {
    let (_node, vm) = node("", hello);
    let mut caller = Caller::connect(vm.callers());
    caller.send("POST /stock HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    caller.send("3\r\nabc\r\n0\r\n\r\n");
    assert_eq!(caller.receive().unwrap().status(), 200);
}

#[test]
fn expect_continue() {
    let (_node, vm) = node("", hello);
    let mut caller = Caller::connect(vm.callers());
    caller.send(
        "POST /stock HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n",
    );
    assert_eq!(caller.receive().unwrap().status(), 100);
    caller.send("abc");
    assert_eq!(caller.receive().unwrap().status(), 200);
}

#[test]
fn pipelined_requests() {
    let (_node, vm) = node("", hello);
    let mut caller = Caller::connect(vm.callers());
    let request = "GET /stock HTTP/1.1\r\nhost: a\r\n\r\n";
    caller.send(format!("{request}{request}"));
    assert_eq!(caller.receive().unwrap().body, "hello");
    assert_eq!(caller.receive().unwrap().body, "hello");
}

#[test]
fn idle_connection() {
    let (_node, vm) = node("limits: {idle: 100ms}\n", hello);
    assert!(Caller::connect(vm.callers()).is_closed());
    assert_eq!(refusal_status(vm.callers(), "GET /stock"), 408);
}

#[test]
fn connection_limit() {
    let (_node, vm) = node("limits: {connections: 2}\n", hello);
    let statuses = || {
        let mut callers: Vec<_> = (0..3).map(|_| Caller::connect(vm.callers())).collect();
        let status = |caller: &mut Caller| {
            caller.send("GET /none HTTP/1.1\r\nhost: a\r\n\r\n");
            caller.receive().expect("a response").status()
        };
        callers.iter_mut().map(status).collect::<Vec<_>>()
    };
    // The connections of earlier attempts may still be open.
    support::wait_for(|| statuses() == [404, 404, 503]);
    assert_serves(vm.callers());
}

/// If the node closed its connection while the caller still sends the body, a reset
/// could discard the refusal before the caller reads it.
#[test]
fn refusal_without_reset() {
    let (_node, vm) = node("limits: {body: 1KiB}\n", hello);
    let body = "x".repeat(1_024 * 1_024);
    let response = call(vm.callers(), "POST", "/stock", &body);
    assert_eq!(response.status(), 413);
}

#[test]
fn invalid_frames() {
    let (_node, vm) = node("", hello);
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"\0\0\0\x04\xff\xff\xff\xff",
        b"\0\0\0\0",
    ] {
        let mut peer = Caller::connect(vm.peer());
        peer.send(bytes);
        assert!(peer.is_closed(), "{bytes:?}");
    }
    assert_serves(vm.callers());
}

#[test]
fn malformed_responses() {
    let (_node, vm) = node("", |head| {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let response = match path {
            "/orders/short" => "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
            "/orders/open" => "HTTP/1.1 200 OK\r\n\r\nopen",
            "/orders/field" => "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nname: caf\u{e9}\r\n\r\n",
            "/orders/chunk" => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf",
            "/orders/garbage" => "nonsense\r\n\r\n",
            _ => "",
        };
        response.into()
    });
    for path in ["short", "open", "field", "chunk", "garbage", "none"] {
        let response = call(vm.callers(), "POST", &format!("/orders/{path}"), "");
        assert_eq!(response.outcome(), Some("unknown"), "{path}: {response:?}");
        // The fake target keeps its connection open, so an incomplete body, or one
        // without a length, can also end in a timeout.
        let is_incomplete = ["short", "chunk", "open"].contains(&path);
        let expected = if is_incomplete {
            &[502, 504][..]
        } else {
            &[502]
        };
        assert!(
            expected.contains(&response.status()),
            "{path}: {response:?}"
        );
    }
}
