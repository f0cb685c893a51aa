//! Keyed requests that are forwarded, resent or retried through several nodes.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::MemberState;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::Unknown;
use celeryshore_model::Header;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Slots;
use celeryshore_model::Snapshot;

use crate::common::Mesh;
use crate::common::deployment::DEADLINE_MS;
use crate::common::deployment::key_order;
use crate::common::deployment::keyed;
use crate::common::deployment::ordering;
use crate::common::deployment::resent;
use crate::common::deployment::tune;
use crate::common::name;
use crate::common::response;

const KEY: &str = "order-17";

fn snapshot() -> Arc<Snapshot> {
    Arc::new(ordering(&["glasgow", "perth", "dundee", "ayr"]))
}

fn mesh() -> Mesh {
    Mesh::new(&snapshot())
}

fn unknown_reason(mesh: &Mesh, call: CallId) -> Unknown {
    match &mesh.answers[&call] {
        Answer::Unknown { reason, .. } => *reason,
        other => panic!("unexpected answer: {other:?}"),
    }
}

/// Sends the key for the first time; returns the call and the key's home node.
fn first_send(mesh: &mut Mesh, vm: &str) -> (CallId, String) {
    let call = mesh.call(vm, resent(KEY, 1));
    let home = key_order(KEY, 4).remove(0);
    assert_eq!(mesh.runs[0].vm, name(&home));
    (call, home)
}

/// Returns the nodes other than the home, in reverse order of the key.
fn other_nodes(home: &str) -> Vec<String> {
    let mut vms = key_order(KEY, 4);
    vms.retain(|vm| vm != home);
    vms.reverse();
    vms
}

#[test]
fn concurrent_copies() {
    let mut mesh = mesh();
    let calls = ["vm-1", "vm-2", "vm-3"].map(|vm| mesh.call(vm, keyed(KEY)));
    assert_eq!(mesh.history.len(), 1);
    mesh.answer("ordered");
    for call in calls {
        assert_eq!(
            mesh.answers[&call],
            Answer::Response(response(200, "ordered"))
        );
    }
    assert_eq!(mesh.inquiries, 0);
}

