//! Processes that are frozen and resume late.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::Slots;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::deployment::without_zone;
use crate::common::name;
use crate::common::response;

const FREEZE_MS: u64 = 5_000;

fn refusal(mesh: &Mesh, call: CallId) -> NotRun {
    match &mesh.answers[&call] {
        Answer::NotRun { reason, .. } => *reason,
        other => panic!("unexpected answer: {other:?}"),
    }
}

/// Creates a mesh in which vm-1 forwards to vm-2, in its region, and vm-3, in
/// another.
fn mesh() -> Mesh {
    let mut snapshot = ordering(&["glasgow", "galashiels", "perth"]);
    tune(&mut snapshot, |s| s.limits.cold_slots = Slots::new(6));
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    let next = without_zone(&snapshot, "glasgow");
    mesh.send_all(&RequestEvent::Configured(next));
    mesh
}

#[test]
fn waiting_work() {
    let mut snapshot = ordering(&["glasgow"]);
    tune(&mut snapshot, |s| s.limits.slots = Slots::new(1));
    let mut mesh = Mesh::new(&Arc::new(snapshot));
    mesh.call("vm-1", order());
    let call = mesh.call("vm-1", order());
    mesh.freeze(FREEZE_MS);
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Answered(response(200, "")));
    assert_eq!(refusal(&mesh, call), NotRun::Deadline);
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn waiting_message() {
    let mut mesh = mesh();
    mesh.call("vm-2", order());
    mesh.blocked_vms.insert(name("vm-2"));
    mesh.call("vm-1", order());
    assert_eq!(mesh.blocked_messages.len(), 1);
    mesh.freeze(FREEZE_MS);
    mesh.release();
    assert_eq!(
        mesh.history.len(),
        1,
        "its deadline passed before it was read"
    );
}

#[test]
fn no_penalty_after_freeze() {
    let mut mesh = mesh();
    mesh.call("vm-1", stock());
    assert_eq!(mesh.runs[0].vm, name("vm-2"));
    mesh.freeze(FREEZE_MS);
    mesh.send("vm-1", RequestEvent::Tick);
    mesh.call("vm-1", stock());
    let last = mesh.history.last().expect("at least one run");
    assert_eq!(last.vm, name("vm-2"));
}
