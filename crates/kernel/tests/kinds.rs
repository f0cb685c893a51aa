//! Request kinds that share a label, or that a configuration changes.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::Delivery;
use celeryshore_kernel::Handover;
use celeryshore_kernel::InboundId;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::Depth;
use celeryshore_model::Digest;
use celeryshore_model::HttpRequest;
use celeryshore_model::KindId;
use celeryshore_model::KindName;
use celeryshore_model::RouteName;
use celeryshore_model::RoutePlace;
use celeryshore_model::Semantics;
use celeryshore_model::Snapshot;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::name;

/// Returns a configuration whose two kinds share a label.
fn shared_label(zones: &[&str]) -> Snapshot {
    let mut snapshot = ordering(zones);
    let label: RouteName = "main".parse().expect("valid route");
    for route in &mut snapshot.routes {
        let place = RoutePlace::of("ordering", &route.matches.path);
        let kind = KindName::of_route(&label, place);
        let services = snapshot.services.values_mut();
        for service in services {
            let mut old = service.kinds.remove(&route.kind).expect("a kind");
            old.name = kind.clone();
            service.kinds.insert(kind.clone(), old);
        }
        route.kind = kind;
    }
    snapshot
}

/// Returns the next version, in which the semantics of a kind are others.
fn with_semantics(snapshot: &Snapshot, kind: &str, semantics: Semantics) -> Arc<Snapshot> {
    let mut next = snapshot.clone();
    next.version.index.0 += 1;
    let kind: KindName = kind.parse().expect("valid kind");
    tune(&mut next, |service| {
        let kind = service.kinds.get_mut(&kind).expect("a kind");
        kind.semantics = semantics;
    });
    Arc::new(next)
}

/// Passes a request to `vm-1` as a node of the former release does, which names kinds by
/// their labels only. Returns `true` if it runs.
fn is_admitted(mesh: &mut Mesh, request: HttpRequest, delivery: Delivery) -> bool {
    let runs = mesh.history.len();
    let handover = Handover {
        from: name("vm-2"),
        version: ordering(&["glasgow"]).version,
        upstream: "ordering-1".parse().expect("valid upstream"),
        kind: KindId {
            service: "ordering".parse().expect("valid service"),
            kind: "main".parse().expect("valid kind"),
        },
        delivery,
        remaining: std::time::Duration::from_secs(1),
        depth: Depth::default(),
        fingerprint: Digest::of(&request.path),
        crashed_vms: Vec::new(),
        max_wait: None,
        statement: None,
        workspace_priority: None,
        caller_priority: None,
        earlier_calls: 0,
        request,
    };
    let event = RequestEvent::Received {
        inbound: InboundId(runs as u64 + 1),
        request: Box::new(handover).into(),
    };
    mesh.send("vm-1", event);
    mesh.history.len() > runs
}

/// Guards against refusals of all requests from nodes of the former release, and against
/// their taking an order for a request that may be repeated.
#[test]
fn former_release() {
    let mut mesh = Mesh::new(&Arc::new(shared_label(&["glasgow", "perth"])));
    assert!(is_admitted(&mut mesh, stock(), Delivery::Repeatable));
    assert!(is_admitted(&mut mesh, order(), Delivery::Once));
    assert!(!is_admitted(&mut mesh, order(), Delivery::Repeatable));
    let elsewhere = HttpRequest {
        path: "/none".into(),
        ..order()
    };
    assert!(!is_admitted(&mut mesh, elsewhere, Delivery::Once));
}

/// Guards against kinds of one label that count as one.
#[test]
fn separate_counts() {
    let mut mesh = Mesh::new(&Arc::new(shared_label(&["glasgow"])));
    mesh.call("vm-1", order());
    mesh.call("vm-1", stock());
    mesh.call("vm-1", stock());
    let kinds = mesh.status("vm-1").kinds;
    let asked: Vec<_> = kinds.values().map(|counts| counts.asked).collect();
    assert_eq!(asked.iter().sum::<u64>(), 3);
    assert_eq!(asked.len(), 2, "{kinds:?}");
}

/// Guards against a second run of a request that a new configuration forbids to repeat.
#[test]
fn stricter_configuration() {
    let first = ordering(&["glasgow", "perth", "stirling"]);
    let mut mesh = Mesh::new(&Arc::new(first.clone()));
    let call = mesh.call("vm-1", stock());
    let next = with_semantics(&first, "stock", Semantics::AtMostOnce);
    mesh.send("vm-1", RequestEvent::Configured(next));
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Broken);
    assert!(matches!(mesh.answers[&call], Answer::Unknown { .. }));
    assert_eq!(mesh.history.len(), 1);
}

/// Guards against a second run of an order after a configuration that allows repeats.
#[test]
fn looser_configuration() {
    let first = ordering(&["glasgow", "perth", "stirling"]);
    let mut mesh = Mesh::new(&Arc::new(first.clone()));
    let call = mesh.call("vm-1", order());
    let next = with_semantics(&first, "order", Semantics::Idempotent);
    mesh.send_all(&RequestEvent::Configured(next));
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Broken);
    assert!(matches!(mesh.answers[&call], Answer::Unknown { .. }));
    assert_eq!(mesh.history.len(), 1);
}
