//! Responses at the deadline, and cancelled calls.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::Unknown;

use crate::common::Mesh;
use crate::common::deployment::DEADLINE_MS;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::deployment::with;
use crate::common::response;

#[test]
fn running_work() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    let call = mesh.call("vm-1", order());
    mesh.advance(DEADLINE_MS - 10);
    assert!(mesh.answers.is_empty());
    mesh.advance(10);
    assert!(matches!(
        mesh.answers[&call],
        Answer::Unknown {
            reason: Unknown::Deadline,
            ..
        }
    ));
    assert!(mesh.runs.is_empty(), "cancelled at the target");
}

#[test]
fn waiting_work() {
    let mut snapshot = ordering(&["glasgow"]);
    tune(&mut snapshot, |s| s.limits.slots = s.limits.cold_slots);
    let mut mesh = Mesh::new(&Arc::new(snapshot));
    mesh.call("vm-1", stock());
    mesh.call("vm-1", stock());
    let call = mesh.call("vm-1", with(order(), "celeryshore-deadline-ms", "500"));
    mesh.advance(500);
    assert!(matches!(
        mesh.answers[&call],
        Answer::NotRun {
            reason: NotRun::Deadline,
            ..
        }
    ));
    assert_eq!(mesh.history.len(), 2);
}

#[test]
fn late_outcome() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    let call = mesh.call("vm-1", order());
    let run = mesh.runs[0].clone();
    mesh.advance(DEADLINE_MS);
    let other = mesh.call("vm-1", order());
    mesh.finish(&run, Outcome::Answered(response(200, "late")));
    assert!(matches!(mesh.answers[&call], Answer::Unknown { .. }));
    assert!(!mesh.answers.contains_key(&other));
}

#[test]
fn cancelled_work() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    let call = mesh.call("vm-1", stock());
    mesh.send("vm-1", RequestEvent::Cancelled { call });
    assert!(mesh.runs.is_empty(), "cancelled at the target");
    mesh.advance(DEADLINE_MS);
    assert!(mesh.answers.is_empty());
}
