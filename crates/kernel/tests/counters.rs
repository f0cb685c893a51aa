//! Counters of request outcomes.

mod common;

use std::sync::Arc;

use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Phase;
use celeryshore_kernel::Unknown;

use crate::common::Mesh;
use crate::common::deployment::keyed;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::response;

#[test]
fn counts_by_outcome() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    mesh.call("vm-1", keyed("order-17"));
    mesh.answer("ordered");
    mesh.call("vm-1", order());
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Broken);
    for _ in 0..7 {
        mesh.call("vm-1", stock());
    }
    let status = mesh.status("vm-1");
    assert_eq!(status.counters.answered, 1);
    assert_eq!(status.counters.unknown[&Unknown::TargetLost], 1);
    assert_eq!(status.counters.refused[&NotRun::ColdStart], 1);
    assert_eq!(status.counters.runs, 4);
    assert_eq!((status.calls, status.queue, status.keys), (6, 4, 1));
    assert_eq!((status.load.limit, status.load.phase), (2, Phase::Cold));
}

/// Requests, failures and refusals at a target are counted by kind.
#[test]
fn counts_by_kind() {
    let mut mesh = Mesh::new(&Arc::new(ordering(&["glasgow"])));
    for _ in 0..7 {
        mesh.call("vm-1", stock());
    }
    mesh.advance(100);
    let run = mesh.runs[0].clone();
    mesh.finish(&run, Outcome::Answered(response(500, "")));
    mesh.advance(900);
    mesh.call("vm-1", order());
    let stock = &mesh.status("vm-1").kinds["ordering/stock"];
    assert_eq!((stock.asked, stock.failed), (7, 1));
    assert_eq!(stock.refused[&NotRun::ColdStart], 1);
    assert_eq!(mesh.status("vm-1").kinds["ordering/order"].asked, 1);
    let summary = mesh.summaries.iter().find(|s| s.counts.failed == 1);
    assert!(
        summary.is_some_and(|s| s.slots_used() > 0.0),
        "{:?}",
        mesh.summaries
    );
}
