//! Complete state of the process as JSON, divided into sections.

use celeryshore_kernel::Kernel;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::callers::Callers;

/// Section of the process itself; the others are registered as plug-ins.
const CONNECTIONS: &str = "connections";

/// Renders all sections.
pub(super) fn dump(callers: &Callers) -> Value {
    let render_all = |kernel: &Kernel| -> Map<String, Value> {
        celeryshore_kernel::dump_sections()
            .map(|section| (section.name.to_owned(), (section.render)(kernel)))
            .collect()
    };
    let mut sections = callers.driver.inspect(render_all);
    sections.insert(CONNECTIONS.to_owned(), connections(callers));
    Value::Object(sections)
}

/// Renders one section. Returns `None` if there is no section of this name.
pub(super) fn dump_section(callers: &Callers, name: &str) -> Option<Value> {
    if name == CONNECTIONS {
        return Some(connections(callers));
    }
    callers
        .driver
        .inspect(|kernel| render_section(kernel, name))
}

/// Renders a registered section.
pub(super) fn render_section(kernel: &Kernel, name: &str) -> Option<Value> {
    celeryshore_kernel::dump_sections()
        .find(|section| section.name == name)
        .map(|section| (section.render)(kernel))
}

fn connections(callers: &Callers) -> Value {
    json!({
        "callers": callers.tracker.count(),
        "peers": callers.driver.peers.dump(),
        "target": callers.driver.target.dump(),
    })
}
