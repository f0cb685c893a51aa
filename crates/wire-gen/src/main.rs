//! Writes the generated code of celeryshore-wire from its .proto files.
//!
//! Run it with `cargo run -p celeryshore-wire-gen` and commit what it writes.
//! An argument names another directory to write to.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn main() -> anyhow::Result<()> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let proto = wire.join("proto");
    let own = || wire.join("src/generated");
    let out = std::env::args_os().nth(1).map_or_else(own, PathBuf::from);
    let descriptors = protox::compile(sources(&proto)?, [&proto])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(out)
        .compile_fds(descriptors)?;
    Ok(())
}

fn sources(proto: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(proto)? {
        paths.push(entry?.path());
    }
    paths.sort();
    Ok(paths)
}
