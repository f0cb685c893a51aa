//! Scenarios with the decisions of celeryshore, and with the naive version.

use std::fs;
use std::ops::RangeInclusive;

use celeryshore_trials::scenario::Category;
use celeryshore_trials::scenario::Report;
use celeryshore_trials::scenario::Result;
use celeryshore_trials::scenario::Scenario;
use celeryshore_trials::scenario::System;

const SEEDS: RangeInclusive<u64> = 1..=10;

fn play(name: &str, system: System, seed: u64) -> Result<Report> {
    let path = format!("{}/scenarios/{name}.scn", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(path).unwrap();
    text.parse::<Scenario>()?.run(system, seed)
}

/// Plays a scenario with several seeds; it must hold with each.
fn holds(name: &str, seeds: RangeInclusive<u64>) {
    for seed in seeds {
        if let Err(err) = play(name, System::Kernel, seed) {
            panic!("{name}, seed {seed}: {err}");
        }
    }
}

/// Plays a scenario with the naive version; it must fail with each seed.
fn fails_naively(name: &str, category: Category) {
    for seed in SEEDS {
        let err = play(name, System::Naive, seed).unwrap_err();
        assert_eq!(err.classify(), category, "{name}, seed {seed}: {err}");
    }
}

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                holds(stringify!($name), SEEDS);
            }
        )*
    };
}

scenarios! {
    alone
    at_most_once
    change
    crossed
    cut_and_kill
    freeze
    herd
    leaving
    lossy
    reader_cut
    restart_stale
    stale_source
    storm
    zone_cut
    zone_out
}

#[test]
fn cold_start() {
    holds("cold_start", SEEDS);
}

#[test]
fn zone_out_whole() {
    holds("zone_out_whole", 1..=30);
}

#[test]
fn naive_goes_back() {
    for name in ["restart_stale", "stale_source"] {
        fails_naively(name, Category::Violation);
    }
}

#[test]
fn naive_depends() {
    for name in ["cut_and_kill", "reader_cut", "storm"] {
        fails_naively(name, Category::Expectation);
    }
}

#[test]
fn naive_reads() {
    for name in ["change", "herd", "lossy"] {
        fails_naively(name, Category::Expectation);
    }
}

#[test]
fn same_seed() {
    let first = play("crossed", System::Kernel, 7).unwrap();
    let second = play("crossed", System::Kernel, 7).unwrap();
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}
