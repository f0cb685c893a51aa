//! The table in `docs/CAPACITY.md` matches the slopes in `docs/slopes.json`.

use std::fs;
use std::path::Path;

use celeryshore_trials::capacity;
use celeryshore_trials::capacity::Slopes;

fn doc(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    fs::read_to_string(root.join(name)).unwrap()
}

#[test]
fn same_table() {
    let rows = Slopes::from_json(&doc("slopes.json")).unwrap().rows();
    let table = capacity::render(&rows);
    assert!(doc("CAPACITY.md").contains(&table), "expected:\n{table}");
}
