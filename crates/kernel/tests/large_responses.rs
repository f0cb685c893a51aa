//! Large responses, which need the network links of their targets' VMs longer than a slot.

mod common;

use std::sync::Arc;
use std::time::Duration;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_model::Semantics;
use celeryshore_model::Slots;
use celeryshore_model::Snapshot;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::response;

/// Size of a download. The link sends ten of them a second.
const DOWNLOAD_BYTES: usize = 100_000;
/// Rate of the links; nine tenths are for large responses.
const LINK: &str = "8.888889Mbit/s";
const DOWNLOADS_PER_SECOND: usize = 10;
const TARGET_LATENCY: Duration = Duration::from_millis(400);

/// Returns a configuration in which the requests for stock are downloads.
fn downloads(zones: &[&str]) -> Snapshot {
    let mut snapshot = ordering(zones);
    tune(&mut snapshot, |s| {
        s.limits.slots = Slots::new(50);
        s.limits.cold_slots = Slots::new(50);
        s.limits.queue = Slots::new(50);
        for kind in s.kinds.values_mut() {
            kind.target_latency = Some(TARGET_LATENCY);
        }
        let stock = s.kinds.get_mut(&"stock".parse().expect("valid kind"));
        stock.expect("kind").semantics = Semantics::Download;
    });
    snapshot
}

fn mesh(snapshot: Snapshot) -> Mesh {
    let snapshot = Arc::new(snapshot);
    let mut mesh = Mesh::empty();
    mesh.terms.link = Some(LINK.parse().expect("valid rate"));
    let vms: Vec<_> = snapshot.upstreams.values().map(|u| u.vm.clone()).collect();
    for vm in &vms {
        mesh.start(vm, &snapshot);
    }
    mesh.advance(200);
    mesh
}

fn finish_all(mesh: &mut Mesh) {
    while let Some(run) = mesh.runs.first().cloned() {
        let body = "x".repeat(DOWNLOAD_BYTES);
        mesh.finish(&run, Outcome::Answered(response(200, &body)));
    }
}

fn is_refused(mesh: &Mesh, call: CallId) -> bool {
    let reason = NotRun::Overloaded;
    matches!(&mesh.answers.get(&call), Some(Answer::NotRun { reason: r, .. }) if *r == reason)
}

/// Load pattern: three times as many downloads as a link can send, while the slots of
/// the targets are free. Those that would come too late are refused at once.
#[test]
fn full_link() {
    const SECONDS: usize = 4;
    let mut mesh = mesh(downloads(&["glasgow", "perth"]));
    for vm in ["vm-1", "vm-2"] {
        mesh.call(vm, stock());
    }
    finish_all(&mut mesh);
    mesh.advance(1_000);
    let (mut answered, mut refused) = (0, 0);
    for _ in 0..SECONDS * 30 {
        let call = mesh.call("vm-1", stock());
        mesh.advance(33);
        finish_all(&mut mesh);
        answered += usize::from(matches!(mesh.answers.get(&call), Some(Answer::Response(_))));
        refused += usize::from(is_refused(&mesh, call));
    }
    assert_eq!(answered + refused, SECONDS * 30);
    // All responses pass the link between the forwarding node and its callers.
    let capacity = DOWNLOADS_PER_SECOND * SECONDS;
    assert!(answered <= capacity + DOWNLOADS_PER_SECOND, "{answered}");
    assert!(answered >= capacity * 3 / 4, "{answered}");
    let order = mesh.call("vm-1", order());
    finish_all(&mut mesh);
    assert!(
        matches!(mesh.answers[&order], Answer::Response(_)),
        "small responses do not wait"
    );
}

/// Load pattern: downloads that the own zone serves later than at once, but in time. A
/// small request goes to another zone then, a download does not.
#[test]
fn own_zone() {
    let mut mesh = mesh(downloads(&["glasgow", "glasgow", "perth"]));
    for _ in 0..3 {
        mesh.call("vm-1", stock());
        finish_all(&mut mesh);
        mesh.advance(1_000);
    }
    let before = mesh.history.len();
    for _ in 0..5 {
        mesh.call("vm-1", stock());
        finish_all(&mut mesh);
    }
    let vms: Vec<_> = mesh.history[before..].iter().map(|run| &run.vm).collect();
    assert!(vms.iter().all(|vm| vm.as_str() != "vm-3"), "{vms:?}");
    for _ in 0..12 {
        mesh.call("vm-1", stock());
        finish_all(&mut mesh);
    }
    let mut later = mesh.history[before..].iter();
    assert!(
        later.any(|run| run.vm.as_str() == "vm-3"),
        "another zone serves what the own zone cannot serve in time"
    );
}
