//! Workspaces: the check of keys at the forwarding node, and priorities at the admitting
//! node.

mod common;

use std::sync::Arc;
use std::time::Duration;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::Delivery;
use celeryshore_kernel::Handover;
use celeryshore_kernel::InboundId;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::Depth;
use celeryshore_model::Digest;
use celeryshore_model::HttpRequest;
use celeryshore_model::KeyDigest;
use celeryshore_model::KindId;
use celeryshore_model::Priority;
use celeryshore_model::Snapshot;
use celeryshore_model::Workspace;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::resent;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::deployment::with;
use crate::common::deployment::without_zone;
use crate::common::name;

const KEY: &str = "celeryshore-key";
const WORKSPACE: &str = "celeryshore-workspace";

/// Adds a workspace with one key, or replaces its key.
fn set_key(snapshot: &mut Snapshot, workspace: &str, key: &str) {
    snapshot.version.index.0 += 1;
    let workspace = Workspace {
        name: workspace.parse().expect("valid workspace"),
        keys: [KeyDigest::of(key.as_bytes())].into(),
        priority: Priority::new(1),
        quota: None,
    };
    snapshot
        .workspaces
        .insert(workspace.name.clone(), workspace);
}

/// Returns a configuration in which only orders are public.
fn with_workspaces(zones: &[&str]) -> Snapshot {
    let mut snapshot = ordering(zones);
    snapshot.routes[1].is_public = true;
    set_key(&mut snapshot, "brewery", "hops");
    set_key(&mut snapshot, "dairy", "curd");
    snapshot
}

fn keyed_stock(key: &str) -> HttpRequest {
    with(stock(), KEY, key)
}

fn refusal(mesh: &Mesh, call: CallId) -> NotRun {
    match &mesh.answers[&call] {
        Answer::NotRun { reason, .. } => *reason,
        other => panic!("unexpected answer: {other:?}"),
    }
}

fn fields<'a>(request: &'a HttpRequest, name: &str) -> Vec<&'a [u8]> {
    let fields = request.headers.iter().filter(|h| h.name == name);
    fields.map(|h| &*h.value).collect()
}

/// A request whose key is not exactly one known key must not run.
#[test]
fn malformed_keys() {
    let mut mesh = Mesh::new(&Arc::new(with_workspaces(&["glasgow"])));
    let long = "h".repeat(10_000);
    let mut requests: Vec<_> = ["", "Hops", "hop", "hops ", "hops,hops", &long]
        .map(keyed_stock)
        .into();
    requests.push(stock());
    requests.push(with(keyed_stock("hops"), KEY, "hops"));
    requests.push(with(stock(), WORKSPACE, "brewery"));
    for request in requests {
        let call = mesh.call("vm-1", request);
        assert_eq!(refusal(&mesh, call), NotRun::UnknownKey);
    }
    assert!(mesh.history.is_empty());
    assert_eq!(mesh.status("vm-1").counters.refused[&NotRun::UnknownKey], 9);
}

/// The target trusts the name of the workspace, so a caller must not be able to set it.
#[test]
fn forged_workspace() {
    let mut mesh = Mesh::new(&Arc::new(with_workspaces(&["glasgow"])));
    let forged = with(keyed_stock("curd"), WORKSPACE, "brewery");
    mesh.call("vm-1", with(forged, WORKSPACE, "bakery"));
    let request = &mesh.runs[0].request;
    assert_eq!(fields(request, WORKSPACE), [b"dairy"]);
    assert!(fields(request, KEY).is_empty());
}

/// A public route works without a key, and passes on neither a key nor a workspace.
#[test]
fn public_route() {
    let mut mesh = Mesh::new(&Arc::new(with_workspaces(&["glasgow"])));
    for key in ["hops", "unknown"] {
        let request = with(order(), KEY, key);
        mesh.call("vm-1", with(request, WORKSPACE, "dairy"));
        let request = mesh.answer("ordered").request;
        assert!(fields(&request, WORKSPACE).is_empty());
        assert!(fields(&request, KEY).is_empty());
    }
}

