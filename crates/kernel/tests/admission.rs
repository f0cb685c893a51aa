//! Slots of a target, and the short queue in front of them.

mod common;

use std::sync::Arc;
use std::time::Duration;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Phase;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::Header;
use celeryshore_model::Slots;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::deployment::with;
use crate::common::response;

/// Returns a mesh with one target that is warm from the start, with two slots and a
/// queue of four.
fn warm_mesh() -> Mesh {
    let mut snapshot = ordering(&["glasgow"]);
    tune(&mut snapshot, |s| s.limits.slots = Slots::new(2));
    Mesh::new(&Arc::new(snapshot))
}

fn refusal(mesh: &Mesh, call: CallId) -> (NotRun, Duration) {
    match &mesh.answers[&call] {
        Answer::NotRun {
            reason,
            retry_after,
        } => (*reason, *retry_after),
        other => panic!("unexpected answer: {other:?}"),
    }
}

#[test]
fn slot_limit() {
    let mut mesh = warm_mesh();
    for _ in 0..5 {
        mesh.call("vm-1", stock());
    }
    assert_eq!(mesh.runs.len(), 2);
    mesh.answer("");
    assert_eq!(mesh.runs.len(), 2);
    assert_eq!(mesh.history.len(), 3);
}

#[test]
fn full_queue() {
    let mut mesh = warm_mesh();
    for _ in 0..6 {
        mesh.call("vm-1", stock());
    }
    let call = mesh.call("vm-1", order());
    assert_eq!(refusal(&mesh, call).0, NotRun::Overloaded);
    assert_eq!(mesh.answers.len(), 1);
}

#[test]
fn wait_past_deadline() {
    let mut mesh = warm_mesh();
    for _ in 0..2 {
        mesh.call("vm-1", stock());
    }
    let call = mesh.call("vm-1", with(order(), "celeryshore-deadline-ms", "25"));
    assert_eq!(refusal(&mesh, call).0, NotRun::Overloaded);
}

#[test]
fn drain_rate() {
    let mut mesh = warm_mesh();
    for _ in 0..60 {
        mesh.call("vm-1", stock());
        mesh.advance(200);
        mesh.answer("");
    }
    for _ in 0..6 {
        mesh.call("vm-1", stock());
    }
    let call = mesh.call("vm-1", stock());
    let (_, retry_after) = refusal(&mesh, call);
    let expected = Duration::from_millis(400)..Duration::from_millis(600);
    assert!(expected.contains(&retry_after), "{retry_after:?}");
}

#[test]
fn shed_requests() {
    let mut mesh = warm_mesh();
    let with_header = mesh.call("vm-1", order());
    let without_header = mesh.call("vm-1", order());
    let mut shed = response(503, "");
    shed.headers.push(Header::new("x-not-run", "1"));
    shed.headers.push(Header::new("retry-after", "7"));
    let runs = mesh.runs.clone();
    mesh.finish(&runs[0], Outcome::Answered(shed));
    mesh.finish(&runs[1], Outcome::Answered(response(503, "busy")));
    let expected = (NotRun::Shed, Duration::from_secs(7));
    assert_eq!(refusal(&mesh, with_header), expected);
    assert_eq!(
        mesh.answers[&without_header],
        Answer::Response(response(503, "busy"))
    );
}

#[test]
fn lost_connection() {
    let mut mesh = warm_mesh();
    let call = mesh.call("vm-1", order());
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Broken);
    assert!(matches!(mesh.answers[&call], Answer::Unknown { .. }));
}

#[test]
fn target_down() {
    let mut mesh = warm_mesh();
    let first = mesh.call("vm-1", order());
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::NeverSent);
    let second = mesh.call("vm-1", order());
    assert_eq!(refusal(&mesh, first).0, NotRun::TargetDown);
    assert_eq!(refusal(&mesh, second).0, NotRun::TargetDown);
    mesh.advance(250);
    let third = mesh.call("vm-1", order());
    mesh.call("vm-1", order());
    assert_eq!(mesh.runs.len(), 1, "only one probe request");
    mesh.answer("back");
    assert!(matches!(mesh.answers[&third], Answer::Response(_)));
}

#[test]
fn target_drain() {
    let mut mesh = warm_mesh();
    let in_flight = mesh.call("vm-1", order());
    let claimed = Phase::Draining;
    mesh.send("vm-1", RequestEvent::PhaseReported { claimed });
    let new = mesh.call("vm-1", order());
    assert_eq!(refusal(&mesh, new).0, NotRun::Leaving);
    mesh.answer("whole");
    assert!(matches!(mesh.answers[&in_flight], Answer::Response(_)));
}
