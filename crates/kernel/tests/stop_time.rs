//! Requests that can't be answered before a stopped process is killed.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::Terms;
use celeryshore_model::HttpRequest;
use celeryshore_model::Slots;
use celeryshore_model::Snapshot;
use proptest::prelude::*;

use crate::common::Mesh;
use crate::common::Run;
use crate::common::deployment::keyed;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::stock;
use crate::common::deployment::tune;
use crate::common::deployment::with;
use crate::common::name;

const GRACE_MS: u64 = 6_000;
/// Deadline of the kinds, as long as the grace period.
const DEADLINE_MS: u64 = 6_000;
/// Longest time for which a node serves if only `grace` is set.
const LONGEST_MS: u64 = 5_700;
/// Slots of a target.
const SLOTS: u32 = 32;
const REQUEST_ID: &str = "x-request-id";

fn slow_ordering(zones: &[&str]) -> Snapshot {
    with_slots(zones, SLOTS)
}

fn with_slots(zones: &[&str], slots: u32) -> Snapshot {
    let mut snapshot = ordering(zones);
    tune(&mut snapshot, |service| {
        service.limits.slots = Slots::new(slots);
        service.limits.cold_slots = Slots::new(slots);
        for kind in service.kinds.values_mut() {
            kind.deadline = Duration::from_millis(DEADLINE_MS);
        }
    });
    snapshot
}

fn start(snapshot: Snapshot, grace_ms: u64) -> Mesh {
    let snapshot = Arc::new(snapshot);
    let mut mesh = Mesh::empty();
    let mut terms = Terms::default();
    terms.dialect.request_id = Some(Bytes::from_static(REQUEST_ID.as_bytes()));
    terms.dialect.call_separator = Some(b'.');
    terms.stop.longest = Duration::from_millis(LONGEST_MS);
    terms.stop.grace = Some(Duration::from_millis(grace_ms));
    mesh.terms = terms;
    for vm in snapshot.upstreams.values().map(|u| u.vm.clone()) {
        mesh.start(&vm, &snapshot);
    }
    mesh.advance(10_000);
    mesh
}

/// Sends requests from each node, as many at a time as a target runs, each of which runs
/// for `millis`.
fn observe_runs(mesh: &mut Mesh, vms: &[&str], request: &HttpRequest, count: usize, millis: u64) {
    for vm in vms {
        let mut sent = 0;
        while sent < count {
            mesh.call(vm, request.clone());
            sent += 1;
            if sent % SLOTS as usize == 0 || sent == count {
                mesh.advance(millis);
                while !mesh.runs.is_empty() {
                    mesh.answer("whole");
                }
            }
        }
    }
}

/// Stops a node and denies its readiness, so that callers who stay have no other node.
fn stop(mesh: &mut Mesh, vm: &str) {
    mesh.send(vm, RequestEvent::Stop);
    for _ in 0..2 {
        mesh.send(vm, RequestEvent::ReadinessDenied);
    }
}

fn refusal(mesh: &Mesh, call: CallId) -> Option<(NotRun, Duration)> {
    match mesh.answers.get(&call)? {
        Answer::NotRun {
            reason,
            retry_after,
        } => Some((*reason, *retry_after)),
        _ => None,
    }
}

/// Ends the runs that have lasted for `millis`.
fn end_runs(mesh: &mut Mesh, ages: &mut Vec<(Run, u64)>, millis: u64, step: u64) {
    let seen: BTreeSet<_> = ages
        .iter()
        .map(|(run, _)| (run.vm.clone(), run.work))
        .collect();
    let new = mesh.runs.iter();
    let new = new.filter(|run| !seen.contains(&(run.vm.clone(), run.work)));
    ages.extend(new.map(|run| (run.clone(), 0)));
    for (run, age) in std::mem::take(ages) {
        if age >= millis {
            mesh.finish(&run, Outcome::Answered(common::response(200, "whole")));
        } else {
            ages.push((run, age + step));
        }
    }
}

