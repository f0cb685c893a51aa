//! Parser and error messages of the scenario language.

use celeryshore_trials::scenario::Category;
use celeryshore_trials::scenario::Error;
use celeryshore_trials::scenario::Scenario;
use celeryshore_trials::scenario::System;
use insta::assert_snapshot;

fn parse_error(line: &str) -> Error {
    line.parse::<Scenario>().unwrap_err()
}

fn run_error(text: &str) -> Error {
    let scenario: Scenario = text.parse().unwrap();
    scenario.run(System::Kernel, 1).unwrap_err()
}

#[test]
fn every_statement() {
    let text = "\
# a comment
nodes 4 zones a b  # another
at 20s publish
publish \"zone c region=r  # ops\"
republish 1
take-out zone a
bring-back zone a
cut n1
cut-source zone a
heal
lose 2.5%
delay 3ms
kill n1
restart n1
freeze n2 1s
drain n3
source stale
source up
target everywhere warm
send n4 place-order key=k attempt=1 as r
load look 10/s for 1s zone b
wait 8s
expect in-force everywhere within 5s
expect version-of n1 4
expect answer r whole
expect runs k at-most 1
expect whole at-least 10%
expect no-new-work n3 after 4s
expect reads at-most 100/s
";
    let scenario: Scenario = text.parse().unwrap();
    assert_eq!(scenario.len(), text.lines().count() - 1);
}

#[test]
fn bad_statements() {
    assert_snapshot!(parse_error("nodes 3"), @r#"line 1: syntax: expected a statement, found "nodes 3""#);
    assert_snapshot!(parse_error("\nwait soon"), @r#"line 2: syntax: expected a statement, found "wait soon""#);
    assert_snapshot!(parse_error("kill n0"), @r#"line 1: syntax: expected a statement, found "kill n0""#);
    assert_snapshot!(parse_error("publish twice"), @r#"line 1: syntax: expected a statement, found "twice""#);
    assert_snapshot!(parse_error("wait 1s 2s"), @r#"line 1: syntax: expected a statement, found "2s""#);
    assert_snapshot!(parse_error("expect in-force everywhere whithin 2s"), @r#"line 1: syntax: expected a statement, found "whithin 2s""#);
}

#[test]
fn unknown_names() {
    for text in [
        "nodes 2 zones a\nkill n3",
        "nodes 2 zones a\ncut zone b",
        "nodes 2 zones a\nrepublish 2",
        "nodes 2 zones a\nexpect answer r whole",
        "nodes 2 zones a\nexpect no-new-work n1 after 1s",
        "nodes 2 zones a\nwait 2s\nat 1s publish",
    ] {
        assert_eq!(run_error(text).classify(), Category::Reference, "{text}");
    }
}

#[test]
fn unmet_expectations() {
    let text = "nodes 4 zones a\nat 20s cut n1\npublish\nexpect in-force everywhere within 3s";
    assert_snapshot!(run_error(text), @r#"line 4: expectation: expected the newest version everywhere within 3s, found 1 of 4 nodes behind: ["n1"]"#);
    let text = "nodes 2 zones a\nat 20s send n1 look as r\nexpect answer r unknown within 2s";
    assert_eq!(run_error(text).classify(), Category::Expectation);
    let text = "nodes 2 zones a\nat 20s send n1 place-order key=k attempt=1\nwait 1s\nexpect runs k exactly 2";
    assert_snapshot!(run_error(text), @r#"line 4: expectation: expected exactly 2 runs of k, found 1"#);
}
