//! Targets that say in their responses that they are about to leave.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::ResponseStatement;
use celeryshore_kernel::StatedRate;
use celeryshore_model::Header;
use celeryshore_model::Incarnation;
use celeryshore_model::Snapshot;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::name;
use crate::common::response;

/// Starts a node on each of two VMs, and lets the first target say that it leaves in its
/// response to a call at the second node.
fn mesh() -> (Mesh, Snapshot) {
    let snapshot = ordering(&["glasgow", "glasgow"]);
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    while !mesh.runs.iter().any(|run| run.vm == name("vm-1")) {
        mesh.call("vm-2", stock());
    }
    for run in mesh.runs.clone() {
        let mut response = response(200, "");
        if run.vm == name("vm-1") {
            response.headers = vec![Header::new("x-leaving", "1")];
        }
        mesh.finish(&run, Outcome::Answered(response));
    }
    mesh.history.clear();
    (mesh, snapshot)
}

fn runs_at(mesh: &Mesh, vm: &str) -> usize {
    mesh.history.iter().filter(|r| r.vm == name(vm)).count()
}

fn call_often(mesh: &mut Mesh, vm: &str) {
    for _ in 0..20 {
        mesh.call(vm, stock());
        while !mesh.runs.is_empty() {
            mesh.answer("");
        }
        mesh.advance(100);
    }
}

#[test]
fn no_new_requests() {
    let (mut mesh, _) = mesh();
    call_often(&mut mesh, "vm-2");
    call_often(&mut mesh, "vm-1");
    assert_eq!(runs_at(&mesh, "vm-1"), 0);
    assert_eq!(runs_at(&mesh, "vm-2"), 40);
}

/// The record of the platform may say for long that the target serves.
#[test]
fn unchanged_record() {
    let (mut mesh, snapshot) = mesh();
    let mut next = snapshot;
    next.version.index.0 += 1;
    mesh.send_all(&RequestEvent::Configured(Arc::new(next)));
    call_often(&mut mesh, "vm-2");
    assert_eq!(runs_at(&mesh, "vm-1"), 0);
}

/// The node next to the target forgets with a restart; those that passed the response on
/// don't.
#[test]
fn restarted_node() {
    let (mut mesh, snapshot) = mesh();
    mesh.kill("vm-1");
    mesh.start(&name("vm-1"), &Arc::new(snapshot));
    call_often(&mut mesh, "vm-2");
    assert_eq!(runs_at(&mesh, "vm-1"), 0);
}

#[test]
fn queued_request() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    let calls: Vec<_> = (0..5).map(|_| mesh.call("vm-1", order())).collect();
    let run = mesh.runs[0].clone();
    let mut last = response(200, "");
    last.headers = vec![Header::new("x-leaving", "1")];
    mesh.finish(&run, Outcome::Answered(last));
    assert_eq!(mesh.history.len(), 2, "cold slots");
    let refused = Some(NotRun::Leaving);
    let reason = |answer: &Answer| match answer {
        Answer::NotRun { reason, .. } => Some(*reason),
        _ => None,
    };
    for call in &calls[2..] {
        assert_eq!(mesh.answers.get(call).and_then(reason), refused);
    }
}

#[test]
fn health_check() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    let statement = ResponseStatement {
        rate: StatedRate::Absent,
        is_leaving: true,
    };
    mesh.send("vm-1", RequestEvent::Stated(statement));
    mesh.call("vm-1", stock());
    assert!(mesh.history.is_empty());
}

#[test]
fn next_incarnation() {
    let (mut mesh, snapshot) = mesh();
    let mut next = snapshot;
    next.version.index.0 += 1;
    for upstream in next.upstreams.values_mut() {
        upstream.incarnation = Incarnation(2);
    }
    mesh.send_all(&RequestEvent::Configured(Arc::new(next)));
    call_often(&mut mesh, "vm-1");
    assert!(runs_at(&mesh, "vm-1") > 0);
}

#[test]
fn other_value() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    mesh.call("vm-1", stock());
    let run = mesh.runs[0].clone();
    let mut response = response(200, "");
    response.headers = vec![Header::new("x-leaving", "0")];
    mesh.finish(&run, Outcome::Answered(response));
    mesh.call("vm-1", stock());
    assert_eq!(mesh.history.len(), 2);
}

/// The target's record vanishes and comes back, as after a restore of the platform's
/// store, while the target goes on leaving.
#[test]
fn vanished_record() {
    let (mut mesh, snapshot) = mesh();
    let mut without = snapshot.clone();
    without.version.index.0 += 1;
    without.upstreams.retain(|_, u| u.vm != name("vm-1"));
    for service in without.services.values_mut() {
        let upstreams = &without.upstreams;
        service.upstreams.retain(|u| upstreams.contains_key(u));
    }
    let mut with = snapshot;
    with.version.index.0 += 2;
    mesh.send_all(&RequestEvent::Configured(Arc::new(without)));
    mesh.send_all(&RequestEvent::Configured(Arc::new(with)));
    call_often(&mut mesh, "vm-2");
    call_often(&mut mesh, "vm-1");
    assert_eq!(runs_at(&mesh, "vm-1"), 0);
}