/// Guards against orders that a stopped node takes although they can't end before the
/// process is killed. They ended without an answer.
#[test]
fn long_orders() {
    const RUN_MS: u64 = 2_800;
    const STEP_MS: u64 = 50;
    let mut mesh = start(slow_ordering(&["glasgow", "perth"]), GRACE_MS);
    observe_runs(&mut mesh, &["vm-1"], &order(), 64, RUN_MS);
    stop(&mut mesh, "vm-1");
    let mut ages = Vec::new();
    let mut calls = Vec::new();
    for _ in 0..GRACE_MS / STEP_MS {
        calls.push(mesh.call("vm-1", order()));
        end_runs(&mut mesh, &mut ages, RUN_MS, STEP_MS);
        mesh.advance(STEP_MS);
    }
    let answers: Vec<_> = calls.iter().map(|call| mesh.answers.get(call)).collect();
    let served = answers
        .iter()
        .filter(|a| matches!(a, Some(Answer::Response(_))));
    assert!(served.count() > 10);
    for (i, answer) in answers.iter().enumerate() {
        let is_true = matches!(answer, Some(Answer::Response(_) | Answer::NotRun { .. }));
        assert!(is_true, "{i}: {answer:?}");
    }
}

/// Guards against short requests that are refused seconds before the end.
#[test]
fn short_orders() {
    const RUN_MS: u64 = 400;
    const STEP_MS: u64 = 100;
    let mut mesh = start(slow_ordering(&["glasgow", "perth"]), GRACE_MS);
    observe_runs(&mut mesh, &["vm-1"], &order(), 64, RUN_MS);
    stop(&mut mesh, "vm-1");
    let mut ages = Vec::new();
    for n in 0..GRACE_MS / STEP_MS {
        let call = mesh.call("vm-1", order());
        end_runs(&mut mesh, &mut ages, RUN_MS, STEP_MS);
        let is_refused = refusal(&mesh, call).is_some();
        if n * STEP_MS <= GRACE_MS - 1_000 {
            assert!(!is_refused, "refused {} ms after the signal", n * STEP_MS);
        }
        mesh.advance(STEP_MS);
    }
    assert!(mesh.is_drained("vm-1"));
}

/// Guards against long requests that are all refused because few were seen, although these
/// took the same time.
#[test]
fn few_long_orders() {
    const RUN_MS: u64 = 2_300;
    let mut mesh = start(slow_ordering(&["glasgow", "perth"]), GRACE_MS);
    observe_runs(&mut mesh, &["vm-1"], &order(), 4, RUN_MS);
    stop(&mut mesh, "vm-1");
    let mut served = 0;
    for _ in 0..20 {
        mesh.advance(100);
        let call = mesh.call("vm-1", order());
        served += u32::from(refusal(&mesh, call).is_none());
    }
    assert_eq!(served, 20);
    mesh.advance(1_800);
    let late = mesh.call("vm-1", order());
    assert!(refusal(&mesh, late).is_some());
}

/// Guards against a kind that was never seen: until its deadline it may take any time.
#[test]
fn unseen_kind() {
    let mut mesh = start(slow_ordering(&["glasgow"]), GRACE_MS);
    stop(&mut mesh, "vm-1");
    mesh.advance(100);
    let call = mesh.call("vm-1", order());
    let (reason, retry_after) = refusal(&mesh, call).expect("a refusal");
    assert_eq!(reason, NotRun::Leaving);
    assert!(
        retry_after > Duration::from_millis(GRACE_MS - 100),
        "the next process of the node serves after the end of this one"
    );
    let short = with(order(), "celeryshore-deadline-ms", "500");
    let call = mesh.call("vm-1", short);
    assert_eq!(refusal(&mesh, call), None);
    assert!(mesh.history.len() == 1);
}