#[test]
fn stored_response() {
    let mut mesh = mesh();
    let (_, home) = first_send(&mut mesh, "vm-1");
    mesh.answer("ordered");
    mesh.advance(30_000);
    for vm in other_nodes(&home) {
        let call = mesh.call(&vm, resent(KEY, 2));
        assert_eq!(
            mesh.answers[&call],
            Answer::Response(response(200, "ordered"))
        );
    }
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn crashed_home() {
    let mut mesh = mesh();
    let (call, home) = first_send(&mut mesh, "vm-1");
    mesh.kill(&home);
    if home != "vm-1" {
        assert_eq!(unknown_reason(&mesh, call), Unknown::WitnessUnreachable);
    }
    let resend = mesh.call(&other_nodes(&home)[0], resent(KEY, 2));
    assert_eq!(unknown_reason(&mesh, resend), Unknown::WitnessUnreachable);
    assert_eq!(mesh.history.len(), 1);
}

/// A copy that arrives after a resend with a higher attempt number does not run.
#[test]
fn late_copy() {
    let mut mesh = mesh();
    let [home, _, a, b] = &key_order(KEY, 4)[..] else {
        panic!("expected four nodes");
    };
    mesh.blocked_vms.insert(name(home));
    let first = mesh.call(a, resent(KEY, 1));
    let late = std::mem::take(&mut mesh.blocked_messages);
    mesh.blocked_vms.clear();
    mesh.set_cut(b, home, true);
    mesh.call(b, resent(KEY, 2));
    assert_eq!(
        mesh.history.len(),
        1,
        "the resend runs before the late copy arrives"
    );
    for (vm, event) in late {
        mesh.send(vm.as_str(), event);
    }
    assert_eq!(unknown_reason(&mesh, first), Unknown::Superseded);
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn overloaded_home() {
    let mut snapshot = ordering(&["glasgow", "perth", "dundee"]);
    tune(&mut snapshot, |s| {
        s.limits.slots = Slots::new(1);
        s.limits.queue = Slots::new(0);
    });
    let mut mesh = Mesh::new(&Arc::new(snapshot));
    let occupant = mesh.call("vm-1", keyed("order-1"));
    let home = mesh.runs[0].vm.clone();
    let key = (2..100)
        .map(|n| format!("order-{n}"))
        .find(|key| key_order(key, 3)[0] == home.as_str())
        .expect("a key with the same home");
    let call = mesh.call("vm-1", keyed(&key));
    let run = mesh.runs.pop().expect("pending run");
    assert_ne!(run.vm, home);
    mesh.finish(&run, Outcome::Answered(response(200, "ordered")));
    assert!(matches!(mesh.answers[&call], Answer::Response(_)));
    mesh.answer("");
    assert!(mesh.answers.contains_key(&occupant));
    let resend = mesh.call("vm-2", keyed(&key));
    assert_eq!(
        mesh.answers[&resend],
        Answer::Response(response(200, "ordered"))
    );
    assert_eq!(mesh.history.len(), 2);
}

#[test]
fn reused_key() {
    let mut mesh = mesh();
    mesh.call("vm-1", keyed(KEY));
    let other = HttpRequest {
        body: "50 litres".into(),
        ..keyed(KEY)
    };
    let call = mesh.call("vm-2", other);
    assert!(matches!(
        mesh.answers[&call],
        Answer::NotRun {
            reason: NotRun::KeyReused,
            ..
        }
    ));
}

#[test]
fn unreachable_witness() {
    let mut mesh = mesh();
    let (_, home) = first_send(&mut mesh, "vm-1");
    let others = other_nodes(&home);
    for vm in &others {
        mesh.set_cut(vm, &home, true);
    }
    let call = mesh.call(&others[0], resent(KEY, 2));
    assert_eq!(unknown_reason(&mesh, call), Unknown::WitnessUnreachable);
    mesh.observe(&home, MemberState::Dead);
    let call = mesh.call(&others[1], resent(KEY, 3));
    assert_eq!(unknown_reason(&mesh, call), Unknown::WitnessUnreachable);
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn delayed_vote() {
    let mut mesh = mesh();
    let (_, home) = first_send(&mut mesh, "vm-1");
    let others = other_nodes(&home);
    mesh.set_cut(&others[0], &home, true);
    let call = mesh.call(&others[0], resent(KEY, 2));
    assert!(!mesh.answers.contains_key(&call));
    mesh.answer("ordered");
    assert_eq!(
        mesh.answers[&call],
        Answer::Response(response(200, "ordered"))
    );
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn unconfigured_node() {
    let mut mesh = Mesh::empty();
    mesh.start_unconfigured(&name("vm-1"), "glasgow");
    let call = mesh.call("vm-1", resent(KEY, 2));
    assert_eq!(unknown_reason(&mesh, call), Unknown::NotJudged);
    let call = mesh.call("vm-1", resent(KEY, 1));
    assert!(matches!(mesh.answers[&call], Answer::NotRun { .. }));
}

#[test]
fn late_response() {
    let mut mesh = mesh();
    let (call, home) = first_send(&mut mesh, "vm-1");
    mesh.advance(DEADLINE_MS);
    assert_eq!(unknown_reason(&mesh, call), Unknown::Deadline);
    assert_eq!(mesh.runs.len(), 1, "the keyed request keeps running");
    let resend = mesh.call(&other_nodes(&home)[0], resent(KEY, 2));
    mesh.answer("ordered");
    assert_eq!(
        mesh.answers[&resend],
        Answer::Response(response(200, "ordered"))
    );
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn draining_home() {
    let mut mesh = mesh();
    let (_, home) = first_send(&mut mesh, "vm-1");
    mesh.answer("ordered");
    let running = mesh.call(&home, keyed("order-99"));
    mesh.send(&home, RequestEvent::Drain);
    let call = mesh.call(&other_nodes(&home)[0], resent(KEY, 2));
    assert_eq!(
        mesh.answers[&call],
        Answer::Response(response(200, "ordered"))
    );
    mesh.answer("");
    assert!(matches!(mesh.answers[&running], Answer::Response(_)));
}

/// A refusal is not final while a copy without an attempt number may still
/// arrive. That copy runs after a duplicate check, so the outcome is unknown.
#[test]
fn unnumbered_late_copy() {
    let mut snapshot = Snapshot::clone(&snapshot());
    tune(&mut snapshot, |s| s.retry.attempts = 2);
    let mut mesh = Mesh::new(&Arc::new(snapshot));
    let [home, second, .., last] = &key_order(KEY, 4)[..] else {
        panic!("expected four nodes");
    };
    mesh.blocked_vms.insert(name(home));
    let call = mesh.call(last, keyed(KEY));
    let late = std::mem::take(&mut mesh.blocked_messages);
    mesh.blocked_vms.clear();
    mesh.advance(DEADLINE_MS / 2);
    assert_eq!(
        mesh.runs[0].vm,
        name(second),
        "the next upstream runs it, as the home did not reply"
    );
    let refusal = HttpResponse {
        headers: vec![Header::new("x-not-run", "1")],
        ..response(503, "")
    };
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Answered(refusal));
    for (vm, event) in late {
        mesh.send(vm.as_str(), event);
    }
    assert_eq!(
        mesh.history.len(),
        2,
        "the late copy runs after a duplicate check"
    );
    assert_eq!(unknown_reason(&mesh, call), Unknown::PeerLost);
}
