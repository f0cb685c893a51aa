//! Targets with a rate limit during cold start, and their short queues.

mod common;

use std::sync::Arc;
use std::time::Duration;

use celeryshore_kernel::Answer;
use celeryshore_kernel::Health;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Phase;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::ColdStart;
use celeryshore_model::Incarnation;
use celeryshore_model::Priority;
use celeryshore_model::Rate;
use celeryshore_model::Slots;
use celeryshore_model::Snapshot;
use celeryshore_model::UpstreamState;

use crate::common::Mesh;
use crate::common::deployment::DEADLINE_MS;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::deployment::without_upstream;
use crate::common::name;
use crate::common::response;

/// Maximum rate of a target in cold start, in requests per second.
const COLD_RATE: usize = 10;
/// Steps of 100 ms per second.
const STEPS_PER_SECOND: usize = 10;

const WARM: Health = Health::Good {
    cold_for: Duration::ZERO,
};

fn snapshot(slots: u32) -> Snapshot {
    let mut snapshot = ordering(&["glasgow"]);
    tune(&mut snapshot, |s| {
        s.limits.slots = Slots::new(slots);
        s.limits.queue = Slots::new(100);
        s.limits.cold_start = Some(ColdStart {
            rate: Rate::from_per_mille(10_000),
            duration: Duration::from_secs(3),
        });
    });
    snapshot
}

/// Starts a node, and waits until it no longer takes its start for a freeze.
fn mesh(snapshot: Snapshot) -> Mesh {
    let mut mesh = Mesh::new(&Arc::new(snapshot));
    mesh.advance(200);
    mesh
}

/// Calls a cold target faster than its rate. Returns the requests that it got in each step.
fn overload(mesh: &mut Mesh, steps: usize) -> Vec<usize> {
    let mut counts = Vec::new();
    for _ in 0..steps {
        let before = mesh.history.len();
        for _ in 0..4 {
            mesh.call("vm-1", stock());
        }
        while !mesh.runs.is_empty() {
            mesh.answer("");
        }
        mesh.advance(100);
        counts.push(mesh.history.len() - before);
    }
    counts
}

fn max_per_second(counts: &[usize]) -> usize {
    let sums = counts.windows(STEPS_PER_SECOND).map(|w| w.iter().sum());
    sums.max().unwrap_or(0)
}

#[test]
fn cold_rate() {
    let mut mesh = mesh(snapshot(50));
    let counts = overload(&mut mesh, 30);
    let max = max_per_second(&counts);
    assert!((1..=COLD_RATE).contains(&max), "{counts:?}");
}

#[test]
fn restarted_node() {
    let snapshot = Arc::new(snapshot(50));
    let mut mesh = mesh(snapshot.as_ref().clone());
    let before = overload(&mut mesh, STEPS_PER_SECOND);
    mesh.start(&name("vm-1"), &snapshot);
    let after = overload(&mut mesh, STEPS_PER_SECOND);
    let counts = [before, after].concat();
    assert!(max_per_second(&counts) <= COLD_RATE, "{counts:?}");
}

/// Guards the rate limit across a restart: requests that the previous incarnation of the
/// node may have sent leave the window slice by slice.
#[test]
fn first_second() {
    let mut mesh = Mesh::new(&Arc::new(snapshot(50)));
    let counts = overload(&mut mesh, STEPS_PER_SECOND);
    let sent: usize = counts.iter().sum();
    assert!(sent >= COLD_RATE / 2, "{counts:?}");
    let quarter: usize = counts[..2].iter().sum();
    assert_eq!(quarter, 0, "{counts:?}");
}

#[test]
fn healthy_target() {
    let mut mesh = mesh(snapshot(50));
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    for _ in 0..40 {
        mesh.call("vm-1", stock());
    }
    assert_eq!(mesh.runs.len(), 40);
}

#[test]
fn broken_connection() {
    let mut mesh = mesh(snapshot(50));
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    mesh.call("vm-1", order());
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Broken);
    let counts = overload(&mut mesh, STEPS_PER_SECOND);
    assert!(max_per_second(&counts) <= COLD_RATE, "{counts:?}");
}

#[test]
fn reported_cold_start() {
    let mut mesh = mesh(snapshot(50));
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    let cold_for = Duration::from_secs(2);
    mesh.send("vm-1", RequestEvent::ColdStartReported { cold_for });
    let counts = overload(&mut mesh, 2 * STEPS_PER_SECOND);
    assert!(max_per_second(&counts) <= COLD_RATE, "{counts:?}");
    let counts = overload(&mut mesh, STEPS_PER_SECOND);
    assert!(max_per_second(&counts) > COLD_RATE, "{counts:?}");
}

