//! Routing of a request from its caller to a target, and of the response back.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::HttpRequest;
use celeryshore_model::Snapshot;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::with;
use crate::common::deployment::without_zone;
use crate::common::name;
use crate::common::response;

fn refusal(mesh: &Mesh, call: CallId) -> NotRun {
    match &mesh.answers[&call] {
        Answer::NotRun { reason, .. } => *reason,
        other => panic!("unexpected answer: {other:?}"),
    }
}

#[test]
fn local_target() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    let call = mesh.call("vm-1", stock());
    assert_eq!(mesh.runs.len(), 1);
    mesh.answer("40 in stock");
    assert_eq!(
        mesh.answers[&call],
        Answer::Response(response(200, "40 in stock"))
    );
}

#[test]
fn remote_target() {
    let snapshot = ordering(&["glasgow", "perth"]);
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    mesh.send_all(&RequestEvent::Configured(without_zone(
        &snapshot, "glasgow",
    )));
    let call = mesh.call("vm-1", order());
    let run = mesh.answer("ordered");
    assert_eq!(run.vm, name("vm-2"));
    assert_eq!(
        mesh.answers[&call],
        Answer::Response(response(200, "ordered"))
    );
}

#[test]
fn no_configuration() {
    let mut mesh = Mesh::empty();
    mesh.start_unconfigured(&name("vm-1"), "glasgow");
    let call = mesh.call("vm-1", stock());
    assert_eq!(refusal(&mesh, call), NotRun::Learning);
}

#[test]
fn refused_requests() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    let lost = HttpRequest {
        path: "/stockings".into(),
        ..stock()
    };
    let large = HttpRequest {
        body: vec![0; 1_025].into(),
        ..stock()
    };
    let cases = [
        (lost, NotRun::NoRoute),
        (large, NotRun::TooLarge),
        (with(stock(), "celeryshore-depth", "9"), NotRun::TooDeep),
        (
            with(order(), "idempotency-key", "two words"),
            NotRun::BadKey,
        ),
    ];
    for (request, expected) in cases {
        let call = mesh.call("vm-1", request);
        assert_eq!(refusal(&mesh, call), expected);
    }
    assert!(mesh.history.is_empty());
}

/// A node that may be behind cannot say that there is no route.
#[test]
fn outdated_view() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    let lost = HttpRequest {
        path: "/stockings".into(),
        ..stock()
    };
    for (is_outdated, expected) in [(true, NotRun::Behind), (false, NotRun::NoRoute)] {
        mesh.set_outdated("vm-1", is_outdated);
        let call = mesh.call("vm-1", lost.clone());
        assert_eq!(refusal(&mesh, call), expected);
    }
    let call = mesh.call("vm-1", stock());
    assert_eq!(mesh.runs.len(), 1, "{call:?} has a route");
}

#[test]
fn nested_calls() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    mesh.call("vm-1", with(stock(), "celeryshore-depth", "2"));
    let request = &mesh.runs[0].request;
    assert_eq!(request.header(b"celeryshore-depth").unwrap(), "3");
    let left = request.header(b"celeryshore-deadline-ms").unwrap();
    assert!((900..=1_000).contains(&std::str::from_utf8(left).unwrap().parse().unwrap()));
}

/// Forwards a request from vm-1 to vm-2, which is one version behind.
fn forward_to_outdated_node() -> (Mesh, CallId, Arc<Snapshot>) {
    let snapshot = ordering(&["glasgow", "perth"]);
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    let next = without_zone(&snapshot, "glasgow");
    mesh.send("vm-1", RequestEvent::Configured(next.clone()));
    let call = mesh.call("vm-1", stock());
    assert_eq!(mesh.catch_ups, 1);
    assert!(mesh.history.is_empty());
    (mesh, call, next)
}

#[test]
fn newer_version() {
    let (mut mesh, call, next) = forward_to_outdated_node();
    mesh.send("vm-2", RequestEvent::Configured(next));
    mesh.answer("40");
    assert!(matches!(mesh.answers[&call], Answer::Response(_)));
}

#[test]
fn absent_version() {
    let (mut mesh, call, _) = forward_to_outdated_node();
    mesh.advance(99);
    assert!(mesh.answers.is_empty());
    mesh.advance(1);
    assert_eq!(refusal(&mesh, call), NotRun::Behind);
    assert!(mesh.history.is_empty());
}
