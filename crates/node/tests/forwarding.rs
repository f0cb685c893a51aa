//! Requests that a node forwards to another one, and connections to the target.

use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use celeryshore_model::Header;
use celeryshore_node::Node;
use celeryshore_wire::ReplyFrame;

use crate::support;
use crate::support::Caller;
use crate::support::FakePeer;
use crate::support::FakeServer;
use crate::support::Vm;
use crate::support::call;
use crate::support::reply_ok;

/// Starts a node without a local target. Its only upstream is on the VM of a fake peer,
/// which `serve` scripts.
fn node(serve: impl Fn(FakePeer) + Clone + Send + 'static) -> (Node, Vm, FakeServer) {
    let (vm, peer_vm) = (Vm::next(), Vm::next());
    let rules = support::rules(&[peer_vm]).replace("vm=vm-1", "vm=vm-9");
    support::start_platform(vm, rules);
    let peer = FakeServer::start(peer_vm.peer(), move |stream| serve(FakePeer { stream }));
    let node = support::start(&support::settings(vm, vm, ""));
    (node, vm, peer)
}

fn get_stock(vm: Vm) -> support::Response {
    call(vm.callers(), "GET", "/stock", "")
}

#[test]
fn pooled_connection() {
    let (_node, vm, peer) = node(|mut peer| {
        while let Some(request) = peer.receive() {
            peer.reply(&request, "whole");
        }
    });
    for _ in 0..5 {
        let response = get_stock(vm);
        assert_eq!(response.body, "whole");
        assert_eq!(response.outcome(), Some("answered"));
    }
    assert_eq!(peer.connections(), 1);
}

