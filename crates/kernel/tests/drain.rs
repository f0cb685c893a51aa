//! Draining nodes, evacuated zones and dead members.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::MemberState;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::RequestEvent;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::without_zone;
use crate::common::name;

fn refusal(mesh: &Mesh, call: CallId) -> NotRun {
    match &mesh.answers[&call] {
        Answer::NotRun { reason, .. } => *reason,
        other => panic!("unexpected answer: {other:?}"),
    }
}

#[test]
fn in_flight_request() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    let call = mesh.call("vm-1", order());
    mesh.send("vm-1", RequestEvent::Drain);
    assert!(!mesh.is_drained("vm-1"));
    mesh.answer("whole");
    assert!(matches!(mesh.answers[&call], Answer::Response(_)));
    assert!(mesh.is_drained("vm-1"));
}

#[test]
fn new_requests() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow", "perth"])));
    mesh.call("vm-1", order());
    mesh.send("vm-1", RequestEvent::Drain);
    let forwarded = mesh.call("vm-1", stock());
    assert_eq!(mesh.runs[1].vm, name("vm-2"));
    mesh.advance(900);
    mesh.answer("");
    mesh.answer("");
    assert!(matches!(mesh.answers[&forwarded], Answer::Response(_)));
    assert!(mesh.is_drained("vm-1"));
    let idle = mesh.call("vm-1", stock());
    mesh.answer("");
    assert!(matches!(mesh.answers[&idle], Answer::Response(_)));
    mesh.advance(3_200);
    let late = mesh.call("vm-1", stock());
    assert_eq!(refusal(&mesh, late), NotRun::Leaving);
}

#[test]
fn leaving_member() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow", "perth"])));
    let in_flight = mesh.call("vm-1", order());
    mesh.observe("vm-1", MemberState::Leaving);
    for _ in 0..4 {
        mesh.call("vm-2", stock());
    }
    assert!(mesh.history[1..].iter().all(|r| r.vm == name("vm-2")));
    mesh.answer("whole");
    assert!(matches!(mesh.answers[&in_flight], Answer::Response(_)));
    assert!(mesh.is_drained("vm-1"));
}

#[test]
fn zone_out_of_service() {
    let snapshot = ordering(&["glasgow", "perth"]);
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    let in_flight = mesh.call("vm-1", order());
    mesh.send_all(&RequestEvent::Configured(without_zone(
        &snapshot, "glasgow",
    )));
    for _ in 0..4 {
        mesh.call("vm-1", stock());
        mesh.call("vm-2", stock());
    }
    assert!(mesh.history[1..].iter().all(|r| r.vm == name("vm-2")));
    mesh.answer("whole");
    assert!(matches!(mesh.answers[&in_flight], Answer::Response(_)));
}

#[test]
fn older_configuration() {
    let snapshot = ordering(&["glasgow"]);
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    mesh.send(
        "vm-1",
        RequestEvent::Configured(without_zone(&snapshot, "glasgow")),
    );
    mesh.send("vm-1", RequestEvent::Configured(Arc::new(snapshot)));
    let call = mesh.call("vm-1", order());
    assert_eq!(refusal(&mesh, call), NotRun::NoUpstream);
}

#[test]
fn dead_member() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow", "perth"])));
    mesh.observe("vm-1", MemberState::Dead);
    mesh.observe("vm-2", MemberState::Suspect);
    let vms = ["vm-2"; 4].map(|vm| {
        mesh.call(vm, stock());
        mesh.answer("").vm
    });
    assert!(vms.iter().all(|vm| *vm == name("vm-2")));
}
