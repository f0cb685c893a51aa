//! Another writer leaves large odd entries among those of the upstreams, and an upstream
//! reports that it leaves.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::mesh;
use crate::mesh::Mesh;
use crate::mesh::Record;

/// Bound of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// The odd entries: their number, their size (`valueBytes` is 1,048,576) and their pause.
const ENTRIES: usize = 4;
const SIZE: usize = 900_000;
const GAP: Duration = Duration::from_millis(100);
/// Machine whose upstream leaves, and time for which it serves on.
const LEAVING: usize = 2;
const SERVES_ON: Duration = Duration::from_secs(8);

pub fn run(record: Record, has_trouble: bool) -> bool {
    let machines = [
        ("a", "desk"),
        ("a", "desk"),
        ("b", "desk"),
        ("b", "desk"),
        ("c", "desk"),
        ("c", "desk"),
    ];
    let mut mesh = Mesh::new(record.clone(), &machines);
    let routes = [("look", "safe", "/look/", "desk")];
    let text = mesh::config(3, &routes, &["desk"], 10);
    mesh.store.put("op/config", text.as_bytes());
    mesh.start_upstreams(&mesh::sound(Duration::from_millis(5)));
    mesh.start_nodes(true);
    thread::sleep(Duration::from_secs(6));

    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..machines.len())
        .map(|machine| {
            let (addr, record, ends) = (mesh.callers(machine), record.clone(), ends.clone());
            thread::spawn(move || {
                for n in 0.. {
                    if ends.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{machine}-{n}");
                    let request = mesh::request("GET", "/look/1", &id, 1_200);
                    let answer = http::exchange(addr, &request, Duration::from_secs(2));
                    let status = answer.map_or(0, |a| a.status());
                    record.note(format_args!("{id} answered {status}"));
                    thread::sleep(Duration::from_millis(80));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    for i in 0..ENTRIES {
        if has_trouble {
            mesh.store
                .put(&format!("servers/odd-{i}"), &vec![0xff; SIZE]);
            record.note(format_args!(
                "another writer leaves servers/odd-{i}, {SIZE} bytes that can't be read"
            ));
        }
        thread::sleep(GAP);
    }
    thread::sleep(Duration::from_millis(1_500));
    let upstream = mesh.upstreams[LEAVING].clone();
    upstream.drain(&mesh.store);
    let acknowledged = record.now();
    record.note(format_args!(
        "draining of {} acknowledged; it serves on",
        upstream.id
    ));
    thread::sleep(SERVES_ON);
    ends.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let arrivals = record.arrivals.lock().unwrap();
    let own = arrivals
        .iter()
        .filter(|a| a.upstream == upstream.id && a.at > acknowledged);
    let late = own.clone().filter(|a| a.at > acknowledged + DRAIN).count();
    let last = own.map(|a| a.at - acknowledged).max().unwrap_or_default();
    record.note(format_args!(
        "largest answer to a watch: {} bytes",
        mesh.store.largest_watch()
    ));
    record.note(format_args!(
        "{late} requests reached {} later than 2 s after the acknowledgement, the last after {:.3} s",
        upstream.id,
        last.as_secs_f64()
    ));
    mesh.stop();
    late > 0
}
