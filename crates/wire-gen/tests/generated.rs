//! The committed code is what the generator writes.

use std::fs;
use std::path::Path;
use std::process::Command;

#[test]
fn up_to_date() {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&out).unwrap();
    let generator = Command::new(env!("CARGO_BIN_EXE_celeryshore-wire-gen"))
        .arg(&out)
        .status()
        .unwrap();
    assert!(generator.success());
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/src/generated");
    for entry in fs::read_dir(&out).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap();
        let fresh = fs::read_to_string(&path).unwrap();
        let stale = fs::read_to_string(committed.join(name)).unwrap();
        assert!(fresh == stale, "run the generator for {name:?}");
    }
}
