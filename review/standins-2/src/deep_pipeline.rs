//! A client with many requests on one connection leaves before they are answered.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Conn;
use crate::mesh;
use crate::mesh::Answer;
use crate::mesh::Mesh;
use crate::mesh::Record;

/// Requests that the client sends before the first one is answered.
const DEPTH: usize = 40;
const ROUNDS: usize = 4;
/// Time of a request at the upstream, and time after which the client leaves.
const WORK: Duration = Duration::from_millis(1_500);
const LEAVES_AFTER: Duration = Duration::from_millis(300);
/// Of the rule: time after the close, and the share that is allowed.
const ALLOWED: Duration = Duration::from_millis(500);
const ALLOWED_SHARE: f64 = 0.25;

struct Run {
    id: String,
    start: Duration,
    end: Duration,
}

pub fn run(record: Record, has_trouble: bool) -> bool {
    let machines = [
        ("a", "desk"),
        ("b", "desk"),
        ("c", "desk"),
        ("a", "desk"),
        ("b", "desk"),
        ("c", "desk"),
    ];
    let mut mesh = Mesh::new(record.clone(), &machines);
    let routes = [("look", "safe", "/look/", "desk")];
    let text = mesh::config(3, &routes, &["desk"], 10);
    // The requests take long, and the operator allows for it.
    let text = text
        .replace("\"300ms\"", "\"3000ms\"")
        .replace("\"1500ms\"", "\"6000ms\"");
    mesh.store.put("op/config", text.as_bytes());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    mesh.start_upstreams(&upstream(&record, &runs));
    mesh.start_nodes(true);
    thread::sleep(Duration::from_secs(6));

    let mut is_broken = false;
    for round in 0..ROUNDS {
        let stream = TcpStream::connect(mesh.callers(round)).expect("the node accepts");
        let mut conn = Conn::new(stream);
        let prefix = format!("r{round}-");
        let requests =
            (0..DEPTH).map(|i| mesh::request("GET", "/look/1", &format!("{prefix}{i}"), 6_000));
        let requests: Vec<u8> = requests.flatten().collect();
        conn.write(&requests).expect("the node reads");
        record.note(format_args!(
            "{DEPTH} requests {prefix}* sent on one connection"
        ));
        if !has_trouble {
            let answered = (0..DEPTH)
                .filter(|_| matches!(conn.read(), Ok(Some(_))))
                .count();
            record.note(format_args!("{answered} of them answered"));
            if answered < DEPTH {
                mesh.stop();
                std::process::exit(2);
            }
            continue;
        }
        thread::sleep(LEAVES_AFTER);
        drop(conn);
        let left = record.now();
        record.note("the client closes the connection");
        thread::sleep(WORK + Duration::from_secs(2));
        let runs = runs.lock().unwrap();
        let lasting = runs.iter().filter(|run| {
            run.id.starts_with(&prefix) && run.start < left && run.start + WORK > left + ALLOWED
        });
        let (ends, total) = lasting.fold((0, 0), |(late, total), run| {
            (late + usize::from(run.end > left + ALLOWED), total + 1)
        });
        let arrivals = runs
            .iter()
            .filter(|r| r.id.starts_with(&prefix) && r.start > left + ALLOWED);
        record.note(format_args!(
            "half a second later, upstreams are at work on {ends} of {total} requests that last so long; {} more arrive later",
            arrivals.count()
        ));
        is_broken |= ends as f64 > ALLOWED_SHARE * total as f64;
    }
    mesh.stop();
    is_broken
}

/// Upstream that drops a request when its connection closes.
fn upstream(record: &Record, runs: &Arc<Mutex<Vec<Run>>>) -> Answer {
    let (record, runs) = (record.clone(), runs.clone());
    Arc::new(move |request, conn| {
        let id = request
            .field("celeryshore-request-id")
            .unwrap_or_default()
            .to_owned();
        let start = record.now();
        let _ = conn.stream.set_nonblocking(true);
        let mut is_closed = false;
        while !is_closed && record.now() - start < WORK {
            is_closed = match conn.stream.peek(&mut [0]) {
                Ok(count) => count == 0,
                Err(err) => err.kind() != io::ErrorKind::WouldBlock,
            };
            thread::sleep(Duration::from_millis(10));
        }
        let _ = conn.stream.set_nonblocking(false);
        let end = record.now();
        record.note(format_args!(
            "{id} {}",
            if is_closed { "dropped" } else { "done" }
        ));
        runs.lock().unwrap().push(Run { id, start, end });
        !is_closed
            && conn
                .write(&http::response("200 OK", &mesh::signed(request), b"done"))
                .is_ok()
    })
}
