//! Generator of celeryshore-wire's code from its .proto files.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// Writes the generated code to a directory.
///
/// # Errors
///
/// Fails if a .proto file cannot be read or compiled, or if nothing can be
/// written.
///
/// # Example
///
/// ```no_run
/// celeryshore_wire_gen::generate("crates/wire/src/generated")?;
/// # Ok::<(), anyhow::Error>(())
/// ```
pub fn generate(out: impl AsRef<Path>) -> anyhow::Result<()> {
    let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/proto");
    let descriptors = protox::compile(sources(&proto)?, [&proto])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(out)
        .compile_fds(descriptors)?;
    Ok(())
}

fn sources(proto: &Path) -> io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(proto)? {
        paths.push(entry?.path());
    }
    paths.sort();
    Ok(paths)
}
