//! Concurrency limit of a target during and after cold start.

mod common;

use std::sync::Arc;

use celeryshore_kernel::Outcome;
use celeryshore_kernel::Phase;
use celeryshore_kernel::RequestEvent;

use crate::common::Mesh;
use crate::common::Run;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::response;

const COLD_SLOTS: usize = 2;
const SLOTS: usize = 6;
const SERVICE_TIME_MS: u64 = 20;

fn mesh() -> Mesh {
    Mesh::new(&Arc::new(ordering(&["glasgow"])))
}

/// Keeps the target under full load for `rounds` rounds of responses. Returns the maximum
/// number of concurrent runs.
fn load(mesh: &mut Mesh, rounds: usize, service_time_ms: u64) -> usize {
    let mut peak = 0;
    for _ in 0..rounds {
        fill(mesh);
        peak = peak.max(mesh.runs.len());
        mesh.advance(service_time_ms);
        for run in mesh.runs.clone() {
            mesh.finish(&run, Outcome::Answered(response(200, "")));
        }
    }
    peak
}

fn fill(mesh: &mut Mesh) -> Vec<Run> {
    for _ in 0..10 {
        mesh.call("vm-1", stock());
    }
    mesh.runs.clone()
}

fn warm_mesh() -> Mesh {
    let mut mesh = mesh();
    load(&mut mesh, 200, SERVICE_TIME_MS);
    assert_eq!(fill(&mut mesh).len(), SLOTS);
    mesh
}

#[test]
fn new_node() {
    let mut mesh = mesh();
    assert_eq!(fill(&mut mesh).len(), COLD_SLOTS);
}

#[test]
fn gradual_ramp() {
    let mut mesh = mesh();
    assert_eq!(load(&mut mesh, 2, SERVICE_TIME_MS), COLD_SLOTS);
    let early_peak = load(&mut mesh, 15, SERVICE_TIME_MS);
    assert!((COLD_SLOTS..SLOTS).contains(&early_peak), "{early_peak}");
    assert_eq!(load(&mut mesh, 200, SERVICE_TIME_MS), SLOTS);
}

#[test]
fn lightly_loaded_target() {
    let mut mesh = mesh();
    for _ in 0..200 {
        mesh.call("vm-1", stock());
        mesh.advance(SERVICE_TIME_MS);
        mesh.answer("");
    }
    let runs = fill(&mut mesh).len();
    assert!(
        runs <= COLD_SLOTS + 1,
        "{runs} concurrent runs without load"
    );
}

#[test]
fn repeated_shedding() {
    let mut mesh = warm_mesh();
    for run in mesh.runs.clone().into_iter().take(2) {
        mesh.finish(&run, Outcome::Answered(response(503, "")));
    }
    while mesh.runs.len() >= COLD_SLOTS {
        mesh.answer("");
    }
    fill(&mut mesh);
    assert_eq!(mesh.runs.len(), COLD_SLOTS);
}

#[test]
fn reset_connection() {
    let mut mesh = warm_mesh();
    for run in mesh.runs.clone() {
        mesh.finish(&run, Outcome::Broken);
    }
    assert_eq!(fill(&mut mesh).len(), COLD_SLOTS);
}

#[test]
fn slower_answers() {
    let mut mesh = warm_mesh();
    mesh.advance(SERVICE_TIME_MS * 10);
    for run in mesh.runs.clone().into_iter().take(3) {
        mesh.finish(&run, Outcome::Answered(response(200, "")));
    }
    while mesh.runs.len() > 1 {
        mesh.answer("");
    }
    fill(&mut mesh);
    assert_eq!(mesh.runs.len(), COLD_SLOTS);
}

#[test]
fn slower_second_ramp() {
    let mut mesh = warm_mesh();
    for run in mesh.runs.clone() {
        mesh.finish(&run, Outcome::Broken);
    }
    let peak = load(&mut mesh, 40, SERVICE_TIME_MS);
    assert!(peak < SLOTS, "{peak}");
    assert_eq!(load(&mut mesh, 400, SERVICE_TIME_MS), SLOTS);
}

#[test]
fn phase_reports() {
    let mut mesh = mesh();
    let claimed = Phase::Warm;
    mesh.send("vm-1", RequestEvent::PhaseReported { claimed });
    assert_eq!(
        fill(&mut mesh).len(),
        COLD_SLOTS,
        "a report never raises the limit"
    );

    let mut mesh = warm_mesh();
    let claimed = Phase::Cold;
    mesh.send("vm-1", RequestEvent::PhaseReported { claimed });
    mesh.answer("");
    fill(&mut mesh);
    assert_eq!(
        mesh.runs.len(),
        SLOTS,
        "recent responses outweigh the report"
    );

    for run in mesh.runs.clone() {
        mesh.finish(&run, Outcome::Answered(response(200, "")));
    }
    while !mesh.runs.is_empty() {
        mesh.answer("");
    }
    mesh.advance(2_000);
    mesh.send("vm-1", RequestEvent::PhaseReported { claimed });
    assert_eq!(
        fill(&mut mesh).len(),
        COLD_SLOTS,
        "a report lowers the limit of an idle target"
    );
}

#[test]
fn lasting_cold_report() {
    let mut mesh = mesh();
    let claimed = Phase::Cold;
    for _ in 0..10 {
        mesh.send("vm-1", RequestEvent::PhaseReported { claimed });
        assert_eq!(load(&mut mesh, 25, SERVICE_TIME_MS), COLD_SLOTS);
    }
    let claimed = Phase::Warm;
    mesh.send("vm-1", RequestEvent::PhaseReported { claimed });
    assert_eq!(load(&mut mesh, 200, SERVICE_TIME_MS), SLOTS);
}

#[test]
fn outdated_cold_report() {
    let mut mesh = mesh();
    let claimed = Phase::Cold;
    for _ in 0..100 {
        mesh.send("vm-1", RequestEvent::PhaseReported { claimed });
        load(&mut mesh, 25, SERVICE_TIME_MS);
    }
    assert_eq!(
        load(&mut mesh, 1, SERVICE_TIME_MS),
        SLOTS,
        "reports are ignored after a while"
    );
}

#[test]
fn failed_target() {
    let mut mesh = warm_mesh();
    for run in mesh.runs.clone() {
        mesh.finish(&run, Outcome::Answered(response(500, "")));
    }
    for _ in 0..20 {
        assert!(fill(&mut mesh).len() <= COLD_SLOTS);
        mesh.advance(SERVICE_TIME_MS);
        for run in mesh.runs.clone() {
            mesh.finish(&run, Outcome::Answered(response(500, "")));
        }
    }
}

#[test]
fn isolated_failures() {
    let mut mesh = warm_mesh();
    for run in mesh.runs.clone().iter().take(2) {
        mesh.finish(run, Outcome::Answered(response(500, "")));
    }
    assert_eq!(fill(&mut mesh).len(), SLOTS);
}