/// Without workspaces, both fields are passed on as any other.
#[test]
fn no_workspaces() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    mesh.call("vm-1", with(keyed_stock("hops"), WORKSPACE, "brewery"));
    let request = &mesh.runs[0].request;
    assert_eq!(fields(request, KEY), [b"hops"]);
    assert_eq!(fields(request, WORKSPACE), [b"brewery"]);
}

/// A missing route is reported before a wrong key, so that a 401 means the key.
#[test]
fn route_first() {
    let mut mesh = Mesh::new(&Arc::new(with_workspaces(&["glasgow"])));
    let lost = HttpRequest {
        path: "/stockings".into(),
        ..stock()
    };
    let call = mesh.call("vm-1", lost);
    assert_eq!(refusal(&mesh, call), NotRun::NoRoute);
}

/// A node that may lack the newest version cannot say that a key is unknown, and serves
/// the keys that it knows.
#[test]
fn outdated_view() {
    let mut mesh = Mesh::new(&Arc::new(with_workspaces(&["glasgow"])));
    for (is_outdated, expected) in [(true, NotRun::Behind), (false, NotRun::UnknownKey)] {
        mesh.set_outdated("vm-1", is_outdated);
        let call = mesh.call("vm-1", keyed_stock("malt"));
        assert_eq!(refusal(&mesh, call), expected);
    }
    mesh.set_outdated("vm-1", true);
    mesh.call("vm-1", keyed_stock("hops"));
    assert_eq!(mesh.runs.len(), 1);
}

/// A node that is to fail closed accepted keys of a view of any age.
#[test]
fn fail_closed() {
    const EXPIRY: Duration = Duration::from_secs(5);
    let mut mesh = Mesh::empty();
    mesh.terms.key_expiry = Some(EXPIRY);
    mesh.start_unconfigured(&name("vm-1"), "glasgow");
    let snapshot = Arc::new(with_workspaces(&["glasgow"]));
    mesh.send("vm-1", RequestEvent::Configured(snapshot));
    for age in [None, Some(EXPIRY + Duration::from_millis(1))] {
        mesh.set_view_age("vm-1", age);
        let call = mesh.call("vm-1", keyed_stock("hops"));
        assert_eq!(refusal(&mesh, call), NotRun::Behind);
    }
    mesh.call("vm-1", order());
    mesh.set_view_age("vm-1", Some(EXPIRY));
    mesh.call("vm-1", keyed_stock("hops"));
    assert_eq!(mesh.runs.len(), 2, "a public route and a fresh view");
}

/// A changed key holds for the next request, and an older version never returns.
#[test]
fn changed_key() {
    let first = with_workspaces(&["glasgow"]);
    let mut next = first.clone();
    set_key(&mut next, "brewery", "malt");
    let mut mesh = Mesh::new(&Arc::new(first.clone()));
    let admitted = mesh.call("vm-1", keyed_stock("hops"));
    for snapshot in [next, first] {
        let snapshot = Arc::new(snapshot);
        mesh.send("vm-1", RequestEvent::Configured(snapshot));
        let call = mesh.call("vm-1", keyed_stock("hops"));
        assert_eq!(refusal(&mesh, call), NotRun::UnknownKey);
        mesh.call("vm-1", keyed_stock("malt"));
        mesh.answer("40");
    }
    assert_eq!(mesh.runs.len(), 1);
    assert!(matches!(mesh.answers[&admitted], Answer::Response(_)));
}

/// A restarted node has no keys until it has a configuration.
#[test]
fn restarted_node() {
    let snapshot = Arc::new(with_workspaces(&["glasgow"]));
    let mut mesh = Mesh::new(&snapshot);
    mesh.kill("vm-1");
    mesh.start_unconfigured(&name("vm-1"), "glasgow");
    let call = mesh.call("vm-1", keyed_stock("hops"));
    assert_eq!(refusal(&mesh, call), NotRun::Learning);
    mesh.send("vm-1", RequestEvent::Configured(snapshot));
    mesh.call("vm-1", keyed_stock("hops"));
    assert_eq!(mesh.runs.len(), 1);
}

