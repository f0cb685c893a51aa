//! All processes are killed, and clients send the header field `Idempotency-Key`.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::mesh;
use crate::mesh::Mesh;
use crate::mesh::Record;

/// Bound of the site.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time from the start to the fault, time for which the processes are down, and time for
/// which the requests after the recovery are counted.
const BEFORE: Duration = Duration::from_secs(45);
const DOWN: Duration = Duration::from_millis(900);
const COUNTED: Duration = Duration::from_secs(12);
/// Share that has to be served, before the fault and after the recovery.
const SHARE: f64 = 0.25;

pub fn run(record: Record, has_trouble: bool) -> bool {
    let machines = [("a", "office"), ("b", "office"), ("c", "office")];
    let mut mesh = Mesh::new(record.clone(), &machines);
    let routes = [
        ("filing", "unsafe", "/filing/", "office"),
        ("review", "unsafe", "/review/", "office"),
    ];
    let text = mesh::config(3, &routes, &["office"], 10);
    mesh.store.put("op/config", text.as_bytes());
    mesh.start_upstreams(&mesh::sound(Duration::from_millis(20)));
    mesh.start_nodes(true);

    let ends = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..machines.len())
        .map(|machine| {
            let (addr, record) = (mesh.callers(machine), record.clone());
            let (ends, answers) = (ends.clone(), answers.clone());
            thread::spawn(move || {
                for n in 0.. {
                    if ends.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{machine}-{n}");
                    let path = ["/filing/1", "/review/1"][n % 2];
                    let request = request(path, &id, &key(machine, n));
                    let at = record.now();
                    let answer = http::exchange(addr, &request, Duration::from_secs(2));
                    let status = answer.map_or(0, |a| a.status());
                    record.note(format_args!("{id} answered {status}"));
                    answers.lock().unwrap().push((at, status));
                    thread::sleep(Duration::from_millis(80));
                }
            })
        })
        .collect();
    thread::sleep(BEFORE);
    let fault = record.now();
    if has_trouble {
        record.note("all processes of the system are killed");
        mesh.kill_nodes();
        thread::sleep(DOWN);
        mesh.start_nodes(false);
    }
    let back = record.now();
    thread::sleep(RECOVERY + COUNTED);
    ends.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    mesh.stop();

    let answers = answers.lock().unwrap();
    let served = |from: Duration, to: Duration| {
        let sent = answers.iter().filter(|(at, _)| (from..to).contains(at));
        let (served, total) = sent.fold((0, 0), |(served, total), (_, status)| {
            (served + u32::from(*status == 200), total + 1)
        });
        (served, total)
    };
    let (before, sent_before) = served(fault - Duration::from_secs(8), fault);
    let (after, sent_after) = served(back + RECOVERY, back + RECOVERY + COUNTED);
    record.note(format_args!(
        "in the 8 s before the fault, {before} of {sent_before} requests were served"
    ));
    record.note(format_args!(
        "later than 15 s after all nodes were ready, {after} of {sent_after} were served"
    ));
    let is_enough = |served: u32, sent: u32| f64::from(served) >= SHARE * f64::from(sent);
    if !is_enough(before, sent_before) {
        record.note("too few were served before the fault");
        std::process::exit(2);
    }
    !is_enough(after, sent_after)
}

/// A new key for each request: a UUID of version 7.
fn key(machine: usize, n: usize) -> String {
    let millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let (high, low) = (millis >> 16, millis & 0xffff);
    format!("{high:08x}-{low:04x}-7{machine:03x}-8abc-{n:012x}")
}

fn request(path: &str, id: &str, key: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: 0\r\nIdempotency-Key: {key}\r\n\
         Celeryshore-Request-Id: {id}\r\nCeleryshore-Deadline-Ms: 1200\r\n\r\n"
    )
    .into_bytes()
}
