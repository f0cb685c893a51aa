//! Retries of calls that may safely run again, within a budget.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::MemberState;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::Unknown;
use celeryshore_model::Semantics;
use celeryshore_model::Share;
use celeryshore_model::Slots;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::deployment::with;
use crate::common::deployment::without_zone;

/// Creates a mesh in which vm-1 forwards to vm-2 and vm-3, with one slot each.
fn mesh() -> Mesh {
    let mut snapshot = ordering(&["glasgow", "perth", "perth"]);
    tune(&mut snapshot, |s| {
        s.limits.slots = Slots::new(1);
        s.limits.queue = Slots::new(0);
        s.retry.budget = Share::from_per_mille(0);
    });
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    let next = without_zone(&snapshot, "glasgow");
    mesh.send_all(&RequestEvent::Configured(next));
    mesh
}

fn unknown_reason(mesh: &Mesh, call: CallId) -> Unknown {
    match &mesh.answers[&call] {
        Answer::Unknown { reason, .. } => *reason,
        other => panic!("unexpected answer: {other:?}"),
    }
}

/// Occupies both targets with calls through their own nodes.
fn occupy(mesh: &mut Mesh) {
    mesh.call("vm-2", order());
    mesh.call("vm-3", order());
    assert_eq!(mesh.runs.len(), 2);
}

#[test]
fn after_refusal() {
    let mut mesh = mesh();
    mesh.call("vm-2", order());
    for _ in 0..4 {
        let call = mesh.call("vm-1", order());
        let run = mesh.runs.pop().expect("pending run");
        mesh.finish(&run, Outcome::Answered(common::response(200, "")));
        assert!(matches!(mesh.answers[&call], Answer::Response(_)));
    }
}

#[test]
fn lost_order() {
    let mut mesh = mesh();
    let call = mesh.call("vm-1", order());
    let vm = mesh.runs[0].vm.clone();
    mesh.kill(vm.as_str());
    assert_eq!(unknown_reason(&mesh, call), Unknown::PeerLost);
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn lost_lookup() {
    let mut mesh = mesh();
    let call = mesh.call("vm-1", stock());
    let vm = mesh.runs[0].vm.clone();
    mesh.kill(vm.as_str());
    mesh.answer("40");
    assert!(matches!(mesh.answers[&call], Answer::Response(_)));
    assert_eq!(mesh.history.len(), 2);
}

#[test]
fn lost_download() {
    let mut snapshot = ordering(&["perth", "perth", "perth"]);
    tune(&mut snapshot, |s| {
        let stock = s.kinds.get_mut(&"stock".parse().expect("valid kind"));
        stock.expect("kind").semantics = Semantics::Download;
    });
    let mut mesh = Mesh::new(&Arc::new(snapshot));
    let call = mesh.call("vm-1", stock());
    let vm = mesh.runs[0].vm.clone();
    mesh.kill(vm.as_str());
    mesh.answer("40");
    assert!(matches!(mesh.answers[&call], Answer::Response(_)));
    assert_eq!(mesh.history.len(), 2);
}

#[test]
fn refused_retry() {
    let mut mesh = mesh();
    let call = mesh.call("vm-1", stock());
    let vm = mesh.runs[0].vm.clone();
    let other = if vm.as_str() == "vm-2" {
        "vm-3"
    } else {
        "vm-2"
    };
    mesh.call(other, order());
    mesh.kill(vm.as_str());
    assert_eq!(unknown_reason(&mesh, call), Unknown::PeerLost);
}

#[test]
fn never_sent() {
    let mut mesh = mesh();
    mesh.set_cut("vm-1", "vm-2", true);
    for depth in ["0", "3"].repeat(20) {
        let call = mesh.call("vm-1", with(order(), "celeryshore-depth", depth));
        mesh.answer("");
        assert!(matches!(mesh.answers[&call], Answer::Response(_)));
        mesh.advance(10_000);
    }
    assert!(mesh.handovers > 40, "some calls hit the broken link");
}

#[test]
fn spent_budget() {
    let mut mesh = mesh();
    let mut refused = 0;
    for i in 0..60 {
        mesh.advance(1_200);
        // The occupied target changes, so vm-1 can't infer it from its reports.
        mesh.call(["vm-2", "vm-3", "vm-3"][i % 3], order());
        let call = mesh.call("vm-1", order());
        refused += usize::from(mesh.answers.contains_key(&call));
        while !mesh.runs.is_empty() {
            mesh.answer("");
        }
    }
    assert!(refused > 10, "{refused}");
    assert!(mesh.handovers <= 130, "{}", mesh.handovers);
}

#[test]
fn overload_everywhere() {
    let mut mesh = mesh();
    tune_budget(&mut mesh, 1_000);
    occupy(&mut mesh);
    for _ in 0..100 {
        let call = mesh.call("vm-1", order());
        assert!(matches!(
            mesh.answers[&call],
            Answer::NotRun {
                reason: NotRun::Overloaded,
                ..
            }
        ));
    }
    let retries = mesh.handovers - 100;
    assert!(retries <= 10, "{retries}");
}

#[test]
fn nested_calls() {
    let mut mesh = mesh();
    occupy(&mut mesh);
    mesh.call("vm-1", with(order(), "celeryshore-depth", "1"));
    assert_eq!(mesh.handovers, 1);
}

fn tune_budget(mesh: &mut Mesh, per_mille: u32) {
    let mut snapshot = ordering(&["glasgow", "perth", "perth"]);
    tune(&mut snapshot, |s| {
        s.limits.slots = Slots::new(1);
        s.limits.queue = Slots::new(0);
        s.retry.budget = Share::from_per_mille(per_mille);
    });
    snapshot.version.index.0 += 1;
    let next = without_zone(&snapshot, "glasgow");
    mesh.send_all(&RequestEvent::Configured(next));
}

#[test]
fn stale_configuration() {
    let snapshot = ordering(&["glasgow", "perth", "perth", "perth", "glasgow"]);
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    let next = without_zone(&snapshot, "perth");
    for vm in ["vm-2", "vm-3", "vm-4", "vm-5"] {
        mesh.send(vm, RequestEvent::Configured(next.clone()));
    }
    mesh.observe("vm-5", MemberState::Suspect);
    mesh.call("vm-1", order());
    assert_eq!(mesh.handovers, 0);
    mesh.send("vm-1", RequestEvent::Drain);
    let call = mesh.call("vm-1", with(stock(), "celeryshore-depth", "1"));
    assert_eq!(mesh.handovers, 4, "three upstreams are out of service");
    while !mesh.runs.is_empty() {
        mesh.answer("40");
    }
    assert!(matches!(mesh.answers[&call], Answer::Response(_)));
}