/// The key ends at the node that the caller connected to.
#[test]
fn remote_target() {
    let snapshot = with_workspaces(&["glasgow", "perth"]);
    let mut mesh = Mesh::new(&without_zone(&snapshot, "glasgow"));
    mesh.blocked_vms.insert(name("vm-2"));
    mesh.call("vm-1", keyed_stock("hops"));
    let message = format!("{:?}", mesh.blocked_messages);
    assert!(message.contains("brewery"), "{message}");
    assert!(!message.contains("hops"), "{message}");
}

/// A resend whose key was withdrawn in the meantime may have run before.
#[test]
fn refused_resend() {
    let mut snapshot = with_workspaces(&["glasgow"]);
    snapshot.routes[1].is_public = false;
    let mut mesh = Mesh::new(&Arc::new(snapshot));
    let first = mesh.call("vm-1", with(resent("order-17", 1), KEY, "malt"));
    assert_eq!(refusal(&mesh, first), NotRun::UnknownKey);
    let second = mesh.call("vm-1", with(resent("order-17", 2), KEY, "malt"));
    assert!(matches!(mesh.answers[&second], Answer::Unknown { .. }));
}

/// Returns the configuration with the workspace `dairy` less urgent than `brewery`, and
/// the public kind less urgent than the other.
fn with_priorities() -> Snapshot {
    let mut snapshot = with_workspaces(&["glasgow"]);
    let dairy = snapshot
        .workspaces
        .get_mut(&"dairy".parse().expect("valid workspace"));
    dairy.expect("a workspace").priority = Priority::new(2);
    tune(&mut snapshot, |s| {
        let order = s.kinds.get_mut(&"order".parse().expect("valid kind"));
        order.expect("a kind").priority = Priority::new(9);
    });
    snapshot
}

/// Takes the two slots of the cold target.
fn fill(mesh: &mut Mesh) {
    for _ in 0..2 {
        mesh.call("vm-1", keyed_stock("hops"));
    }
    assert_eq!(mesh.runs.len(), 2);
}

/// Ends all runs and returns the workspace of each request that started since
/// [`fill`], in the order of their starts.
fn started(mesh: &mut Mesh) -> Vec<String> {
    while !mesh.runs.is_empty() {
        mesh.answer("40");
    }
    let started = mesh.history[2..].iter();
    let names = started.map(|run| fields(&run.request, WORKSPACE).concat());
    names
        .map(|name| String::from_utf8(name).expect("a name"))
        .collect()
}

/// By the priority of kinds alone, the stock requests of a less urgent workspace would go
/// before the calls of targets.
#[test]
fn urgent_workspace() {
    let mut mesh = Mesh::new(&Arc::new(with_priorities()));
    fill(&mut mesh);
    mesh.call("vm-1", keyed_stock("curd"));
    mesh.call("vm-1", order());
    mesh.call("vm-1", keyed_stock("hops"));
    assert_eq!(started(&mut mesh), ["brewery", "", "dairy"]);
}

/// A node that does not know workspaces passes on both header fields.
#[test]
fn old_node() {
    let snapshot = with_priorities();
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    fill(&mut mesh);
    mesh.call("vm-1", keyed_stock("curd"));
    let handover = Handover {
        from: name("vm-9"),
        version: snapshot.version,
        upstream: "ordering-1".parse().expect("valid upstream"),
        kind: KindId {
            service: "ordering".parse().expect("valid service"),
            kind: "stock".parse().expect("valid kind"),
        },
        delivery: Delivery::Repeatable,
        remaining: Duration::from_secs(1),
        depth: Depth::default(),
        fingerprint: Digest::default(),
        crashed_vms: Vec::new(),
        max_wait: None,
        statement: None,
        workspace_priority: None,
        caller_priority: None,
        earlier_calls: 0,
        request: with(keyed_stock("hops"), WORKSPACE, "forged"),
    };
    let request = Box::new(handover).into();
    let inbound = InboundId(1_000);
    mesh.send("vm-1", RequestEvent::Received { inbound, request });
    assert_eq!(started(&mut mesh), ["", "dairy"]);
    assert!(
        mesh.history
            .iter()
            .all(|run| fields(&run.request, KEY).is_empty())
    );
}
