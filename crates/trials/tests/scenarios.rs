//! Scenario files, run with the kernel and with the polling baseline.

use std::fs;
use std::ops::RangeInclusive;

use celeryshore_trials::scenario::Category;
use celeryshore_trials::scenario::Report;
use celeryshore_trials::scenario::Result;
use celeryshore_trials::scenario::Scenario;
use celeryshore_trials::scenario::System;

const SEEDS: RangeInclusive<u64> = 1..=10;

fn run(name: &str, system: System, seed: u64) -> Result<Report> {
    let path = format!("{}/scenarios/{name}.scn", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(path).unwrap();
    text.parse::<Scenario>()?.run(system, seed)
}

/// Runs a scenario with several seeds; it must pass with each.
fn assert_passes(name: &str, seeds: RangeInclusive<u64>) {
    for seed in seeds {
        if let Err(err) = run(name, System::Kernel, seed) {
            panic!("{name}, seed {seed}: {err}");
        }
    }
}

/// Runs a scenario with the polling baseline; it must fail with each seed.
fn assert_polling_fails(name: &str, category: Category) {
    for seed in SEEDS {
        let err = run(name, System::Polling, seed).unwrap_err();
        assert_eq!(err.classify(), category, "{name}, seed {seed}: {err}");
    }
}

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                assert_passes(stringify!($name), SEEDS);
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
    stated_leaving
    stated_limit
    storm
    zone_cut
    zone_out
}

#[test]
fn cold_start() {
    assert_passes("cold_start", SEEDS);
}

#[test]
fn zone_out_whole() {
    assert_passes("zone_out_whole", 1..=30);
}

// A node that polls applies an older value when the platform goes back to one.
#[test]
fn polling_regresses() {
    for name in ["restart_stale", "stale_source"] {
        assert_polling_fails(name, Category::Violation);
    }
}

// A node that polls learns no version while it cannot reach the platform.
#[test]
fn polling_without_platform() {
    for name in ["cut_and_kill", "reader_cut", "storm"] {
        assert_polling_fails(name, Category::Expectation);
    }
}

// Polling by every node exceeds the bound on reads of the platform.
#[test]
fn polling_reads() {
    for name in ["change", "herd", "lossy"] {
        assert_polling_fails(name, Category::Expectation);
    }
}

#[test]
fn same_seed() {
    let first = run("crossed", System::Kernel, 7).unwrap();
    let second = run("crossed", System::Kernel, 7).unwrap();
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}