#[test]
fn closed_while_idle() {
    let (_node, vm, peer) = node(|mut peer| {
        if let Some(request) = peer.receive() {
            peer.reply(&request, "whole");
            peer.stream.shutdown(Shutdown::Both).unwrap();
        }
    });
    for _ in 0..3 {
        assert_eq!(get_stock(vm).body, "whole");
        // Lets the end of the connection reach the node before the next request.
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(peer.connections(), 3);
}

#[test]
fn one_request_per_connection() {
    let (_node, vm, peer) = node(|mut peer| {
        while let Some(request) = peer.receive() {
            thread::sleep(Duration::from_millis(100));
            peer.reply(&request, "whole");
        }
    });
    let calls: Vec<_> = (0..3)
        .map(|_| thread::spawn(move || get_stock(vm)))
        .collect();
    for call in calls {
        assert_eq!(call.join().unwrap().body, "whole");
    }
    assert_eq!(peer.connections(), 3);
}

/// A reply to a cancelled request must not be taken for the reply to the next one.
#[test]
fn late_reply() {
    let count = Arc::new(AtomicUsize::new(0));
    let (_node, vm, _peer) = node(move |mut peer| {
        let is_first = count.fetch_add(1, Ordering::SeqCst) == 0;
        while let Some(request) = peer.receive() {
            if is_first {
                thread::sleep(Duration::from_millis(200));
                peer.reply(&request, "late");
            } else {
                peer.reply(&request, "own");
            }
        }
    });
    let mut caller = Caller::connect(vm.callers());
    caller.send("GET /stock HTTP/1.1\r\nhost: a\r\n\r\n");
    thread::sleep(Duration::from_millis(50));
    drop(caller);
    let end = Instant::now() + Duration::from_millis(300);
    while Instant::now() < end {
        assert_eq!(get_stock(vm).body, "own");
    }
}

#[test]
fn truncated_reply() {
    let (_node, vm, _peer) = node(|mut peer| {
        if let Some(request) = peer.receive() {
            let frame = support::reply_frame(&request, "never whole").encode();
            let _ = peer.stream.write_all(&frame[..frame.len() - 3]);
        }
    });
    let response = call(vm.callers(), "POST", "/orders", "");
    assert_eq!(response.status(), 502);
    assert_eq!(response.outcome(), Some("unknown"));
    assert_eq!(response.reason(), Some("peer-lost"));
}

#[test]
fn silent_peer() {
    let (_node, vm, _peer) = node(|mut peer| {
        peer.receive();
        thread::sleep(support::TEST_TIMEOUT);
    });
    let response = call(vm.callers(), "POST", "/orders", "");
    assert_eq!(response.outcome(), Some("unknown"));
}

#[test]
fn working_frames() {
    let (_node, vm, _peer) = node(|mut peer| {
        while let Some(request) = peer.receive() {
            for _ in 0..3 {
                thread::sleep(Duration::from_millis(500));
                peer.write(ReplyFrame::Working);
            }
            peer.reply(&request, "slow");
        }
    });
    assert_eq!(get_stock(vm).body, "slow");
}

/// A reply that takes a slow link longer than a silent peer is waited for.
#[test]
fn slow_reply() {
    let (_node, vm, _peer) = node(|mut peer| {
        while let Some(request) = peer.receive() {
            let frame = support::reply_frame(&request, "whole").encode();
            for part in frame.chunks(frame.len().div_ceil(4)) {
                thread::sleep(Duration::from_millis(400));
                let _ = peer.stream.write_all(part);
            }
        }
    });
    assert_eq!(get_stock(vm).body, "whole");
}

#[test]
fn connection_refused() {
    let (vm, peer_vm) = (Vm::next(), Vm::next());
    let rules = support::rules(&[peer_vm]).replace("vm=vm-1", "vm=vm-9");
    support::start_platform(vm, rules);
    let _node = support::start(&support::settings(vm, vm, ""));
    let response = call(vm.callers(), "POST", "/orders", "");
    assert_eq!(response.outcome(), Some("not-run"), "{response:?}");
    assert_eq!(response.status(), 503);
}

#[test]
fn cancelled_request() {
    let vm = Vm::next();
    support::start_platform(vm, support::rules(&[vm]));
    let closed = Arc::new(AtomicUsize::new(0));
    let counter = closed.clone();
    FakeServer::start(vm.target(), move |mut stream: TcpStream| {
        support::read_message(&mut stream);
        if support::read_message(&mut stream).is_none() {
            counter.fetch_add(1, Ordering::SeqCst);
        }
    });
    let _node = support::start(&support::settings(vm, vm, ""));
    let mut caller = Caller::connect(vm.callers());
    caller.send("GET /stock HTTP/1.1\r\nhost: a\r\n\r\n");
    thread::sleep(Duration::from_millis(50));
    drop(caller);
    support::wait_for(|| closed.load(Ordering::SeqCst) == 1);
}

#[test]
fn pooled_target_connection() {
    let vm = Vm::next();
    support::start_platform(vm, support::rules(&[vm]));
    let target = FakeServer::target(vm, |_| reply_ok("whole"));
    let _node = support::start(&support::settings(vm, vm, ""));
    for _ in 0..5 {
        assert_eq!(get_stock(vm).body, "whole");
    }
    assert_eq!(target.connections(), 1);
}

#[test]
fn invalid_response_header() {
    let (_node, vm, _peer) = node(|mut peer| {
        while let Some(request) = peer.receive() {
            let header = Header::new("name", "line\r\nbreak");
            peer.write(support::reply_frame_with(&request, vec![header]));
        }
    });
    let response = call(vm.callers(), "POST", "/orders", "");
    assert_eq!(response.status(), 502);
    assert_eq!(response.outcome(), Some("unknown"));
}

#[test]
fn two_nodes() {
    let vms = [Vm::next(), Vm::next()];
    // Only the second VM has an upstream.
    let rules = support::rules(&[vms[1]]).replace("vm=vm-1", "vm=vm-2");
    support::start_platform(vms[0], rules);
    FakeServer::target(vms[1], |_| reply_ok("whole"));
    // A node without seeds reads the rules from the platform only, and at once.
    let _admitting =
        support::start(&support::settings(vms[1], vms[0], "").replace("vm: vm-1", "vm: vm-2"));
    let (peer, control) = (vms[1].peer(), vms[1].control());
    let seeds = format!("seeds: [{{peer: '{peer}', control: '{control}'}}]\n");
    let _forwarding = support::start(&support::settings(vms[0], vms[0], &seeds));
    support::wait_for(|| get_stock(vms[0]).outcome() == Some("answered"));
    assert_eq!(get_stock(vms[0]).body, "whole");
    let placed = call(vms[0].callers(), "POST", "/orders", "");
    assert_eq!(placed.body, "whole");
}

#[test]
fn phase_polling() {
    let vm = Vm::next();
    support::start_platform(vm, support::rules(&[vm]));
    let polled = Arc::new(AtomicBool::new(false));
    let seen = polled.clone();
    FakeServer::target(vm, move |head| {
        seen.fetch_or(head.starts_with("GET /health "), Ordering::SeqCst);
        reply_ok(r#"{"phase":"cold"}"#)
    });
    let _node = support::start(&support::settings(vm, vm, ""));
    support::wait_for(|| polled.load(Ordering::SeqCst));
}
