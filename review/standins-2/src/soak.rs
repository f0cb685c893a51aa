//! Random series of changes and disruptions, after which all nodes have to know the same
//! upstreams and the same version as the store.
//!
//! No case: it shows a fault of the views of nodes, not of what clients see.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::mesh;
use crate::mesh::Mesh;
use crate::mesh::Record;
use crate::store::Door;

const ZONES: [&str; 3] = ["a", "b", "c"];
const MACHINES: usize = 9;
/// Registrations that come and go. No process serves at their addresses.
const GUESTS: u64 = 6;
/// Time without changes and disruptions before the views are compared.
const CALM: Duration = Duration::from_millis(7_500);

struct Random(u64);

impl Random {
    fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % end
    }
}

/// Runs `rounds` rounds, with an interrupted store or without. Returns whether any views
/// differed.
pub fn run(record: Record, seed: u64, rounds: u64, has_store_trouble: bool) -> bool {
    let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let machines: Vec<_> = (0..MACHINES).map(|i| (ZONES[i / 3], "desk")).collect();
    let mut mesh = Mesh::new(record.clone(), &machines);
    let mut version = 3;
    let publish = |mesh: &Mesh, version: u32, idle: u64| {
        let routes = [
            ("look", "safe", "/look/", "desk"),
            ("guest", "safe", "/guest/", "guest"),
        ];
        let text = mesh::config(version, &routes, &["desk", "guest"], idle as usize);
        mesh.store.put("op/config", text.as_bytes());
    };
    publish(&mesh, version, 5);
    mesh.start_upstreams(&mesh::sound(Duration::from_millis(5)));
    mesh.start_nodes(true);
    thread::sleep(Duration::from_secs(2));
    let mut guests = BTreeMap::new();
    for round in 0..rounds {
        let end = Instant::now() + Duration::from_millis(3_000 + random.below(5_000));
        let mut stopped: Vec<(usize, Instant)> = Vec::new();
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(20 + random.below(150)));
            let machine = random.below(MACHINES as u64) as usize;
            let guest = random.below(GUESTS);
            let zone = ZONES[random.below(3) as usize];
            match random.below(16) {
                0..3 => {
                    let state = if random.below(3) == 0 {
                        "draining"
                    } else {
                        "ready"
                    };
                    register(&mesh, guest, state, random.below(1_000));
                    guests.insert(guest, state);
                    record.note(format_args!("guest {guest} {state}"));
                }
                3..6 => {
                    mesh.store.remove(&format!("servers/g-{guest}"));
                    guests.remove(&guest);
                    record.note(format_args!("guest {guest} removed"));
                }
                6 => mesh.store.put(&format!("op/evacuate/{zone}"), b"{}"),
                7 => mesh.store.remove(&format!("op/evacuate/{zone}")),
                8 => {
                    version += 1 + random.below(3) as u32;
                    publish(&mesh, version, random.below(20));
                    record.note(format_args!("version {version}"));
                }
                9..11 if !stopped.iter().any(|(m, _)| *m == machine) => {
                    let pause = Duration::from_millis(200 + random.below(3_000));
                    mesh.signal_node(machine, "STOP");
                    stopped.push((machine, Instant::now() + pause));
                    record.note(format_args!("node {machine} stopped for {pause:?}"));
                }
                11 if !stopped.iter().any(|(m, _)| *m == machine) => {
                    mesh.restart_node(machine);
                    record.note(format_args!("node {machine} restarted"));
                }
                12 => {
                    mesh.store.forget();
                    record.note("the store forgets its history");
                }
                13..15 if has_store_trouble => {
                    let door = door(&mut random);
                    mesh.store.set_door(machine, door);
                    record.note(format_args!("store for node {machine}: {door:?}"));
                }
                15 if has_store_trouble => {
                    let door = if random.below(3) == 0 {
                        door(&mut random)
                    } else {
                        Door::Open
                    };
                    (0..MACHINES).for_each(|machine| mesh.store.set_door(machine, door));
                    record.note(format_args!("store for all nodes: {door:?}"));
                }
                _ => {}
            }
            stopped.retain(|(machine, until)| {
                let is_over = Instant::now() > *until;
                if is_over {
                    mesh.signal_node(*machine, "CONT");
                }
                !is_over
            });
        }
        for (machine, _) in stopped {
            mesh.signal_node(machine, "CONT");
        }
        (0..MACHINES).for_each(|machine| mesh.store.set_door(machine, Door::Open));
        thread::sleep(CALM);
        let expected = expected(&mesh, &guests, version);
        for machine in 0..MACHINES {
            let view = view(&mesh, machine);
            if view != expected {
                let differs: Vec<_> = view.symmetric_difference(&expected).cloned().collect();
                record.note(format_args!(
                    "round {round}: the view of node {machine} differs: {differs:?}"
                ));
                println!(
                    "seed {seed}, round {round}: the view of node {machine} differs: {differs:?}"
                );
                return true;
            }
        }
        record.note(format_args!("round {round}: all views are the same"));
    }
    false
}

