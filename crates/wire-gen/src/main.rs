//! Writes the generated code of celeryshore-wire from its .proto files.
//!
//! Run it with `cargo run -p celeryshore-wire-gen` and commit what it writes.

use std::path::Path;

fn main() -> anyhow::Result<()> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    celeryshore_wire_gen::generate(wire.join("src/generated"))
}
