//! The committed code is what the generator writes.

use std::fs;
use std::path::Path;

#[test]
fn same_code() -> anyhow::Result<()> {
    let dir = std::env::temp_dir().join(format!("celeryshore-wire-gen-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    celeryshore_wire_gen::generate(&dir)?;
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/src/generated");
    for entry in fs::read_dir(&dir)? {
        let entry = entry?;
        let written = fs::read_to_string(entry.path())?;
        let kept = fs::read_to_string(committed.join(entry.file_name()))?;
        assert!(written == kept, "{} differs", entry.file_name().display());
    }
    fs::remove_dir_all(&dir)?;
    Ok(())
}
