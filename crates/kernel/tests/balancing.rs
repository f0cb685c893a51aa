//! Choice of the upstream by distance and load.

mod common;

use std::sync::Arc;
use std::time::Duration;

use celeryshore_kernel::Health;
use celeryshore_kernel::MemberState;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::ColdStart;
use celeryshore_model::Rate;
use celeryshore_model::Slots;
use celeryshore_model::Snapshot;

use crate::common::Mesh;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::deployment::without_upstream;
use crate::common::deployment::without_zone;
use crate::common::name;
use crate::common::response;

const WARM: Health = Health::Good {
    cold_for: Duration::ZERO,
};

/// Creates a mesh with one upstream in each zone and four slots per target.
fn mesh(zones: &[&str]) -> Mesh {
    let mut snapshot = ordering(zones);
    tune(&mut snapshot, |s| {
        s.limits.slots = Slots::new(4);
        s.limits.cold_slots = Slots::new(4);
    });
    Mesh::new(&Arc::new(snapshot))
}

/// Sends calls until a node has a recent report of no load from each upstream.
fn refresh(mesh: &mut Mesh, vm: &str, upstreams: usize) {
    for _ in 0..4 * upstreams {
        mesh.call(vm, stock());
    }
    while !mesh.runs.is_empty() {
        mesh.answer("");
    }
    mesh.history.clear();
}

fn runs_at(mesh: &Mesh, vm: &str) -> usize {
    mesh.history.iter().filter(|r| r.vm == name(vm)).count()
}

#[test]
fn near_zone() {
    let mut mesh = mesh(&["glasgow", "glasgow", "perth"]);
    refresh(&mut mesh, "vm-1", 3);
    for _ in 0..6 {
        mesh.call("vm-1", stock());
    }
    assert_eq!(runs_at(&mesh, "vm-3"), 0);
    assert!(runs_at(&mesh, "vm-1") >= 2);
    assert!(runs_at(&mesh, "vm-2") >= 2);
}

#[test]
fn spill_over() {
    let mut mesh = mesh(&["glasgow", "perth", "galashiels"]);
    refresh(&mut mesh, "vm-1", 3);
    for _ in 0..12 {
        mesh.call("vm-1", stock());
    }
    let order: Vec<_> = mesh.history.iter().map(|r| r.vm.as_str()).collect();
    let near = ["vm-1"; 4];
    let region = ["vm-3"; 4];
    let far = ["vm-2"; 4];
    assert_eq!(order, [near, region, far].concat(), "no call waited");
}

#[test]
fn even_spread() {
    let mut mesh = mesh(&["glasgow", "glasgow", "glasgow", "glasgow"]);
    refresh(&mut mesh, "vm-1", 4);
    for _ in 0..8 {
        mesh.call("vm-1", stock());
    }
    let counts = ["vm-1", "vm-2", "vm-3", "vm-4"].map(|vm| runs_at(&mesh, vm));
    assert!(counts.iter().all(|n| (1..=3).contains(n)), "{counts:?}");
}

#[test]
fn suspects_last() {
    let mut mesh = mesh(&["glasgow", "glasgow", "perth"]);
    refresh(&mut mesh, "vm-1", 3);
    mesh.observe("vm-2", MemberState::Suspect);
    for _ in 0..8 {
        mesh.call("vm-1", stock());
    }
    assert_eq!(runs_at(&mesh, "vm-2"), 0);
    while !mesh.runs.is_empty() {
        mesh.answer("");
    }
    mesh.observe("vm-1", MemberState::Dead);
    mesh.observe("vm-3", MemberState::Dead);
    mesh.call("vm-3", stock());
    let last = mesh.history.last().expect("at least one run");
    assert_eq!(
        last.vm,
        name("vm-3"),
        "a node ignores a report of its own death"
    );
}

#[test]
fn failing_upstream() {
    let mut mesh = mesh(&["glasgow", "perth", "perth"]);
    mesh.set_cut("vm-1", "vm-2", true);
    let mut snapshot = ordering(&["glasgow", "perth", "perth"]);
    snapshot.version.index.0 += 1;
    mesh.send_all(&RequestEvent::Configured(without_zone(
        &snapshot, "glasgow",
    )));
    for _ in 0..8 {
        mesh.call("vm-1", stock());
        mesh.answer("");
    }
    let wasted = mesh.handovers - 8;
    assert!(wasted <= 1, "{wasted} attempts over a broken link");
}

#[test]
fn failing_target() {
    let mut mesh = mesh(&["glasgow", "perth", "perth"]);
    let mut snapshot = ordering(&["glasgow", "perth", "perth"]);
    snapshot.version.index.0 += 1;
    mesh.send_all(&RequestEvent::Configured(without_zone(
        &snapshot, "glasgow",
    )));
    let mut failed = 0;
    for _ in 0..20 {
        mesh.call("vm-1", stock());
        let run = mesh.runs[0].clone();
        let fails = run.vm == name("vm-2");
        failed += usize::from(fails);
        let status = if fails { 500 } else { 200 };
        mesh.finish(&run, Outcome::Answered(response(status, "")));
    }
    assert!(
        failed <= 2,
        "{failed} of 20 calls to a target that fails at once"
    );
}

