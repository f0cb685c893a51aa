//! Keyed requests while the list of upstreams changes and nodes have different
//! versions of it.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::Unknown;

use crate::common::Mesh;
use crate::common::deployment::key_order;
use crate::common::deployment::keyed;
use crate::common::deployment::ordering;
use crate::common::deployment::resent;
use crate::common::deployment::without_upstream;
use crate::common::name;
use crate::common::response;

const KEY: &str = "order-17";

const ZONES: [&str; 3] = ["glasgow", "perth", "dundee"];

fn unknown_reason(mesh: &Mesh, call: CallId) -> Unknown {
    match &mesh.answers[&call] {
        Answer::Unknown { reason, .. } => *reason,
        other => panic!("unexpected answer: {other:?}"),
    }
}

#[test]
fn removed_upstream() {
    let snapshot = ordering(&ZONES);
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    mesh.call("vm-1", resent(KEY, 1));
    mesh.answer("ordered");
    let [home, .., last] = &key_order(KEY, 3)[..] else {
        panic!("expected three nodes");
    };
    let next = without_upstream(&snapshot, home);
    mesh.send_all(&RequestEvent::Configured(Arc::new(next)));
    for request in [resent(KEY, 2), keyed(KEY)] {
        let call = mesh.call(last, request);
        assert_eq!(
            mesh.answers[&call],
            Answer::Response(response(200, "ordered"))
        );
    }
    assert_eq!(mesh.history.len(), 1);
}

#[test]
fn replaced_home() {
    let all = ordering(&ZONES);
    let first = without_upstream(&all, "vm-2");
    let mut mesh = Mesh::with(&all, &Arc::new(first));
    mesh.call("vm-2", resent(KEY, 1));
    let home = mesh.runs[0].vm.clone();
    let mut next = without_upstream(&all, home.as_str());
    next.version.index.0 += 1;
    let event = RequestEvent::Configured(Arc::new(next));
    mesh.send("vm-2", event);
    let call = mesh.call("vm-2", resent(KEY, 2));
    assert_eq!(
        mesh.history.len(),
        1,
        "the previous home receives an inquiry"
    );
    mesh.answer("ordered");
    assert_eq!(
        mesh.answers[&call],
        Answer::Response(response(200, "ordered"))
    );
}

#[test]
fn outdated_list() {
    let all = ordering(&ZONES);
    let first = without_upstream(&all, "vm-2");
    let mut mesh = Mesh::with(&all, &Arc::new(first));
    let mut next = without_upstream(&all, "vm-1");
    next.version.index.0 += 1;
    mesh.send("vm-2", RequestEvent::Configured(Arc::new(next)));
    mesh.call("vm-2", keyed(KEY));
    assert_eq!(
        mesh.runs[0].vm,
        name("vm-2"),
        "it runs after a duplicate check"
    );
    let call = mesh.call("vm-3", keyed(KEY));
    assert_eq!(unknown_reason(&mesh, call), Unknown::NotJudged);
    assert_eq!(mesh.history.len(), 1);
}

/// A duplicate check that starts with an outdated list of upstreams does not run
/// the copy, even if the node receives the new list before the check ends.
#[test]
fn update_during_check() {
    let all = ordering(&ZONES);
    let first = without_upstream(&all, "vm-2");
    let mut mesh = Mesh::with(&all, &Arc::new(first));
    let mut next = without_upstream(&all, "vm-1");
    next.version.index.0 += 1;
    let event = RequestEvent::Configured(Arc::new(next));
    mesh.send("vm-2", event.clone());
    let key = (0..100)
        .map(|n| format!("order-{n}"))
        .find(|key| key_order(key, 3).ends_with(&["vm-1".to_owned()]))
        .expect("a key with vm-1 last in its order");
    mesh.call("vm-2", keyed(&key));
    mesh.advance(100);
    assert_eq!(mesh.runs[0].vm, name("vm-2"));
    mesh.blocked_vms.insert(name("vm-1"));
    mesh.blocked_vms.insert(name("vm-3"));
    mesh.call("vm-3", keyed(&key));
    assert_eq!(
        mesh.blocked_messages.len(),
        1,
        "vm-3 starts a duplicate check"
    );
    mesh.send("vm-3", event);
    mesh.release();
    assert_eq!(
        mesh.history.len(),
        1,
        "the duplicate check started with an outdated list"
    );
}

#[test]
fn unknown_upstream() {
    let all = ordering(&ZONES);
    let first = without_upstream(&all, "vm-2");
    let mut mesh = Mesh::with(&all, &Arc::new(first));
    let mut next = all.clone();
    next.version.index.0 += 2;
    mesh.send("vm-2", RequestEvent::Configured(Arc::new(next)));
    let key = (0..100)
        .map(|n| format!("order-{n}"))
        .find(|key| key_order(key, 3)[0] == "vm-2")
        .expect("a key whose home is the new upstream");
    mesh.call("vm-2", resent(&key, 1));
    assert_eq!(mesh.runs.len(), 1);
    let call = mesh.call("vm-3", resent(&key, 2));
    assert_eq!(unknown_reason(&mesh, call), Unknown::NotJudged);
    assert_eq!(
        mesh.history.len(),
        1,
        "the inquiry for the first send made vm-2 known"
    );
}

#[test]
fn skipped_version() {
    let all = ordering(&ZONES);
    let first = without_upstream(&all, "vm-3");
    let mut mesh = Mesh::with(&all, &Arc::new(first.clone()));
    let mut second = without_upstream(&all, "vm-2");
    second.version.index.0 += 1;
    let mut third = first;
    third.version.index.0 += 2;
    mesh.send("vm-3", RequestEvent::Configured(Arc::new(second)));
    mesh.call("vm-3", resent(KEY, 1));
    mesh.advance(100);
    assert_eq!(mesh.runs[0].vm, name("vm-3"));
    for vm in ["vm-1", "vm-2"] {
        mesh.send(vm, RequestEvent::Configured(Arc::new(third.clone())));
    }
    let call = mesh.call("vm-2", resent(KEY, 2));
    assert_eq!(unknown_reason(&mesh, call), Unknown::NotJudged);
    assert_eq!(
        mesh.history.len(),
        1,
        "the third list lacks the upstream that ran the key"
    );
}

#[test]
fn known_to_peers() {
    let all = Arc::new(ordering(&ZONES));
    let mut mesh = Mesh::new(&all);
    let [home, .., last] = &key_order(KEY, 3)[..] else {
        panic!("expected three nodes");
    };
    mesh.kill(home);
    mesh.start(&name(home), &all);
    mesh.advance(5_000);
    mesh.call(home, resent(KEY, 1));
    mesh.answer("ordered");
    let inquiries = mesh.inquiries;
    assert_eq!(
        inquiries, 2,
        "the first request makes the node known to its peers"
    );
    mesh.kill(last);
    let key = (0..100)
        .map(|n| format!("order-{n}"))
        .find(|key| key_order(key, 3)[0] == *home)
        .expect("a key with the same home");
    mesh.call(home, resent(&key, 1));
    assert_eq!(mesh.history.len(), 2);
    assert_eq!(mesh.inquiries, inquiries);
}
