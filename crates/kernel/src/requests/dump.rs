//! Sections about requests in the state dump.

use serde_json::Value;
use serde_json::json;

use crate::DumpSection;
use crate::Kernel;

inventory::submit! {
    DumpSection {
        name: "requests",
        render: |kernel: &Kernel| json!(kernel.requests.status()),
    }
}

inventory::submit! {
    DumpSection {
        name: "upstreams",
        render: upstreams,
    }
}

inventory::submit! {
    DumpSection {
        name: "quotas",
        render: |kernel: &Kernel| json!(kernel.requests.status().quotas),
    }
}

inventory::submit! {
    DumpSection {
        name: "workspaces",
        render: workspaces,
    }
}

/// Renders the number of keys and the priority of each workspace.
fn workspaces(kernel: &Kernel) -> Value {
    let snapshot = kernel.requests.view.snapshot();
    let workspaces = snapshot.into_iter().flat_map(|s| s.workspaces.values());
    workspaces
        .map(|w| {
            let status = json!({ "keys": w.keys.len(), "priority": w.priority });
            (w.name.to_string(), status)
        })
        .collect()
}

inventory::submit! {
    DumpSection {
        name: "urgent-slots",
        render: urgent_slots,
    }
}

/// Renders the slots of the local target that kinds leave to more urgent ones.
fn urgent_slots(kernel: &Kernel) -> Value {
    let requests = &kernel.requests;
    json!(
        requests
            .dispatcher
            .admission
            .kind_slots(requests.last_event_at)
    )
}

inventory::submit! {
    DumpSection {
        name: "minimum-shares",
        render: minimum_shares,
    }
}

/// Renders the credit of each kind for starts at the local target regardless of rank.
fn minimum_shares(kernel: &Kernel) -> Value {
    let requests = &kernel.requests;
    json!(
        requests
            .dispatcher
            .admission
            .kind_shares(requests.last_event_at)
    )
}

inventory::submit! {
    DumpSection {
        name: "load-reports",
        render: |kernel: &Kernel| json!(kernel.requests.loads.all()),
    }
}

/// Renders the load of each upstream, as this node estimates it.
fn upstreams(kernel: &Kernel) -> Value {
    let loads = kernel.requests.dispatcher.forwarder.loads();
    loads
        .map(|(name, load)| (name.to_string(), json!(load)))
        .collect()
}
