//! Generates the Rust code of celeryshore-wire from its .proto files.
//!
//! After a change to a .proto file, run `cargo run -p celeryshore-wire-gen` and
//! commit the result. An optional argument selects another output directory.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn main() -> anyhow::Result<()> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let proto = wire.join("proto");
    let default_out = || wire.join("src/generated");
    let out = std::env::args_os()
        .nth(1)
        .map_or_else(default_out, PathBuf::from);
    let descriptors = protox::compile(proto_files(&proto)?, [&proto])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(out)
        .compile_fds(descriptors)?;
    Ok(())
}

/// Returns the .proto files in order of their paths, so that the output does not
/// depend on the order of the directory.
fn proto_files(proto: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(proto)? {
        paths.push(entry?.path());
    }
    paths.sort();
    Ok(paths)
}