/// A reported cold start ends by itself, without another health check.
#[test]
fn end_of_cold_start() {
    let mut mesh = mesh(snapshot(50));
    let cold_for = Duration::from_secs(2);
    let health = Health::Good { cold_for };
    mesh.send("vm-1", RequestEvent::HealthChecked { health });
    assert_eq!(mesh.status("vm-1").load.phase, Phase::Cold);
    mesh.advance(2_100);
    mesh.send("vm-1", RequestEvent::Tick);
    assert_eq!(mesh.status("vm-1").load.phase, Phase::Warm);
}

#[test]
fn urgent_first() {
    let mut snapshot = snapshot(1);
    tune(&mut snapshot, |s| {
        for kind in s.kinds.values_mut() {
            let is_order = kind.name.label() == "order";
            kind.priority = Priority::new(if is_order { 0 } else { 2 });
        }
    });
    let mut mesh = mesh(snapshot);
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    mesh.call("vm-1", stock());
    mesh.call("vm-1", stock());
    mesh.call("vm-1", order());
    mesh.answer("");
    assert_eq!(mesh.runs[0].request.path, order().path);
}

#[test]
fn short_queue() {
    let mut snapshot = snapshot(1);
    tune(&mut snapshot, |s| {
        for kind in s.kinds.values_mut() {
            kind.target_latency = Some(Duration::from_millis(200));
        }
    });
    let mut mesh = mesh(snapshot);
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    for _ in 0..40 {
        mesh.call("vm-1", stock());
        mesh.advance(40);
        mesh.answer("");
    }
    let calls: Vec<_> = (0..20).map(|_| mesh.call("vm-1", stock())).collect();
    let refused = calls.iter().filter(|call| {
        let answer = mesh.answers.get(call);
        matches!(answer, Some(Answer::NotRun { .. }))
    });
    // One request runs, and two may wait behind it, for at most half of 200 ms.
    assert!(
        refused.count() >= 16,
        "the other requests are refused at once"
    );
}

/// Guards against queueing at a target that has slowed down: the ages of its running
/// requests show it before their responses.
#[test]
fn slow_target() {
    let mut snapshot = snapshot(4);
    tune(&mut snapshot, |s| {
        for kind in s.kinds.values_mut() {
            kind.target_latency = Some(Duration::from_millis(200));
        }
    });
    let mut mesh = mesh(snapshot);
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    for _ in 0..8 {
        mesh.call("vm-1", stock());
        mesh.advance(40);
        mesh.answer("");
    }
    for _ in 0..4 {
        mesh.call("vm-1", stock());
    }
    mesh.advance(800);
    let call = mesh.call("vm-1", stock());
    assert!(
        matches!(mesh.answers.get(&call), Some(Answer::NotRun { .. })),
        "its expected wait is more than half of 200 ms"
    );
}

#[test]
fn too_late_to_start() {
    let mut mesh = mesh(snapshot(1));
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    mesh.call("vm-1", stock());
    let waiting = mesh.call("vm-1", stock());
    mesh.advance(DEADLINE_MS - 12);
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Answered(response(200, "")));
    assert!(mesh.runs.is_empty(), "not enough time left to start");
    assert!(matches!(mesh.answers[&waiting], Answer::NotRun { .. }));
}

/// Guards against requests at a leaving target: nodes with an older view go on choosing it,
/// so its own node has to refuse them (incident inc-5d96).
#[test]
fn leaving_target() {
    let mut snapshot = ordering(&["glasgow", "glasgow"]);
    tune(&mut snapshot, |s| {
        s.limits.slots = Slots::new(1);
        s.limits.cold_start = Some(ColdStart {
            rate: Rate::from_per_mille(10_000),
            duration: Duration::from_secs(3),
        });
    });
    let mut mesh = mesh(snapshot.clone());
    mesh.advance(1_500);
    for vm in ["vm-1", "vm-2"] {
        mesh.send(vm, RequestEvent::HealthChecked { health: WARM });
    }
    for _ in 0..4 {
        mesh.call("vm-2", stock());
    }
    let runs_at_first = |mesh: &Mesh| mesh.history.iter().filter(|r| r.vm == name("vm-1")).count();
    assert_eq!(runs_at_first(&mesh), 1, "the others are queued");
    let mut leaving = snapshot;
    leaving.version.index.0 += 1;
    for upstream in leaving.upstreams.values_mut() {
        if upstream.vm == name("vm-1") {
            upstream.state = UpstreamState::Leaving;
        }
    }
    mesh.send("vm-1", RequestEvent::Configured(Arc::new(leaving)));
    while !mesh.runs.is_empty() {
        mesh.answer("");
    }
    for _ in 0..8 {
        mesh.call("vm-2", stock());
        mesh.advance(10);
        while !mesh.runs.is_empty() {
            mesh.answer("");
        }
    }
    assert_eq!(runs_at_first(&mesh), 1, "no further request reaches it");
}