fn door(random: &mut Random) -> Door {
    [Door::Open, Door::Reset, Door::Silent, Door::Busy][random.below(4) as usize]
}

fn register(mesh: &Mesh, guest: u64, state: &str, sequence: u64) {
    let zone = ZONES[(guest % 3) as usize];
    let value = format!(
        r#"{{"address":"127.0.95.{}:4000","born":{},"info":{{"service":"guest","version":"v1","zone":"{zone}","slots":4}},"status":{{"state":"{state}","sequence":{sequence},"coldRemaining":"0ms"}}}}"#,
        guest + 1,
        1_000 + sequence
    );
    mesh.store
        .put(&format!("servers/g-{guest}"), value.as_bytes());
}

/// What a node should say of the guests: their names, and why it would send them nothing.
fn expected(mesh: &Mesh, guests: &BTreeMap<u64, &str>, version: u32) -> BTreeSet<String> {
    let evacuated = mesh.store.keys("op/evacuate/");
    let guests = guests.iter().map(|(guest, state)| {
        let zone = ZONES[(*guest % 3) as usize];
        let is_evacuated = evacuated
            .iter()
            .any(|key| key.ends_with(&format!("/{zone}")));
        let left_out = match (*state, is_evacuated) {
            ("draining", _) => "leaving",
            (_, true) => "out-of-service",
            _ => "null",
        };
        format!("g-{guest} {left_out}")
    });
    guests.chain([format!("version {version}")]).collect()
}

/// What a node says of the guests at its operators' port.
fn view(mesh: &Mesh, machine: usize) -> BTreeSet<String> {
    let addr = SocketAddr::new(mesh.machines[machine].0, mesh.ports[mesh::OPERATORS]);
    let request = b"GET /explain?method=GET&host=mesh.example&path=%2Fguest%2F1 HTTP/1.1\r\nHost: node\r\n\r\n";
    let answer = http::exchange(addr, request, Duration::from_secs(3));
    let text = answer.map_or(String::new(), |a| {
        String::from_utf8_lossy(&a.body).into_owned()
    });
    let version = field(&text, "version");
    let version = version.split('.').nth(1).unwrap_or_default().to_owned();
    let guests = text.split("\"upstream\": \"").skip(1).map(|part| {
        let name = part.split('"').next().unwrap_or_default();
        // A hint about the choice, which is no reason to send it nothing.
        let left_out = field(part, "left_out").replace("others-preferred", "null");
        format!("{name} {left_out}")
    });
    guests.chain([format!("version {version}")]).collect()
}

fn field(text: &str, name: &str) -> String {
    let key = format!("\"{name}\": ");
    let value = text.split_once(&key).map_or("", |(_, rest)| rest);
    let value = value.split([',', '\n']).next().unwrap_or_default();
    value.trim_matches('"').to_owned()
}
