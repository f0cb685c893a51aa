//! Exchanges that stay open but make no progress.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::MemberState;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Unknown;
use celeryshore_model::Share;

use crate::common::Mesh;
use crate::common::deployment::DEADLINE_MS;
use crate::common::deployment::key_order;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::resent;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::deployment::without_zone;
use crate::common::name;
use crate::common::response;

const KEY: &str = "order-17";

/// Creates a mesh in which vm-1 forwards to vm-2, in its region, and vm-3, in
/// another.
fn mesh() -> Mesh {
    let mut snapshot = ordering(&["glasgow", "galashiels", "perth"]);
    tune(&mut snapshot, |s| {
        s.retry.budget = Share::from_per_mille(0);
    });
    let mut mesh = Mesh::new(&without_zone(&snapshot, "glasgow"));
    for _ in 0..4 {
        mesh.call("vm-1", stock());
        mesh.advance(5);
        mesh.answer("");
    }
    mesh.history.clear();
    mesh
}

fn has_response(mesh: &Mesh, call: CallId) -> bool {
    matches!(mesh.answers.get(&call), Some(Answer::Response(_)))
}

#[test]
fn stalled_lookup() {
    let mut mesh = mesh();
    mesh.blocked_vms.insert(name("vm-2"));
    let call = mesh.call("vm-1", stock());
    mesh.advance(100);
    assert_eq!(mesh.runs[0].vm, name("vm-3"));
    mesh.answer("40");
    assert!(has_response(&mesh, call));
}

#[test]
fn stalled_order() {
    let mut mesh = mesh();
    mesh.blocked_vms.insert(name("vm-2"));
    let call = mesh.call("vm-1", order());
    mesh.advance(DEADLINE_MS);
    assert!(matches!(
        mesh.answers[&call],
        Answer::Unknown {
            reason: Unknown::Deadline,
            ..
        }
    ));
    assert!(
        mesh.history.is_empty(),
        "an order without a key has one attempt"
    );
}

#[test]
fn stalled_reply() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow", "perth", "dundee", "ayr"])));
    let [home, .., last] = &key_order(KEY, 4)[..] else {
        panic!("expected four nodes");
    };
    let call = mesh.call(last, resent(KEY, 1));
    assert_eq!(mesh.runs[0].vm, name(home));
    mesh.blocked_vms.insert(name(last));
    mesh.answer("ordered");
    let blocked = std::mem::take(&mut mesh.blocked_messages);
    assert_eq!(blocked.len(), 1);
    mesh.blocked_vms.clear();
    mesh.advance(DEADLINE_MS / 2);
    assert_eq!(
        mesh.answers.get(&call),
        Some(&Answer::Response(response(200, "ordered"))),
        "found by a duplicate check on other connections"
    );
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn dead_node() {
    let mut mesh = mesh();
    mesh.blocked_vms.insert(name("vm-2"));
    let call = mesh.call("vm-1", stock());
    mesh.observe("vm-2", MemberState::Dead);
    mesh.answer("40");
    assert!(has_response(&mesh, call));
}

#[test]
fn dead_witness() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow", "perth", "dundee", "ayr"])));
    let [home, second, _, last] = &key_order(KEY, 4)[..] else {
        panic!("expected four nodes");
    };
    mesh.call(last, resent(KEY, 1));
    mesh.answer("ordered");
    mesh.set_cut(last, home, true);
    mesh.blocked_vms.insert(name(home));
    let call = mesh.call(last, resent(KEY, 2));
    assert!(!mesh.answers.contains_key(&call));
    mesh.observe(home, MemberState::Dead);
    assert!(matches!(
        mesh.answers[&call],
        Answer::Unknown {
            reason: Unknown::WitnessUnreachable,
            ..
        }
    ));
    assert_ne!(second, home);
}

#[test]
fn spent_budget() {
    let mut mesh = mesh();
    for _ in 0..30 {
        mesh.blocked_vms.insert(name("vm-2"));
        mesh.call("vm-1", stock());
        mesh.advance(DEADLINE_MS);
        mesh.blocked_messages.clear();
        mesh.blocked_vms.clear();
        mesh.advance(60_000);
    }
    let moved = mesh.history.len();
    assert!((1..=10).contains(&moved), "{moved}");
}

#[test]
fn quick_failures() {
    let mut mesh = mesh();
    for _ in 0..60 {
        mesh.call("vm-1", stock());
        let run = mesh.runs[0].clone();
        mesh.finish(&run, Outcome::Answered(response(500, "")));
    }
    mesh.history.clear();
    mesh.call("vm-1", stock());
    mesh.advance(39);
    mesh.advance(13);
    assert_eq!(
        mesh.history.len(),
        1,
        "failures don't count in the usual response time"
    );
}
