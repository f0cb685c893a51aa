//! Section of the state dump about requests.

use serde_json::Value;
use serde_json::json;

use crate::Kernel;
use crate::Section;
use crate::requests::Requests;

inventory::submit! {
    Section {
        name: "requests",
        render: |kernel: &Kernel| render(&kernel.requests),
    }
}

fn render(requests: &Requests) -> Value {
    let Requests {
        view, sides, stage, ..
    } = requests;
    json!({
        "vm": view.cfg().vm,
        "incarnation": view.cfg().incarnation,
        "version": view.version(),
        "stage": stage.name(),
        "started": stage.started(),
        "calls": sides.handing.open(),
        "works": sides.admitting.open(),
        "suspected": requests.suspicions.len(),
        "load": sides.admitting.load(),
    })
}
