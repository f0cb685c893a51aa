//! MIXED: `100 Continue` for the next request is written into a response's body.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::config::Rule;
use crate::config::config;
use crate::deployment::Deployment;
use crate::deployment::NodeSettings;
use crate::http;
use crate::http::Connection;
use crate::http::Message;
use crate::record::Record;
use crate::upstream::Identity;
use crate::upstream::Upstream;
use crate::upstream::Work;

/// Clients that load a page of 90,000 bytes at once, usually and in a burst of 1.7 times.
const USUAL: usize = 10;
const BURST: usize = 17;
const PAGE: usize = 90_000;
/// A book, which is shorter than the longest answers of 540,000 bytes.
const BOOK: usize = 300_000;
/// Time from the request for the book to the next request on its connection. Without the
/// burst the book has arrived by then.
const NEXT_AFTER: Duration = Duration::from_millis(1_500);
const ROUNDS: usize = 5;

pub fn run(record: &Arc<Record>, dir: PathBuf, has_trouble: bool) -> Verdict {
    let mut mesh = Deployment::new(2, record, dir);
    for (machine, service) in [(1, "books"), (2, "desk")] {
        let identity = Identity {
            id: format!("i-{machine}"),
            service: service.into(),
            zone: "west-a".into(),
            slots: 32,
            addr: mesh.target(machine),
        };
        Upstream::start(identity, &mesh.store, &mesh.record, Duration::ZERO, work);
    }
    let rules = [
        Rule {
            latency_ms: 5_000,
            ..Rule::new("r-book", "download", "/book/", "books")
        },
        Rule {
            latency_ms: 5_000,
            ..Rule::new("r-page", "download", "/page/", "books")
        },
        Rule {
            latency_ms: 5_000,
            ..Rule::new("r-look", "safe", "/look/", "desk")
        },
    ];
    mesh.store
        .put("op/config", &config(1, &rules, &["books", "desk"]));
    for (machine, service) in [(1, "books"), (2, "desk")] {
        let settings = NodeSettings {
            zone: "west-a".into(),
            service: service.into(),
            link: "11.0Mbit/s".into(),
        };
        mesh.start_node(machine, &settings);
    }
    if !mesh.wait_until_ready() {
        return Verdict::CouldNotRun("the nodes are not ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    let (mut mixed, mut whole) = (0, 0);
    for round in 0..ROUNDS {
        let addr = mesh.callers(1);
        let count = if has_trouble { BURST } else { USUAL };
        record.line(&format!(
            "load       round {round}: {count} clients load a page at once"
        ));
        let pages: Vec<_> = (0..count)
            .map(|n| thread::spawn(move || load_page(addr, &format!("page-{round}-{n}"))))
            .collect();
        match read_book(addr, round, record) {
            Some(true) => whole += 1,
            Some(false) => mixed += 1,
            None => {}
        }
        let loaded = pages
            .into_iter()
            .filter_map(|p| p.join().ok())
            .filter(|is| *is)
            .count();
        record.line(&format!(
            "load       round {round}: {loaded} of {count} pages came whole"
        ));
        thread::sleep(Duration::from_secs(1));
    }
    record.line(&format!(
        "result     {ROUNDS} books: {whole} whole, {mixed} with other bytes"
    ));
    if mixed > 0 {
        Verdict::Broken
    } else if whole == 0 {
        Verdict::CouldNotRun("no book was read".into())
    } else {
        Verdict::Held
    }
}

fn work(request: &Message) -> Work {
    let size = match request.path() {
        path if path.starts_with("/book/") => BOOK,
        path if path.starts_with("/page/") => PAGE,
        _ => 400,
    };
    Work {
        time: Duration::from_millis(50),
        status: 200,
        body: vec![b'x'; size],
        is_lost: false,
        crashes: false,
    }
}

fn load_page(addr: SocketAddr, id: &str) -> bool {
    let Ok(stream) = TcpStream::connect(addr) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let mut conn = Connection::new(stream);
    let _ = conn.write(&http::request("GET", "/page/1", id, 5_000, b""));
    let answer = conn.read().ok().flatten();
    answer.is_some_and(|answer| answer.status() == 200 && answer.body == vec![b'x'; PAGE])
}

/// Asks for a book, and on the same connection for something else. Returns whether a
/// successful answer had the upstream's body.
fn read_book(addr: SocketAddr, round: usize, record: &Record) -> Option<bool> {
    let stream = TcpStream::connect(addr).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let mut next = stream.try_clone().ok()?;
    let mut conn = Connection::new(stream);
    let id = format!("book-{round}");
    conn.write(&http::request("GET", "/book/1", &id, 5_000, b""))
        .ok()?;
    record.line(&format!("send       {id}"));
    let sender = thread::spawn(move || {
        thread::sleep(NEXT_AFTER);
        let head = format!(
            "PUT /look/1 HTTP/1.1\r\nHost: mesh.example\r\nCeleryshore-Request-Id: next-{round}\r\n\
             Celeryshore-Deadline-Ms: 3000\r\nContent-Length: 8\r\nExpect: 100-continue\r\n\r\n"
        );
        let _ = next.write_all(head.as_bytes());
        next
    });
    let answer = conn.read().ok().flatten();
    let Some(answer) = answer.filter(|answer| answer.status() == 200) else {
        record.line(&format!("answer     {id}: no success"));
        return None;
    };
    let is_whole = answer.body == vec![b'x'; BOOK];
    record.line(&format!(
        "answer     {id}: 200, {} bytes",
        answer.body.len()
    ));
    if !is_whole {
        let at = answer
            .body
            .iter()
            .position(|byte| *byte != b'x')
            .unwrap_or(0);
        let end = answer.body.len().min(at + 30);
        record.line(&format!(
            "MIXED      {id}: byte {at} of its body begins {:?}",
            String::from_utf8_lossy(&answer.body[at..end])
        ));
        return Some(false);
    }
    let mut next = sender.join().ok()?;
    let interim = conn.read().ok().flatten().map(|answer| answer.status());
    let _ = next.write_all(b"8 bytes.");
    let last = conn.read().ok().flatten().map(|answer| answer.status());
    record.line(&format!(
        "answer     next-{round}: {interim:?}, then {last:?}"
    ));
    Some(true)
}