/// Guards against a delay after a restart: a target that is down leaves the platform's
/// list. The next incarnation at its address serves as soon as a health check shows that it
/// is warm.
#[test]
fn returned_target() {
    let mut snapshot = snapshot(1);
    tune(&mut snapshot, |s| {
        s.health_path = Some("/health".to_owned());
    });
    let mut mesh = mesh(snapshot.clone());
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    let health = Health::Unreachable;
    mesh.send("vm-1", RequestEvent::HealthChecked { health });
    let removed = without_upstream(&snapshot, "vm-1");
    mesh.send("vm-1", RequestEvent::Configured(Arc::new(removed)));
    mesh.advance(5_000);
    let mut back = snapshot;
    back.version.index.0 += 2;
    for upstream in back.upstreams.values_mut() {
        upstream.incarnation = Incarnation(7);
    }
    mesh.health_checks = 0;
    mesh.send("vm-1", RequestEvent::Configured(Arc::new(back)));
    mesh.advance(10);
    assert_eq!(mesh.health_checks, 1, "the new incarnation is checked");
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    mesh.call("vm-1", stock());
    assert_eq!(mesh.runs.len(), 1);
}

/// Connections that break while a health check is in progress don't cause another one.
#[test]
fn single_health_check() {
    let mut snapshot = snapshot(8);
    tune(&mut snapshot, |s| {
        s.health_path = Some("/health".to_owned());
    });
    let mut mesh = mesh(snapshot);
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    for _ in 0..4 {
        mesh.call("vm-1", order());
    }
    mesh.health_checks = 0;
    for run in mesh.runs.clone() {
        mesh.finish(&run, Outcome::Broken);
        mesh.advance(1);
    }
    assert_eq!(mesh.health_checks, 1);
}

/// Guards against runs at the wrong target: a request that was queued for one target must
/// not run at the next target at its address (`hunt`, grown scsa-mesh, hunt-6474-3).
#[test]
fn replaced_target() {
    let old = snapshot(1);
    let mut mesh = mesh(old.clone());
    mesh.send("vm-1", RequestEvent::HealthChecked { health: WARM });
    mesh.call("vm-1", stock());
    let waiting = mesh.call("vm-1", stock());
    let mut new = old;
    new.version.index.0 += 1;
    let (_, mut upstream) = new.upstreams.pop_first().expect("one upstream");
    tune(&mut new, |s| s.upstreams.clear());
    let (_, ordering) = new.services.first_key_value().expect("one service");
    let mut other = ordering.clone();
    upstream.name = "other-1".parse().expect("valid upstream");
    upstream.service = "other".parse().expect("valid service");
    other.name = upstream.service.clone();
    other.upstreams = vec![upstream.name.clone()];
    new.services.insert(other.name.clone(), other);
    new.upstreams.insert(upstream.name.clone(), upstream);
    mesh.send("vm-1", RequestEvent::Configured(Arc::new(new)));
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Answered(response(200, "")));
    assert!(mesh.runs.is_empty(), "it was queued for the other target");
    assert!(matches!(mesh.answers[&waiting], Answer::NotRun { .. }));
}

/// A rate without a sensible bound in a configuration must not use up the memory.
#[test]
fn huge_rate() {
    let mut snapshot = snapshot(4);
    tune(&mut snapshot, |s| {
        s.limits.cold_start = Some(ColdStart {
            rate: Rate::from_per_mille(u64::MAX),
            duration: Duration::from_secs(3),
        });
    });
    let mut mesh = mesh(snapshot);
    mesh.advance(1_500);
    mesh.call("vm-1", stock());
    assert_eq!(mesh.history.len(), 1);
}
