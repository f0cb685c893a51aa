//! Pages of the operators' port, and a port that cannot be opened.

use std::net::TcpListener;
use std::process::Command;

use celeryshore_node::Node;
use serde_json::Value;

use crate::support;
use crate::support::Caller;
use crate::support::FakeServer;
use crate::support::Response;
use crate::support::Vm;
use crate::support::call;
use crate::support::reply_ok;

fn node() -> (Node, Vm) {
    let vm = Vm::next();
    support::start_platform(vm, support::rules(&[vm]));
    FakeServer::target(vm, |_| reply_ok("whole"));
    let node = support::start(&support::settings(vm, vm, ""));
    (node, vm)
}

fn page(vm: Vm, path: &str) -> Response {
    call(vm.operators(), "GET", path, "")
}

fn json(vm: Vm, path: &str) -> Value {
    let page = page(vm, path);
    assert_eq!(page.status(), 200);
    serde_json::from_str(&page.body).unwrap()
}

#[test]
fn health() {
    let (_node, vm) = node();
    assert_eq!(page(vm, "/alive").status(), 200);
    support::wait_for(|| page(vm, "/ready").status() == 200);
}

#[test]
fn status() {
    let (_node, vm) = node();
    support::wait_for(|| page(vm, "/ready").status() == 200);
    let status = json(vm, "/status");
    assert_eq!(status["vm"], "vm-1");
    assert_eq!(status["zone"], "glasgow");
    assert_eq!(status["index"], 7);
    assert!(status["version"].as_str().unwrap().starts_with("1.7."));
    assert_eq!(status["state"], "serving");
    for key in ["age_ms", "role", "phase", "in_flight", "limit"] {
        assert!(status.get(key).is_some(), "{key}");
    }
}

#[test]
fn dump() {
    let (_node, vm) = node();
    let dump = json(vm, "/dump");
    for name in [
        "connections",
        "configuration",
        "fleet",
        "members",
        "requests",
    ] {
        assert!(dump.get(name).is_some(), "{name}");
        assert!(json(vm, &format!("/dump/{name}")).is_object(), "{name}");
    }
    assert_eq!(page(vm, "/dump/colour").status(), 404);
    assert_eq!(page(vm, "/colour").status(), 404);
}

#[test]
fn metrics() {
    let (_node, vm) = node();
    assert_eq!(call(vm.callers(), "GET", "/stock", "").status(), 200);
    let text = page(vm, "/metrics").body;
    for name in [
        "celeryshore_calls_total{outcome=\"answered\"}",
        "celeryshore_call_seconds_bucket",
        "celeryshore_target_requests_total{kind=\"ordering/stock\",outcome=\"answered\"} 1",
        "celeryshore_target_busy_seconds",
        "celeryshore_version_index",
        "celeryshore_control_sent_bytes_total{kind=\"heartbeat\"}",
        "process_resident_memory_bytes",
    ] {
        assert!(text.contains(name), "{name}");
    }
}

#[test]
fn keep_alive() {
    let (_node, vm) = node();
    let mut caller = Caller::connect(vm.operators());
    for _ in 0..3 {
        caller.send("GET /alive HTTP/1.1\r\nhost: a\r\n\r\n");
        assert_eq!(caller.receive().unwrap().body, "alive\n");
    }
}

#[test]
fn port_in_use() {
    let vm = Vm::next();
    let _listener = TcpListener::bind(vm.peer()).unwrap();
    let path = format!("{}/taken.yaml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, support::settings(vm, vm, "")).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_celeryshore"))
        .args(["--settings", &path])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let err = String::from_utf8(output.stderr).unwrap();
    assert!(err.contains("cannot open peer"), "{err}");
}
