//! Quotas at the forwarding node.

use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::QuotaTerms;
use celeryshore_kernel::Terms;
use celeryshore_model::HttpRequest;
use celeryshore_model::KeyDigest;
use celeryshore_model::Quota;
use celeryshore_model::Rate;
use celeryshore_model::Share;
use celeryshore_model::Snapshot;
use celeryshore_model::Workspace;

use crate::common;
use crate::common::deployment;
use crate::mesh::Mesh;
use crate::mesh::WINDOW;

/// Length of the quota window.
const WINDOW_MILLIS: u64 = 5_000;

fn deployment(rate: u64, slots: u32) -> Snapshot {
    let mut snapshot = deployment::ordering(&["aa", "ab", "ac"]);
    deployment::tune(&mut snapshot, |service| {
        service.limits.slots = celeryshore_model::Slots::new(slots);
        service.limits.cold_slots = service.limits.slots;
        service.limits.queue = celeryshore_model::Slots::new(0);
    });
    let workspace = Workspace {
        name: "brewery".parse().expect("valid workspace"),
        keys: [KeyDigest::of(b"hops")].into(),
        priority: celeryshore_model::Priority::default(),
        quota: Some(Quota {
            rate: Rate::from_per_mille(rate * 1_000),
            burst: 2,
        }),
    };
    snapshot
        .workspaces
        .insert(workspace.name.clone(), workspace);
    snapshot
}

fn start(snapshot: Snapshot) -> common::Mesh {
    let snapshot = Arc::new(snapshot);
    let mut mesh = common::Mesh::empty();
    mesh.terms = Terms {
        quota: QuotaTerms {
            window: WINDOW,
            overage: Share::from_per_mille(250),
            slack: 4,
        },
        ..Terms::default()
    };
    for vm in ["vm-1", "vm-2", "vm-3"] {
        mesh.start(&common::name(vm), &snapshot);
    }
    mesh.advance(10_000);
    mesh
}

fn stock() -> HttpRequest {
    deployment::with(deployment::stock(), "celeryshore-key", "hops")
}

/// Guards against requests beyond the quota, and against a refusal without a time to retry.
#[test]
fn refused_with_time() {
    let mut mesh = start(deployment(4, 50));
    let mut refusals = 0;
    for _ in 0..100 {
        let call = mesh.call("vm-1", stock());
        if let Some(Answer::NotRun {
            reason,
            retry_after,
        }) = mesh.answers.get(&call)
        {
            assert_eq!(*reason, NotRun::Quota);
            assert!(!retry_after.is_zero());
            refusals += 1;
        }
        if !mesh.runs.is_empty() {
            mesh.answer("");
        }
        mesh.advance(10);
    }
    assert!(mesh.history.len() <= 31, "{} ran", mesh.history.len());
    assert!(mesh.history.len() >= 10, "{} ran", mesh.history.len());
    assert_eq!(refusals, 100 - mesh.history.len());
    let status = mesh.status("vm-1");
    let quota = status.quotas.values().next().expect("a quota");
    assert_eq!(quota.refused, refusals as u64);
}

/// Guards against credits that are lost with requests that the admitting nodes refuse.
#[test]
fn credit_back() {
    let mut mesh = start(deployment(4, 1));
    let mut reasons = Vec::new();
    for _ in 0..200 {
        let call = mesh.call("vm-1", stock());
        if let Some(Answer::NotRun { reason, .. }) = mesh.answers.get(&call) {
            reasons.push(*reason);
        }
        mesh.advance(2);
    }
    assert_eq!(mesh.history.len(), 3);
    let refused = reasons.iter().filter(|r| **r == NotRun::Quota).count();
    // After each run the node asks for one more, at most every 20 ms.
    assert!(refused <= 20, "{refused} refused although three ran");
}

/// Guards against messages and timers without a quota.
#[test]
fn no_quota() {
    let mut snapshot = deployment(4, 50);
    for workspace in snapshot.workspaces.values_mut() {
        workspace.quota = None;
    }
    let mut mesh = start(snapshot);
    for _ in 0..100 {
        mesh.call("vm-1", stock());
    }
    assert_eq!(mesh.history.len(), 100);
    assert!(mesh.status("vm-1").quotas.is_empty());
    assert_eq!(mesh.quota_messages, 0);
}

/// Guards against a refusal although the owner on the caller's VM lends a credit.
#[test]
fn own_credit() {
    let mut mesh = Mesh::new(3, &[("free", 28, 17)], 1);
    let workspace = "free".parse().expect("valid workspace");
    mesh.run(20_000);
    let owner = {
        mesh.request(0, &workspace, true);
        mesh.run(2_000);
        mesh.owner("free")
    };
    mesh.run(WINDOW_MILLIS);
    // The first request uses the node's spare credit, the second needs one of its own part.
    assert!(mesh.request(owner, &workspace, true));
    assert!(mesh.request(owner, &workspace, true));
}
