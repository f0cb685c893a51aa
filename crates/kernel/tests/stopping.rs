//! Stop of a node while its target stays.

mod common;

use std::sync::Arc;

use bytes::Bytes;
use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::Terms;
use celeryshore_model::HttpRequest;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::with;
use crate::common::name;

/// Longest time for which a stopping node serves, by default.
const LONGEST_MS: u64 = 4_000;
const REQUEST_ID: &str = "x-request-id";

/// Starts nodes whose requests have identifiers.
fn start(zones: &[&str]) -> Mesh {
    let snapshot = Arc::new(ordering(zones));
    let mut mesh = Mesh::empty();
    let mut terms = Terms::default();
    terms.dialect.request_id = Some(Bytes::from_static(REQUEST_ID.as_bytes()));
    terms.dialect.call_separator = Some(b'.');
    mesh.terms = terms;
    for vm in snapshot.upstreams.values().map(|u| u.vm.clone()) {
        mesh.start(&vm, &snapshot);
    }
    mesh.advance(10_000);
    mesh
}

fn identified(request: HttpRequest, id: &str) -> HttpRequest {
    with(request, REQUEST_ID, id)
}

fn refusal(mesh: &Mesh, call: CallId) -> Option<NotRun> {
    match mesh.answers.get(&call)? {
        Answer::NotRun { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Tells a node to stop, and denies its readiness until callers expect nothing of it.
fn stop(mesh: &mut Mesh, vm: &str) {
    mesh.send(vm, RequestEvent::Stop);
    for _ in 0..2 {
        mesh.advance(200);
        mesh.send(vm, RequestEvent::ReadinessDenied);
    }
}

/// Guards against a target that gets nothing while its node waits for callers to leave.
#[test]
fn target_in_use() {
    let mut mesh = start(&["glasgow"]);
    mesh.send("vm-1", RequestEvent::Stop);
    for i in 0..10 {
        mesh.advance(100);
        let call = mesh.call("vm-1", identified(stock(), &i.to_string()));
        mesh.answer("whole");
        assert!(matches!(mesh.answers[&call], Answer::Response(_)));
    }
    assert!(!mesh.is_drained("vm-1"));
    assert_eq!(mesh.status("vm-1").counters.answered_while_leaving, 10);
}

/// Guards against a stop that takes its whole time though no caller is left.
#[test]
fn callers_gone() {
    let mut mesh = start(&["glasgow", "perth"]);
    let call = mesh.call("vm-1", order());
    stop(&mut mesh, "vm-1");
    mesh.advance(300);
    assert!(!mesh.is_drained("vm-1"), "a run is in progress");
    mesh.answer("whole");
    assert!(matches!(mesh.answers[&call], Answer::Response(_)));
    assert!(mesh.is_drained("vm-1"));
}

/// Guards against an end while callers still come, as long as there is time.
#[test]
fn callers_stay() {
    let mut mesh = start(&["glasgow"]);
    stop(&mut mesh, "vm-1");
    for i in 0..35 {
        let call = mesh.call("vm-1", identified(stock(), &i.to_string()));
        mesh.answer("whole");
        assert!(matches!(mesh.answers[&call], Answer::Response(_)), "{i}");
        mesh.advance(100);
    }
    mesh.advance(200);
    let late = mesh.call("vm-1", stock());
    assert_eq!(refusal(&mesh, late), Some(NotRun::Leaving));
    assert!(mesh.is_drained("vm-1"));
    assert_eq!(mesh.status("vm-1").counters.refused_while_leaving, 0);
}

/// Guards against a platform that never asks for readiness.
#[test]
fn no_readiness_check() {
    let mut mesh = start(&["glasgow"]);
    mesh.send("vm-1", RequestEvent::Stop);
    mesh.advance(LONGEST_MS - 10);
    assert!(!mesh.is_drained("vm-1"));
    mesh.advance(20);
    assert!(mesh.is_drained("vm-1"));
}

/// Guards against runs that fail because their node no longer forwards their calls, and
/// against calls that count as callers.
#[test]
fn calls_of_runs() {
    let mut mesh = start(&["glasgow", "perth"]);
    mesh.call("vm-1", identified(order(), "run"));
    assert_eq!(mesh.runs[0].vm, name("vm-1"));
    stop(&mut mesh, "vm-1");
    mesh.advance(200);
    mesh.call("vm-1", identified(stock(), "run.1"));
    assert_eq!(mesh.status("vm-1").stage, "stopping");
    mesh.advance(100);
    assert_eq!(mesh.status("vm-1").stage, "draining");
    mesh.call("vm-1", identified(stock(), "run.2"));
    assert_eq!(mesh.runs.len(), 3);
    assert_eq!(mesh.runs[2].vm, name("vm-2"));
}

/// Guards against a refusal of a request that ran after all, and against a run that begins
/// after the refusal.
#[test]
fn last_moment() {
    let mut mesh = start(&["glasgow"]);
    stop(&mut mesh, "vm-1");
    let mut refused = 0;
    for i in 0..400_u32 {
        let runs = mesh.history.len();
        let call = mesh.call("vm-1", identified(stock(), &i.to_string()));
        let is_refused = refusal(&mesh, call).is_some();
        assert_eq!(mesh.history.len() == runs, is_refused);
        refused += u32::from(is_refused);
        if !is_refused {
            mesh.answer("whole");
        }
        mesh.advance(10);
    }
    assert!(refused > 0 && refused < 400, "{refused}");
}

/// Guards against nodes of a zone that all refuse while all of them stop.
#[test]
fn all_stop() {
    let mut mesh = start(&["glasgow", "glasgow", "glasgow"]);
    mesh.send_all(&RequestEvent::Stop);
    for _ in 0..35 {
        for vm in ["vm-1", "vm-2", "vm-3"] {
            let call = mesh.call(vm, stock());
            mesh.answer("whole");
            assert!(matches!(mesh.answers[&call], Answer::Response(_)));
            mesh.send(vm, RequestEvent::ReadinessDenied);
        }
        mesh.advance(100);
    }
}

/// Guards against a node without a configuration that never ends.
#[test]
fn while_learning() {
    let mut mesh = Mesh::empty();
    mesh.start_unconfigured(&name("vm-1"), "glasgow");
    let call = mesh.call("vm-1", stock());
    assert_eq!(refusal(&mesh, call), Some(NotRun::Learning));
    stop(&mut mesh, "vm-1");
    mesh.advance(300);
    assert!(mesh.is_drained("vm-1"));
}

/// Guards against a target that is chosen once its node refuses new work.
#[test]
fn other_targets() {
    let mut mesh = start(&["glasgow", "perth"]);
    let run = mesh.call("vm-1", order());
    stop(&mut mesh, "vm-1");
    mesh.advance(300);
    for _ in 0..4 {
        mesh.call("vm-2", stock());
    }
    assert!(mesh.runs[1..].iter().all(|run| run.vm == name("vm-2")));
    mesh.answer("whole");
    assert!(matches!(mesh.answers[&run], Answer::Response(_)));
}
