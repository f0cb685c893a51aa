//! A change of the configuration that adds a route whose name has a capital letter.

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

/// Bound of the site.
const CONFIG: Duration = Duration::from_millis(2_000);
const OBSERVED: Duration = Duration::from_secs(8);

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
    let publish = |mesh: &Mesh, version: u32, service: &str, added: &str| {
        let routes = [
            ("look", "safe", "/look/", service),
            (added, "safe", "/added/", "new"),
        ];
        let routes = if added.is_empty() {
            &routes[..1]
        } else {
            &routes[..]
        };
        let text = mesh::config(version, routes, &services, 10);
        mesh.store.put("op/config", text.as_bytes());
        record.note(format_args!(
            "r{version} acknowledged: /look/ to {service}, added route {added:?}"
        ));
        record.now()
    };
    publish(&mesh, 3, "old", "");
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
                    let path = ["/look/1", "/added/1"][n % 2];
                    let id = format!("c{machine}-{n}");
                    let request = mesh::request("GET", path, &id, 1_200);
                    let at = record.now();
                    let answer = http::exchange(addr, &request, Duration::from_secs(2));
                    let status = answer.map_or(0, |a| a.status());
                    record.note(format_args!("{id} to {path} answered {status}"));
                    sent.lock().unwrap().push((at, id, path, status));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let name = if has_trouble {
        "Stock-Check"
    } else {
        "stock-check"
    };
    let acknowledged = publish(&mesh, 7, "new", name);
    thread::sleep(CONFIG + OBSERVED);
    ends.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let due = acknowledged + CONFIG;
    let sent = sent.lock().unwrap();
    let late: Vec<_> = sent.iter().filter(|(at, ..)| *at > due).collect();
    let arrivals = record.arrivals.lock().unwrap();
    let runs_at_old = |id: &str| arrivals.iter().any(|a| a.id == id && a.service == "old");
    let old = late.iter().filter(|(_, id, ..)| runs_at_old(id)).count();
    let missing = late
        .iter()
        .filter(|(.., path, status)| *path == "/added/1" && *status == 404);
    let missing = missing.count();
    record.note(format_args!(
        "of {} requests sent later than 2 s after the acknowledgement, {old} ran at the old service and {missing} to the added route got 404",
        late.len()
    ));
    mesh.stop();
    old > 0 || missing > 0
}
