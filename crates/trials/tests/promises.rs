//! Every test and scenario that `docs/PROMISES.md` names exists and runs.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    fs::read_to_string(root().join("docs/PROMISES.md")).unwrap()
}

/// Returns the text of each Markdown code span.
fn code_spans(page: &str) -> impl Iterator<Item = &str> {
    page.split('`').skip(1).step_by(2)
}

#[test]
fn named_scenarios() {
    let page = page();
    let tests = fs::read_to_string(root().join("crates/trials/tests/scenarios.rs")).unwrap();
    let mut names: Vec<_> = code_spans(&page)
        .filter_map(|m| m.strip_prefix("scenario "))
        .filter(|name| *name != "NAME")
        .collect();
    names.sort_unstable();
    names.dedup();
    assert!(!names.is_empty());
    for name in names {
        let file = root().join(format!("crates/trials/scenarios/{name}.scn"));
        assert!(file.exists(), "no scenario {name}");
        let listed = tests.lines().any(|line| line.trim() == name);
        let called = tests.contains(&format!("assert_passes(\"{name}\""));
        assert!(listed || called, "scenario {name} does not run");
    }
}

#[test]
fn named_tests() {
    let page = page();
    let mut count = 0;
    for name in code_spans(&page) {
        let Some((file, test)) = name.split_once("::") else {
            continue;
        };
        let Some((package, file)) = file.split_once('/').filter(|_| test != "TEST") else {
            continue;
        };
        let path = root().join(format!("crates/{package}/tests/{file}.rs"));
        let source = fs::read_to_string(&path).unwrap_or_default();
        let declaration = format!("#[test]\nfn {test}() ");
        assert!(source.contains(&declaration), "no test {name}");
        count += 1;
    }
    assert!(count > 0);
}

#[test]
fn every_promise() {
    const PROMISES: usize = 11;
    let page = page();
    let table = page.split("Faults from").next().unwrap();
    let rows = table.lines().filter(|line| line.starts_with("| "));
    let header_rows = 2;
    assert_eq!(rows.count(), PROMISES + header_rows);
}
