//! Quarantine of requests that crash each target that runs them.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::CrashEvidence;
use celeryshore_kernel::Health;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::Terms;
use celeryshore_kernel::Unknown;
use celeryshore_model::HttpRequest;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::resent;
use crate::common::deployment::stock;
use crate::common::name;
use crate::common::response;

fn mesh() -> Mesh {
    Mesh::new(&Arc::new(ordering(&["glasgow", "perth", "dundee", "ayr"])))
}

fn poison() -> HttpRequest {
    HttpRequest {
        path: "/stock?litres=crash".into(),
        ..stock()
    }
}

/// Crashes every target that runs a poison request. The responses of all requests that
/// run there are lost.
fn crash_all(mesh: &mut Mesh) {
    while let Some(run) = mesh.runs.iter().find(|r| r.request.path == poison().path) {
        let vm = run.vm.clone();
        let lost: Vec<_> = mesh.runs.iter().filter(|r| r.vm == vm).cloned().collect();
        for run in lost {
            mesh.finish(&run, Outcome::Broken);
        }
    }
}

fn is_quarantined(mesh: &Mesh, call: CallId) -> bool {
    matches!(
        mesh.answers.get(&call),
        Some(Answer::NotRun {
            reason: NotRun::Poison,
            ..
        })
    )
}

#[test]
fn crash_limit() {
    let mut mesh = mesh();
    let call = mesh.call("vm-1", poison());
    crash_all(&mut mesh);
    assert!(matches!(
        mesh.answers[&call],
        Answer::Unknown {
            reason: Unknown::TargetLost,
            ..
        }
    ));
    assert_eq!(mesh.history.len(), 2);
}

#[test]
fn resent_request() {
    let mut mesh = mesh();
    mesh.call("vm-1", poison());
    crash_all(&mut mesh);
    for vm in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        let call = mesh.call(vm, poison());
        assert!(is_quarantined(&mesh, call));
    }
    assert_eq!(mesh.history.len(), 2);
}

#[test]
fn single_attempts() {
    let mut mesh = mesh();
    let crash = || HttpRequest {
        path: "/order".into(),
        body: "crash".into(),
        ..order()
    };
    for vm in ["vm-1", "vm-2", "vm-3", "vm-4", "vm-1"] {
        mesh.call(vm, crash());
        for run in mesh.runs.clone() {
            mesh.finish(&run, Outcome::Broken);
        }
    }
    assert_eq!(mesh.history.len(), 2);
}

#[test]
fn keyed_request() {
    let mut mesh = mesh();
    for attempt in 1..6 {
        let vm = ["vm-1", "vm-2", "vm-3", "vm-4"][attempt as usize % 4];
        mesh.call(vm, resent("order-17", attempt));
        for run in mesh.runs.clone() {
            mesh.finish(&run, Outcome::Broken);
        }
    }
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn concurrent_request() {
    let mut mesh = mesh();
    for _ in 0..3 {
        mesh.call("vm-1", stock());
        mesh.call("vm-1", poison());
        crash_all(&mut mesh);
        while !mesh.runs.is_empty() {
            mesh.answer("40");
        }
        mesh.advance(2_000);
        let call = mesh.call("vm-2", stock());
        assert!(!is_quarantined(&mesh, call));
        mesh.answer("40");
        assert!(matches!(mesh.answers[&call], Answer::Response(_)));
    }
}

#[test]
fn end_of_quarantine() {
    let mut mesh = mesh();
    mesh.call("vm-1", poison());
    crash_all(&mut mesh);
    mesh.advance(31_000);
    let trial = mesh.call("vm-1", poison());
    let concurrent = mesh.call("vm-1", poison());
    assert_eq!(mesh.runs.len(), 1, "only one copy is let through");
    assert!(is_quarantined(&mesh, concurrent));
    mesh.answer("harmless");
    assert!(matches!(mesh.answers[&trial], Answer::Response(_)));
    let call = mesh.call("vm-1", poison());
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Answered(response(200, "")));
    assert!(matches!(mesh.answers[&call], Answer::Response(_)));
}

const VMS: [&str; 4] = ["vm-1", "vm-2", "vm-3", "vm-4"];

/// Returns a mesh of a platform whose targets also lose responses without a crash.
fn lossy_mesh() -> Mesh {
    let snapshot = Arc::new(ordering(&["glasgow", "perth", "dundee", "ayr"]));
    let mut mesh = Mesh::empty();
    mesh.terms = Terms {
        crash_evidence: CrashEvidence::LostTarget,
        ..Terms::default()
    };
    for vm in VMS {
        mesh.start(&name(vm), &snapshot);
    }
    mesh.advance(2_000);
    mesh
}

fn crash() -> HttpRequest {
    HttpRequest {
        body: "crash".into(),
        ..order()
    }
}

/// Loses the responses of all runs. Returns the VMs that ran them.
fn lose_responses(mesh: &mut Mesh) -> Vec<String> {
    let runs = mesh.runs.clone();
    for run in &runs {
        mesh.finish(run, Outcome::Broken);
    }
    runs.iter().map(|run| run.vm.to_string()).collect()
}

#[test]
fn lost_answers() {
    let mut mesh = lossy_mesh();
    for vm in VMS.into_iter().cycle().take(8) {
        let call = mesh.call(vm, crash());
        assert!(!is_quarantined(&mesh, call), "no target has crashed");
        lose_responses(&mut mesh);
    }
    assert_eq!(mesh.history.len(), 8);
}

#[test]
fn lost_targets() {
    let mut mesh = lossy_mesh();
    for vm in VMS.into_iter().cycle().take(8) {
        mesh.call(vm, crash());
        for lost_vm in lose_responses(&mut mesh) {
            let health = Health::Unreachable;
            mesh.send(&lost_vm, RequestEvent::HealthChecked { health });
        }
    }
    assert_eq!(
        mesh.history.len(),
        2,
        "quarantined at all nodes after two crashes"
    );
}
