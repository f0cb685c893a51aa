//! Exchanges between nodes, and connections to the target.

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

/// A node without a target, whose only upstream is behind a scripted peer.
fn node(serve: impl Fn(FakePeer) + Clone + Send + 'static) -> (Node, Vm, FakeServer) {
    let (own, other) = (Vm::next(), Vm::next());
    let rules = support::rules(&[other]).replace("vm=vm-1", "vm=vm-9");
    support::start_platform(own, rules);
    let peer = FakeServer::start(other.peer(), move |stream| serve(FakePeer { stream }));
    let node = support::start(&support::settings(own, own, ""));
    (node, own, peer)
}

fn stock(vm: Vm) -> support::Response {
    call(vm.callers(), "GET", "/stock", "")
}

#[test]
fn pooled_connection() {
    let (_node, vm, peer) = node(|mut peer| {
        while let Some(request) = peer.receive() {
            peer.answer(&request, "whole");
        }
    });
    for _ in 0..5 {
        let response = stock(vm);
        assert_eq!(response.body, "whole");
        assert_eq!(response.outcome(), Some("answered"));
    }
    assert_eq!(peer.connections(), 1);
}

#[test]
fn closed_while_idle() {
    let (_node, vm, peer) = node(|mut peer| {
        if let Some(request) = peer.receive() {
            peer.answer(&request, "whole");
            peer.stream.shutdown(Shutdown::Both).unwrap();
        }
    });
    for _ in 0..3 {
        assert_eq!(stock(vm).body, "whole");
        // The end of the connection reaches the node before the next request.
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(peer.connections(), 3);
}

#[test]
fn one_at_a_time() {
    let (_node, vm, peer) = node(|mut peer| {
        while let Some(request) = peer.receive() {
            thread::sleep(Duration::from_millis(100));
            peer.answer(&request, "whole");
        }
    });
    let calls: Vec<_> = (0..3).map(|_| thread::spawn(move || stock(vm))).collect();
    for call in calls {
        assert_eq!(call.join().unwrap().body, "whole");
    }
    assert_eq!(peer.connections(), 3);
}

#[test]
fn late_reply() {
    let count = Arc::new(AtomicUsize::new(0));
    let (_node, vm, _peer) = node(move |mut peer| {
        let is_first = count.fetch_add(1, Ordering::SeqCst) == 0;
        while let Some(request) = peer.receive() {
            if is_first {
                thread::sleep(Duration::from_millis(200));
                peer.answer(&request, "late");
            } else {
                peer.answer(&request, "own");
            }
        }
    });
    let mut caller = Caller::connect(vm.callers());
    caller.send("GET /stock HTTP/1.1\r\nhost: a\r\n\r\n");
    thread::sleep(Duration::from_millis(50));
    drop(caller);
    let end = Instant::now() + Duration::from_millis(300);
    while Instant::now() < end {
        assert_eq!(stock(vm).body, "own");
    }
}

#[test]
fn broken_reply() {
    let (_node, vm, _peer) = node(|mut peer| {
        if let Some(request) = peer.receive() {
            let frame = support::answer(&request, "never whole").encode();
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
fn working_peer() {
    let (_node, vm, _peer) = node(|mut peer| {
        while let Some(request) = peer.receive() {
            for _ in 0..3 {
                thread::sleep(Duration::from_millis(500));
                peer.write(ReplyFrame::Working);
            }
            peer.answer(&request, "slow");
        }
    });
    assert_eq!(stock(vm).body, "slow");
}

#[test]
fn nobody_listens() {
    let (own, other) = (Vm::next(), Vm::next());
    let rules = support::rules(&[other]).replace("vm=vm-1", "vm=vm-9");
    support::start_platform(own, rules);
    let _node = support::start(&support::settings(own, own, ""));
    let response = call(own.callers(), "POST", "/orders", "");
    assert_eq!(response.outcome(), Some("not-run"), "{response:?}");
    assert_eq!(response.status(), 503);
}

#[test]
fn cancelled_work() {
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
fn pooled_target() {
    let vm = Vm::next();
    support::start_platform(vm, support::rules(&[vm]));
    let target = FakeServer::target(vm, |_| reply_ok("whole"));
    let _node = support::start(&support::settings(vm, vm, ""));
    for _ in 0..5 {
        assert_eq!(stock(vm).body, "whole");
    }
    assert_eq!(target.connections(), 1);
}

#[test]
fn unwritable_answer() {
    let (_node, vm, _peer) = node(|mut peer| {
        while let Some(request) = peer.receive() {
            let header = Header::new("name", "line\r\nbreak");
            peer.write(support::answer_with(&request, vec![header]));
        }
    });
    let response = call(vm.callers(), "POST", "/orders", "");
    assert_eq!(response.status(), 502);
    assert_eq!(response.outcome(), Some("unknown"));
}

#[test]
fn whole_path() {
    let vms = [Vm::next(), Vm::next()];
    // Only the second VM has an upstream.
    let rules = support::rules(&[vms[1]]).replace("vm=vm-1", "vm=vm-2");
    support::start_platform(vms[0], rules);
    FakeServer::target(vms[1], |_| reply_ok("whole"));
    // A node without seeds learns from the platform alone, and at once.
    let _admitting =
        support::start(&support::settings(vms[1], vms[0], "").replace("vm: vm-1", "vm: vm-2"));
    let (peer, control) = (vms[1].peer(), vms[1].control());
    let seeds = format!("seeds: [{{peer: '{peer}', control: '{control}'}}]\n");
    let _handing = support::start(&support::settings(vms[0], vms[0], &seeds));
    support::wait_for(|| stock(vms[0]).outcome() == Some("answered"));
    assert_eq!(stock(vms[0]).body, "whole");
    let placed = call(vms[0].callers(), "POST", "/orders", "");
    assert_eq!(placed.body, "whole");
}

#[test]
fn asked_phase() {
    let vm = Vm::next();
    support::start_platform(vm, support::rules(&[vm]));
    let asked = Arc::new(AtomicBool::new(false));
    let seen = asked.clone();
    FakeServer::target(vm, move |head| {
        seen.fetch_or(head.starts_with("GET /health "), Ordering::SeqCst);
        reply_ok(r#"{"phase":"cold"}"#)
    });
    let _node = support::start(&support::settings(vm, vm, ""));
    support::wait_for(|| asked.load(Ordering::SeqCst));
}
