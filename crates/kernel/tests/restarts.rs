//! Keyed requests on nodes that restarted and lost their journal.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Unknown;
use celeryshore_model::Header;
use celeryshore_model::HttpResponse;
use celeryshore_model::Snapshot;

use crate::common::Mesh;
use crate::common::deployment::key_order;
use crate::common::deployment::keyed;
use crate::common::deployment::ordering;
use crate::common::deployment::resent;
use crate::common::deployment::timed_key;
use crate::common::name;
use crate::common::response;

const KEY: &str = "order-17";

fn snapshot() -> Arc<Snapshot> {
    Arc::new(ordering(&["glasgow", "perth", "dundee", "ayr"]))
}

fn unknown_reason(mesh: &Mesh, call: CallId) -> Unknown {
    match &mesh.answers[&call] {
        Answer::Unknown { reason, .. } => *reason,
        other => panic!("unexpected answer: {other:?}"),
    }
}

#[test]
fn restarted_home() {
    let mut mesh = Mesh::new(&snapshot());
    let [home, .., last] = &key_order(KEY, 4)[..] else {
        panic!("expected four nodes");
    };
    mesh.call("vm-1", resent(KEY, 1));
    mesh.kill(home);
    mesh.start(&name(home), &snapshot());
    mesh.advance(5_000);
    for request in [resent(KEY, 2), keyed(KEY)] {
        let call = mesh.call(last, request);
        assert_eq!(unknown_reason(&mesh, call), Unknown::WitnessRestarted);
    }
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn key_after_restart() {
    let mut mesh = Mesh::new(&snapshot());
    let vms = ["vm-1", "vm-2", "vm-3", "vm-4"];
    for vm in vms {
        mesh.kill(vm);
        mesh.start(&name(vm), &snapshot());
    }
    mesh.advance(60_000);
    let key = timed_key(mesh.now.wall, 1);
    for vm in vms {
        mesh.call(vm, keyed(&key));
    }
    assert_eq!(mesh.history.len(), 1);
    assert_eq!(
        mesh.inquiries, 0,
        "the key was created after all nodes started"
    );
}

#[test]
fn stale_first_copy() {
    let mut mesh = Mesh::new(&snapshot());
    let [home, second, a, b] = &key_order(KEY, 4)[..] else {
        panic!("expected four nodes");
    };
    mesh.call(a, resent(KEY, 1));
    mesh.blocked_vms.insert(name(a));
    let refusal = HttpResponse {
        headers: vec![Header::new("x-not-run", "1")],
        ..response(503, "")
    };
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Answered(refusal));
    mesh.call(b, resent(KEY, 2));
    mesh.deliver(1);
    assert_eq!(
        mesh.runs.len(),
        1,
        "the resend runs after a duplicate check"
    );
    assert_eq!(mesh.runs[0].vm, name(home));
    mesh.kill(second);
    mesh.start(&name(second), &snapshot());
    mesh.advance(10);
    mesh.release();
    assert_eq!(
        mesh.history.len(),
        2,
        "a copy older than the process does not run, although the fence is lost"
    );
}
