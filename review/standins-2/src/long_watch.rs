//! Configurations in quick succession while the store is slow: the answer to a watch then
//! holds several large configurations.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::mesh;
use crate::mesh::Mesh;
use crate::mesh::Record;
use crate::store::Mood;

/// 300 idle routes of the site and 350 more, nine times.
const IDLE_ROUTES: usize = 3_450;
/// Bounds of the site: `config` and `stableWindow`.
const CONFIG: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// The storm and the slow store, within their doses.
const STORM: Duration = Duration::from_secs(2);
const GAP: Duration = Duration::from_millis(80);
const SLOW: Duration = Duration::from_millis(4_500);
const SLOW_FACTOR: u32 = 50;
const OBSERVED: Duration = Duration::from_secs(6);

pub fn run(record: Record, has_trouble: bool) -> bool {
    let machines = [
        ("a", "old"),
        ("b", "old"),
        ("c", "old"),
        ("a", "new"),
        ("b", "new"),
        ("c", "new"),
    ];
    let mut mesh = Mesh::new(record.clone(), &machines);
    let services = ["old", "new"];
    let publish = |mesh: &Mesh, version: u32, service: &str| {
        let routes = [("look", "safe", "/look/", service)];
        let text = mesh::config(version, &routes, &services, IDLE_ROUTES);
        mesh.store.put("op/config", text.as_bytes());
        let at = record.now();
        let size = text.len();
        record.note(format_args!(
            "r{version} acknowledged: /look/ to {service}, {size} bytes"
        ));
        at
    };
    publish(&mesh, 3, "old");
    mesh.start_upstreams(&mesh::sound(Duration::from_millis(5)));
    mesh.start_nodes(true);
    thread::sleep(Duration::from_secs(5));

    let ends = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..machines.len())
        .map(|machine| {
            let (addr, record) = (mesh.callers(machine), record.clone());
            let (ends, sent) = (ends.clone(), sent.clone());
            thread::spawn(move || {
                for n in 0.. {
                    if ends.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{machine}-{n}");
                    let request = mesh::request("GET", "/look/1", &id, 1_200);
                    sent.lock().unwrap().push((record.now(), id.clone()));
                    let answer = http::exchange(addr, &request, Duration::from_secs(2));
                    let status = answer.map_or(0, |a| a.status());
                    record.note(format_args!("{id} answered {status}"));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));

    let mut version = 3;
    if has_trouble {
        mesh.store.set_mood(Mood { slow: SLOW_FACTOR });
        record.note(format_args!(
            "the store's answers take {SLOW_FACTOR} times as long"
        ));
        let start = record.now();
        while record.now() - start < STORM {
            version += 1;
            publish(&mesh, version, "old");
            thread::sleep(GAP);
        }
        thread::sleep((start + SLOW).saturating_sub(record.now()));
        mesh.store.set_mood(Mood::default());
        record.note("the store is as fast as usual again");
    }
    thread::sleep(STABLE_WINDOW + Duration::from_millis(500));
    let acknowledged = publish(&mesh, version + 1, "new");
    thread::sleep(CONFIG + OBSERVED);
    ends.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let due = acknowledged + CONFIG;
    let sent = sent.lock().unwrap();
    let late: Vec<_> = sent.iter().filter(|(at, _)| *at > due).collect();
    let arrivals = record.arrivals.lock().unwrap();
    let runs_at =
        |id: &str, service: &str| arrivals.iter().any(|a| a.id == id && a.service == service);
    let old = late.iter().filter(|(_, id)| runs_at(id, "old")).count();
    let new = late.iter().filter(|(_, id)| runs_at(id, "new")).count();
    let largest = mesh.store.largest_watch();
    record.note(format_args!("largest answer to a watch: {largest} bytes"));
    record.note(format_args!(
        "of {} requests sent later than 2 s after the acknowledgement, {old} ran at the old service, {new} at the new one",
        late.len()
    ));
    mesh.stop();
    old > 0
}