/// Guards against requests of other nodes that run at the target of a node that is killed
/// meanwhile. Another target runs them.
#[test]
fn admitting_node() {
    let mut mesh = start(slow_ordering(&["glasgow", "glasgow"]), GRACE_MS);
    observe_runs(&mut mesh, &["vm-1", "vm-2"], &order(), 4, 2_800);
    mesh.send("vm-2", RequestEvent::Stop);
    mesh.advance(3_000);
    let calls: Vec<_> = (0..6).map(|_| mesh.call("vm-1", order())).collect();
    assert_eq!(mesh.runs.len(), 6);
    assert!(mesh.runs.iter().all(|run| run.vm == name("vm-1")));
    assert!(calls.iter().all(|call| !mesh.answers.contains_key(call)));
}

/// Guards against a queued request that starts too late to end before the process is
/// killed, and against one that its forwarding node hears of too late.
#[test]
fn queued_request() {
    let mut mesh = start(with_slots(&["glasgow"], 1), GRACE_MS);
    for _ in 0..64 {
        observe_runs(&mut mesh, &["vm-1"], &order(), 1, 500);
    }
    mesh.send("vm-1", RequestEvent::Stop);
    mesh.advance(3_000);
    let running = mesh.call("vm-1", order());
    let queued = mesh.call("vm-1", order());
    assert_eq!(mesh.runs.len(), 1);
    assert_eq!(refusal(&mesh, queued), None);
    mesh.advance(2_400);
    assert!(refusal(&mesh, queued).is_some());
    mesh.answer("whole");
    assert!(matches!(mesh.answers[&running], Answer::Response(_)));
}

/// Guards against a node that has seen only short requests of a kind of which a few take
/// many times as long. The nodes of the targets tell it.
#[test]
fn long_run_elsewhere() {
    let mut mesh = start(slow_ordering(&["glasgow", "glasgow"]), GRACE_MS);
    mesh.call("vm-2", order());
    mesh.advance(3_000);
    mesh.answer("whole");
    for _ in 0..4 {
        observe_runs(&mut mesh, &["vm-1"], &order(), 32, 100);
    }
    stop(&mut mesh, "vm-1");
    let early = mesh.call("vm-1", order());
    assert_eq!(refusal(&mesh, early), None);
    mesh.advance(200);
    mesh.call("vm-1", order());
    mesh.advance(2_200);
    let late = mesh.call("vm-1", order());
    assert!(refusal(&mesh, late).is_some());
}

/// Guards against silence: what is still at work shortly before the end is answered with
/// the truth.
#[test]
fn last_answers() {
    let mut mesh = start(slow_ordering(&["glasgow"]), GRACE_MS);
    let calls = [mesh.call("vm-1", order()), mesh.call("vm-1", stock())];
    stop(&mut mesh, "vm-1");
    mesh.advance(GRACE_MS - 500);
    assert!(mesh.answers.is_empty());
    mesh.advance(400);
    for call in calls {
        assert!(matches!(mesh.answers[&call], Answer::Unknown { .. }));
    }
    assert!(mesh.is_drained("vm-1"));
}

/// Guards against a repeat that is sent too late to be answered, and against a refusal that
/// says "not run" of it.
#[test]
fn late_repeat() {
    let mut mesh = start(slow_ordering(&["glasgow", "glasgow"]), GRACE_MS);
    observe_runs(&mut mesh, &["vm-1"], &stock(), 64, 400);
    stop(&mut mesh, "vm-1");
    mesh.advance(4_900);
    let call = mesh.call("vm-1", stock());
    let run = mesh.runs[0].clone();
    mesh.advance(400);
    mesh.finish(&run, Outcome::Broken);
    assert!(matches!(mesh.answers[&call], Answer::Unknown { .. }));
    assert!(mesh.runs.is_empty());
}