#[test]
fn cold_share() {
    let mut snapshot = ordering(&["glasgow", "perth", "perth", "perth"]);
    tune(&mut snapshot, |s| s.limits.cold_slots = Slots::new(3));
    let mut mesh = Mesh::new(&Arc::new(snapshot.clone()));
    let next = without_zone(&snapshot, "glasgow");
    mesh.send_all(&RequestEvent::Configured(next));
    for _ in 0..9 {
        mesh.call("vm-1", stock());
        mesh.answer("");
    }
    mesh.history.clear();
    for _ in 0..3 {
        mesh.call("vm-1", stock());
    }
    let counts = ["vm-2", "vm-3", "vm-4"].map(|vm| runs_at(&mesh, vm));
    assert_eq!(counts, [1, 1, 1], "one share of three at each cold target");
}

#[test]
fn old_report() {
    let mut mesh = mesh(&["glasgow", "perth", "perth"]);
    let snapshot = ordering(&["glasgow", "perth", "perth"]);
    mesh.send_all(&RequestEvent::Configured(without_zone(
        &snapshot, "glasgow",
    )));
    refresh(&mut mesh, "vm-1", 2);
    mesh.advance(900);
    mesh.call("vm-1", stock());
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Answered(response(200, "")));
    mesh.advance(900);
    mesh.call("vm-1", stock());
    assert_eq!(
        mesh.runs[0].vm, run.vm,
        "an old report doesn't count as idle"
    );
}

/// Guards against calls to a slow target that joins in cold start while two warm
/// ones have room, and against ignoring it once it is warm.
#[test]
fn joined_cold() {
    let mut all = ordering(&["glasgow", "glasgow", "glasgow"]);
    tune(&mut all, |s| {
        s.limits.slots = Slots::new(4);
        s.limits.cold_slots = Slots::new(4);
        s.limits.cold_start = Some(ColdStart {
            rate: Rate::from_per_mille(10_000),
            duration: Duration::from_secs(3),
        });
    });
    let first = without_upstream(&all, "vm-3");
    let mut mesh = Mesh::with(&all, &Arc::new(first));
    mesh.advance(1_500);
    for vm in ["vm-1", "vm-2"] {
        mesh.send(vm, RequestEvent::HealthChecked { health: WARM });
    }
    for _ in 0..16 {
        mesh.call("vm-1", stock());
        mesh.advance(100);
        mesh.answer("");
    }
    mesh.history.clear();
    let mut joined = all.clone();
    joined.version.index.0 += 2;
    set_cold(&mut joined, "vm-3", true);
    mesh.send_all(&RequestEvent::Configured(Arc::new(joined)));
    mesh.advance(1_500);
    let cold_for = Duration::from_secs(1);
    let health = Health::Good { cold_for };
    mesh.send("vm-3", RequestEvent::HealthChecked { health });
    for _ in 0..4 {
        mesh.call("vm-1", stock());
    }
    assert_eq!(runs_at(&mesh, "vm-3"), 0, "a cold target is slow");
    while !mesh.runs.is_empty() {
        mesh.answer("");
    }
    let mut warm = all;
    warm.version.index.0 += 3;
    mesh.send_all(&RequestEvent::Configured(Arc::new(warm)));
    mesh.send("vm-3", RequestEvent::HealthChecked { health: WARM });
    for _ in 0..4 {
        mesh.call("vm-1", stock());
    }
    assert!(
        runs_at(&mesh, "vm-3") >= 1,
        "a target is probed once it is warm"
    );
}

fn set_cold(snapshot: &mut Snapshot, vm: &str, is_cold: bool) {
    let of_vm = snapshot.upstreams.values_mut();
    of_vm
        .filter(|u| u.vm == name(vm))
        .for_each(|u| u.is_cold = is_cold);
}

/// Load pattern: a large service whose targets have one slot each, an eighth of them free.
/// A node that knows little about them finds a free one for three of four requests.
#[test]
fn few_free_targets() {
    const TARGETS: usize = 64;
    const CALLS: usize = 40;
    let mut snapshot = ordering(&["glasgow"; TARGETS]);
    tune(&mut snapshot, |s| {
        s.limits.slots = Slots::new(1);
        s.limits.cold_slots = Slots::new(1);
        s.limits.queue = Slots::new(0);
        for kind in s.kinds.values_mut() {
            kind.target_latency = Some(Duration::from_millis(600));
            kind.deadline = Duration::from_mins(10);
        }
    });
    let snapshot = Arc::new(snapshot);
    let mut mesh = Mesh::empty();
    mesh.terms.retry.exempts_node_refusals = true;
    let vms: Vec<_> = snapshot.upstreams.values().map(|u| u.vm.clone()).collect();
    for vm in &vms {
        mesh.start(vm, &snapshot);
    }
    mesh.advance(200);
    let occupied = TARGETS * 7 / 8;
    while mesh.runs.len() < occupied {
        mesh.call("vm-2", order());
    }
    let mut served = 0;
    for _ in 0..CALLS {
        // Reports of the targets' loads have aged.
        mesh.advance(1_200);
        mesh.call("vm-1", order());
        if mesh.runs.len() > occupied {
            served += 1;
            // Another target becomes free instead.
            let run = mesh.runs[0].clone();
            mesh.finish(&run, Outcome::Answered(response(200, "")));
        }
    }
    assert!(served >= CALLS * 3 / 4, "{served} of {CALLS}");
}
