//! Several random faults at once: no invariant is violated, and the fleet
//! converges after the faults end.

use std::fmt::Write as _;

use celeryshore_trials::scenario::Category;
use celeryshore_trials::scenario::Scenario;
use celeryshore_trials::scenario::System;

const SCRIPTS: u64 = 60;
const FAULTS: usize = 14;
const MAX_PAUSE_MS: u64 = 2_500;
const NODES: usize = 9;
const KEYS: usize = 4;

const SETUP: &str = "\
nodes 9 zones a b c
target everywhere warm
expect in-force everywhere within 20s
at 20s load look 20/s for 30s
";

const RECOVERY: &str = "\
heal
source up
lose 0%
delay 1ms
target everywhere warm
restart everywhere
wait 12s
republish 1
expect in-force everywhere within 10s
wait 5s
expect in-force everywhere
send n1 look as last
expect answer last whole within 2s
";

/// Returns a random script; the attempts of each key are numbered from 1.
fn random_script(seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut attempts = [0; KEYS];
    let mut text = SETUP.to_owned();
    for _ in 0..FAULTS {
        writeln!(text, "wait {}ms", rng.u64(..MAX_PAUSE_MS)).unwrap();
        writeln!(text, "{}", random_fault(&mut rng)).unwrap();
        let key = rng.usize(..KEYS);
        attempts[key] += 1;
        let (node, attempt) = (rng.usize(..NODES) + 1, attempts[key]);
        writeln!(
            text,
            "send n{node} place-order key=k{key} attempt={attempt}"
        )
        .unwrap();
    }
    text + RECOVERY
}

fn random_fault(rng: &mut fastrand::Rng) -> String {
    let node = rng.usize(..NODES) + 1;
    let zone = rng.choice(["a", "b", "c"]).unwrap();
    let place = if rng.bool() {
        format!("n{node}")
    } else {
        format!("zone {zone}")
    };
    let mode = rng.choice(["up", "down", "stale", "older", "torn", "flap"]);
    match rng.u8(..16) {
        0..3 => "publish".to_owned(),
        3 => "republish 1".to_owned(),
        4 => "publish \"no rule\"".to_owned(),
        5 => format!("take-out {place}"),
        6 => format!("bring-back {place}"),
        7 => format!("cut {place}"),
        8 => format!("cut-source zone {zone}"),
        9 => "heal".to_owned(),
        10 => format!("kill {place}"),
        11 => "restart everywhere".to_owned(),
        12 => format!("freeze n{node} {}ms", rng.u64(..8_000)),
        13 => format!("source {}", mode.unwrap()),
        14 => format!("lose {}%", rng.u8(..50)),
        _ => format!("target n{node} broken"),
    }
}

fn run(seed: u64, system: System) -> celeryshore_trials::scenario::Result<()> {
    random_script(seed)
        .parse::<Scenario>()?
        .run(system, seed)
        .map(drop)
}

#[test]
fn several_faults() {
    for seed in 0..SCRIPTS {
        if let Err(err) = run(seed, System::Kernel) {
            panic!("seed {seed}: {err}\n{}", random_script(seed));
        }
    }
}

#[test]
fn polling_violates() {
    let violations = (0..SCRIPTS)
        .filter_map(|seed| run(seed, System::Polling).err())
        .filter(|err| err.classify() == Category::Violation);
    assert!(violations.count() > 0);
}