/// Guards against a resend of a key that is told that it has not run.
#[test]
fn keyed_order() {
    let mut mesh = start(slow_ordering(&["glasgow"]), GRACE_MS);
    stop(&mut mesh, "vm-1");
    mesh.advance(1_000);
    let call = mesh.call("vm-1", keyed("01890a5d-ac96-774b-bcce-b302099a8057"));
    assert!(matches!(mesh.answers[&call], Answer::Unknown { .. }));
}

/// Guards against calls of a run that are forwarded too late to be answered.
#[test]
fn late_call_of_run() {
    let mut mesh = start(slow_ordering(&["glasgow", "perth"]), GRACE_MS);
    observe_runs(&mut mesh, &["vm-1"], &stock(), 64, 400);
    mesh.call("vm-1", with(order(), REQUEST_ID, "run"));
    stop(&mut mesh, "vm-1");
    mesh.advance(4_500);
    let early = mesh.call("vm-1", with(stock(), REQUEST_ID, "run.1"));
    assert_eq!(refusal(&mesh, early), None);
    mesh.advance(1_000);
    let late = mesh.call("vm-1", with(stock(), REQUEST_ID, "run.2"));
    assert!(refusal(&mesh, late).is_some());
}

/// Guards against a grace period that is unknown or shorter than any request.
#[test]
fn tiny_grace() {
    let mut mesh = start(slow_ordering(&["glasgow"]), 20);
    observe_runs(&mut mesh, &["vm-1"], &stock(), 4, 400);
    mesh.send("vm-1", RequestEvent::Stop);
    let call = mesh.call("vm-1", stock());
    assert!(refusal(&mesh, call).is_some());
    mesh.terms.stop.grace = None;
    let snapshot = Arc::new(slow_ordering(&["glasgow"]));
    mesh.start(&name("vm-1"), &snapshot);
    mesh.send("vm-1", RequestEvent::Stop);
    let call = mesh.call("vm-1", stock());
    assert_eq!(refusal(&mesh, call), None);
}

/// Guards against a second signal that moves the end.
#[test]
fn second_signal() {
    let mut mesh = start(slow_ordering(&["glasgow"]), GRACE_MS);
    let call = mesh.call("vm-1", order());
    stop(&mut mesh, "vm-1");
    mesh.advance(3_000);
    mesh.send("vm-1", RequestEvent::Stop);
    mesh.advance(2_900);
    assert!(matches!(mesh.answers[&call], Answer::Unknown { .. }));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each request that a stopped node takes later than half of its grace period is
    /// answered before the end, by its target or with a true refusal, if its target takes
    /// no longer than it has taken before.
    #[test]
    fn every_request_answered(
        run_ms in 20_u64..4_000,
        gap_ms in 20_u64..400,
        stops in prop::collection::btree_set(1_usize..=3, 1..=3),
        from in 1_usize..=3,
    ) {
        const STEP_MS: u64 = 20;
        let vms = ["vm-1", "vm-2", "vm-3"];
        let mut mesh = start(slow_ordering(&["glasgow", "glasgow", "perth"]), GRACE_MS);
        observe_runs(&mut mesh, &vms, &order(), 64, run_ms);
        for n in &stops {
            stop(&mut mesh, vms[n - 1]);
        }
        let (mut ages, mut calls) = (Vec::new(), Vec::new());
        for n in 0..GRACE_MS / STEP_MS {
            let at = n * STEP_MS;
            if at % gap_ms < STEP_MS {
                calls.push((at, mesh.call(vms[from - 1], order())));
            }
            end_runs(&mut mesh, &mut ages, run_ms, STEP_MS);
            mesh.advance(STEP_MS);
        }
        if stops.contains(&from) {
            for (at, call) in calls.iter().filter(|(at, _)| *at > GRACE_MS / 2) {
                let answer = mesh.answers.get(call);
                let is_true = matches!(answer, Some(Answer::Response(_) | Answer::NotRun { .. }));
                prop_assert!(is_true, "sent at {at}: {answer:?}");
            }
        }
    }
}
