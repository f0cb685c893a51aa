//! Test that the committed code matches the .proto files.

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
    let committed_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/src/generated");
    for entry in fs::read_dir(&out).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap();
        let generated = fs::read_to_string(&path).unwrap();
        let committed = fs::read_to_string(committed_dir.join(name)).unwrap();
        assert!(
            generated == committed,
            "{name:?} is out of date; run celeryshore-wire-gen"
        );
    }
}
