//! Computing, encoding and applying deltas.

use celeryshore_rules::Category;
use celeryshore_rules::Delta;
use celeryshore_rules::MAX_DELTA_BYTES;
use insta::assert_snapshot;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const CASES: u32 = 500;
const SEED: [u8; 32] = [7; 32];

fn runner() -> TestRunner {
    let cfg = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn round_trip(base: &[u8], result: &[u8]) -> Delta {
    let delta = Delta::between(base, result);
    let decoded = Delta::from_slice(&delta.to_vec()).unwrap();
    assert_eq!(decoded, delta);
    assert_eq!(decoded.apply(base).unwrap(), result);
    decoded
}

fn rules(lines: usize) -> Vec<String> {
    let line = |i| format!("upstream u{i} service=s zone=a vm=vm-{i}  # ops\n");
    (0..lines).map(line).collect()
}

#[test]
fn repeated_lines() {
    // Only four distinct lines, so that most lines occur more than once.
    let text = || prop::collection::vec(prop::sample::select(vec!["a\n", "b\n", "\n", "c"]), 0..30);
    let round_trips = runner().run(&(text(), text()), |(base, result)| {
        round_trip(base.concat().as_bytes(), result.concat().as_bytes());
        Ok(())
    });
    round_trips.unwrap();
}

#[test]
fn arbitrary_bytes() {
    let bytes = || prop::collection::vec(any::<u8>(), 0..200);
    let round_trips = runner().run(&(bytes(), bytes()), |(base, result)| {
        round_trip(&base, &result);
        Ok(())
    });
    round_trips.unwrap();
}

#[test]
fn scattered_edits() {
    let base = rules(18_000);
    let mut result = base.clone();
    result[17_990].push_str("out zone=a  # ops\n");
    result.remove(9_000);
    result[5] = "zone b region=r  # ops\n".to_owned();
    result.swap(12_000, 12_001);
    let delta = round_trip(base.concat().as_bytes(), result.concat().as_bytes());
    assert!(delta.to_vec().len() < 600, "{} bytes", delta.to_vec().len());
}

#[test]
fn reversed_lines() {
    let base = rules(18_000);
    let result: Vec<_> = base.iter().rev().cloned().collect();
    round_trip(base.concat().as_bytes(), result.concat().as_bytes());
}

#[test]
fn encoded_form() {
    let delta = Delta::between(b"a\nb\nc\n", b"a\nd\nc\n");
    let text = String::from_utf8(delta.to_vec()).unwrap();
    let (_, edits) = text.split_once("edits").unwrap();
    assert_snapshot!(edits, @r#"":[{"k":1},{"s":1},{"i":"d\n"},{"k":1}]}"#);
}

#[test]
fn wrong_base() {
    let delta = Delta::between(b"a\n", b"b\n");
    let err = delta.apply(b"c\n").unwrap_err();
    assert_eq!(err.classify(), Category::Delta);
    assert_snapshot!(err, @r#"invalid delta: expected a base with the digest in the delta"#);
}

#[test]
fn forged_edits() {
    let text = String::from_utf8(Delta::between(b"a\n", b"a\nb\n").to_vec()).unwrap();
    let forged = Delta::from_slice(text.replace("b\\n", "x\\n").as_bytes()).unwrap();
    assert_snapshot!(forged.apply(b"a\n").unwrap_err(), @r#"invalid delta: expected a result with the digest in the delta"#);
}

#[test]
fn malformed_bytes() {
    assert_snapshot!(Delta::from_slice(b"{}").unwrap_err(), @r#"invalid delta: expected an encoded delta"#);
    let long = vec![b' '; MAX_DELTA_BYTES + 1];
    assert_snapshot!(Delta::from_slice(&long).unwrap_err(), @r#"invalid delta: expected a delta of at most 1 MiB"#);
}
