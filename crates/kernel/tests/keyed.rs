//! Keyed requests on their way through several nodes.

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
use crate::common::deployment::DEADLINE;
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

fn unknown(mesh: &Mesh, call: CallId) -> Unknown {
    match &mesh.answers[&call] {
        Answer::Unknown { reason, .. } => *reason,
        other => panic!("{other:?}"),
    }
}

/// Sends the key for the first time; returns the call and its home.
fn first_send(mesh: &mut Mesh, vm: &str) -> (CallId, String) {
    let call = mesh.call(vm, resent(KEY, 1));
    let home = key_order(KEY, 4).remove(0);
    assert_eq!(mesh.runs[0].vm, name(&home));
    (call, home)
}

/// Returns the nodes that are not the home, the last of the key's order first.
fn others(home: &str) -> Vec<String> {
    let mut vms = key_order(KEY, 4);
    vms.retain(|vm| vm != home);
    vms.reverse();
    vms
}

#[test]
fn joined_copies() {
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
fn remembered_answer() {
    let mut mesh = mesh();
    let (_, home) = first_send(&mut mesh, "vm-1");
    mesh.answer("ordered");
    mesh.advance(30_000);
    for vm in others(&home) {
        let call = mesh.call(&vm, resent(KEY, 2));
        assert_eq!(
            mesh.answers[&call],
            Answer::Response(response(200, "ordered"))
        );
    }
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn lost_home() {
    let mut mesh = mesh();
    let (call, home) = first_send(&mut mesh, "vm-1");
    mesh.kill(&home);
    if home != "vm-1" {
        assert_eq!(unknown(&mesh, call), Unknown::WitnessUnreachable);
    }
    let resend = mesh.call(&others(&home)[0], resent(KEY, 2));
    assert_eq!(unknown(&mesh, resend), Unknown::WitnessUnreachable);
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn late_copy() {
    let mut mesh = mesh();
    let [home, _, a, b] = &key_order(KEY, 4)[..] else {
        panic!("four nodes");
    };
    mesh.blocked_vms.insert(name(home));
    let first = mesh.call(a, resent(KEY, 1));
    let late = std::mem::take(&mut mesh.blocked_messages);
    mesh.blocked_vms.clear();
    mesh.set_cut(b, home, true);
    mesh.call(b, resent(KEY, 2));
    assert_eq!(mesh.history.len(), 1, "judged without the late copy");
    for (vm, event) in late {
        mesh.send(vm.as_str(), event);
    }
    assert_eq!(unknown(&mesh, first), Unknown::Superseded);
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn refused_home() {
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
        .expect("a key of the same home");
    let call = mesh.call("vm-1", keyed(&key));
    let run = mesh.runs.pop().expect("a run");
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
fn cut_witness() {
    let mut mesh = mesh();
    let (_, home) = first_send(&mut mesh, "vm-1");
    let sides = others(&home);
    for vm in &sides {
        mesh.set_cut(vm, &home, true);
    }
    let call = mesh.call(&sides[0], resent(KEY, 2));
    assert_eq!(unknown(&mesh, call), Unknown::WitnessUnreachable);
    mesh.observe(&home, MemberState::Dead);
    let call = mesh.call(&sides[1], resent(KEY, 3));
    assert_eq!(unknown(&mesh, call), Unknown::WitnessUnreachable);
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn waiting_witness() {
    let mut mesh = mesh();
    let (_, home) = first_send(&mut mesh, "vm-1");
    let sides = others(&home);
    mesh.set_cut(&sides[0], &home, true);
    let call = mesh.call(&sides[0], resent(KEY, 2));
    assert!(!mesh.answers.contains_key(&call));
    mesh.answer("ordered");
    assert_eq!(
        mesh.answers[&call],
        Answer::Response(response(200, "ordered"))
    );
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn unjudged_resend() {
    let mut mesh = Mesh::empty();
    mesh.start_unconfigured(&name("vm-1"), "glasgow");
    let call = mesh.call("vm-1", resent(KEY, 2));
    assert_eq!(unknown(&mesh, call), Unknown::NotJudged);
    let call = mesh.call("vm-1", resent(KEY, 1));
    assert!(matches!(mesh.answers[&call], Answer::NotRun { .. }));
}

#[test]
fn late_answer() {
    let mut mesh = mesh();
    let (call, home) = first_send(&mut mesh, "vm-1");
    mesh.advance(DEADLINE);
    assert_eq!(unknown(&mesh, call), Unknown::Deadline);
    assert_eq!(mesh.runs.len(), 1, "keyed work goes on");
    let resend = mesh.call(&others(&home)[0], resent(KEY, 2));
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
    let under_way = mesh.call(&home, keyed("order-99"));
    mesh.send(&home, RequestEvent::Drain);
    let call = mesh.call(&others(&home)[0], resent(KEY, 2));
    assert_eq!(
        mesh.answers[&call],
        Answer::Response(response(200, "ordered"))
    );
    mesh.answer("");
    assert!(matches!(mesh.answers[&under_way], Answer::Response(_)));
}

#[test]
fn stray_copy() {
    let mut snapshot = Snapshot::clone(&snapshot());
    tune(&mut snapshot, |s| s.retry.attempts = 2);
    let mut mesh = Mesh::new(&Arc::new(snapshot));
    let [home, second, .., last] = &key_order(KEY, 4)[..] else {
        panic!("four nodes");
    };
    mesh.blocked_vms.insert(name(home));
    let call = mesh.call(last, keyed(KEY));
    let stray = std::mem::take(&mut mesh.blocked_messages);
    mesh.blocked_vms.clear();
    mesh.advance(DEADLINE / 2);
    assert_eq!(mesh.runs[0].vm, name(second), "the path had gone silent");
    let refusal = HttpResponse {
        headers: vec![Header::new("x-not-run", "1")],
        ..response(503, "")
    };
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Answered(refusal));
    for (vm, event) in stray {
        mesh.send(vm.as_str(), event);
    }
    assert_eq!(mesh.history.len(), 2, "an unmarked copy is judged");
    assert_eq!(unknown(&mesh, call), Unknown::PeerLost);
}
