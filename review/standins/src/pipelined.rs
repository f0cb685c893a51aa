//! LOST: a request that is sent behind a response in transfer, at a SIGTERM.
//!
//! A node on a link of 11 Mbit/s has large responses to send. While it waits for the turn
//! of one on the link, its client sends a further safe request on the connection. The node
//! reads it, passes it on, and closes the connection after the first response.

use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

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

const CLIENTS: usize = 8;
/// Size of a download; those of the deployment in Zagreb are up to 540,000 bytes.
const DOWNLOAD: usize = 200_000;
/// Time from a download's request to the next one on its connection. The upstream has
/// answered by then; the answer waits for the link.
const FURTHER_AFTER: Duration = Duration::from_millis(200);
const GRACE: Duration = Duration::from_secs(6);

/// How a request ended at its client.
#[derive(Clone, Debug)]
struct Ended {
    id: String,
    sent: Instant,
    answer: Option<u16>,
    /// Sent while the connection was not known to close.
    is_fair: bool,
}

pub fn run(record: &Arc<Record>, dir: PathBuf, has_trouble: bool) -> Verdict {
    let mut mesh = Deployment::new(2, record, dir);
    let settings = NodeSettings {
        zone: "west-a".into(),
        service: "books".into(),
        link: "11.0Mbit/s".into(),
    };
    let mut upstreams = Vec::new();
    for machine in 1..=2 {
        let identity = Identity {
            id: format!("i-{machine}"),
            service: "books".into(),
            zone: "west-a".into(),
            slots: 16,
            addr: mesh.target(machine),
        };
        let (store, record) = (&mesh.store, &mesh.record);
        upstreams.push(Upstream::start(
            identity,
            store,
            record,
            Duration::ZERO,
            work,
        ));
    }
    let rules = [
        Rule::new("r-book", "download", "/book/", "books"),
        Rule::new("r-look", "safe", "/look/", "books"),
    ];
    mesh.store.put("op/config", &config(1, &rules, &["books"]));
    let node = mesh.start_node(1, &settings);
    mesh.start_node(2, &settings);
    if !mesh.wait_until_ready() {
        return Verdict::CouldNotRun("the nodes are not ready".into());
    }
    thread::sleep(Duration::from_secs(5));

    let ended = Arc::new(Mutex::new(Vec::new()));
    let addr = mesh.callers(1);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, ended) = (record.clone(), ended.clone());
            thread::spawn(move || client(n, addr, &record, &ended))
        })
        .collect();
    // The clients' first requests are sent 100 ms from now, and run for 150 ms.
    thread::sleep(Duration::from_millis(150));
    let signalled = Instant::now();
    if has_trouble {
        mesh.signal(node, "TERM");
    }
    for client in clients {
        let _ = client.join();
    }
    let ended = ended.lock().unwrap().clone();
    let runs: Vec<_> = upstreams
        .iter()
        .flat_map(|u| u.runs.lock().unwrap().clone())
        .collect();
    let mut lost = 0;
    for request in &ended {
        let was_passed_on = runs.iter().any(|run| run.request == request.id);
        let is_around = request.sent < signalled + GRACE + Duration::from_secs(1);
        if request.answer.is_none() && request.is_fair && was_passed_on && is_around {
            record.line(&format!(
                "LOST       {}: passed on, and its connection ended",
                request.id
            ));
            lost += 1;
        }
    }
    let answered = ended.iter().filter(|r| r.answer.is_some()).count();
    record.line(&format!(
        "result     {} requests, {answered} answered, {lost} passed on and lost",
        ended.len()
    ));
    if lost > 0 {
        return Verdict::Broken;
    }
    if !has_trouble && answered < ended.len() {
        return Verdict::CouldNotRun("not all requests were answered".into());
    }
    Verdict::Held
}

fn work(request: &Message) -> Work {
    let is_book = request.path().starts_with("/book/");
    Work {
        time: Duration::from_millis(if is_book { 150 } else { 60 }),
        status: 200,
        body: vec![b'x'; if is_book { DOWNLOAD } else { 400 }],
        is_lost: false,
        crashes: false,
    }
}

/// Sends a download, and further requests on the connection before its answer begins. It
/// stops sending as soon as a byte of an answer has arrived.
fn client(
    n: usize,
    addr: std::net::SocketAddr,
    record: &Arc<Record>,
    ended: &Arc<Mutex<Vec<Ended>>>,
) {
    let Ok(stream) = TcpStream::connect(addr) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let mut conn = Connection::new(stream);
    thread::sleep(Duration::from_millis(100));
    let mut sent = Vec::new();
    let mut send = |conn: &mut Connection, path: &str, id: String| {
        record.line(&format!("send       {id} {path} on connection {n}"));
        let bytes = http::request("GET", path, &id, 4_500, b"");
        let is_sent = conn.write(&bytes).is_ok();
        sent.push((id, Instant::now()));
        is_sent
    };
    if !send(&mut conn, &format!("/book/{n}"), format!("book-{n}")) {
        return;
    }
    thread::sleep(FURTHER_AFTER);
    for more in 0..2 {
        thread::sleep(Duration::from_millis(40));
        let mut byte = [0];
        let _ = conn.stream.set_nonblocking(true);
        let has_answer = !matches!(conn.stream.peek(&mut byte),
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock);
        let _ = conn.stream.set_nonblocking(false);
        if has_answer
            || !send(
                &mut conn,
                &format!("/look/{n}.{more}"),
                format!("look-{n}-{more}"),
            )
        {
            break;
        }
    }
    let mut is_closed = false;
    // A request behind an answer that closes the connection counts as not read, unless it
    // was passed on; the driver compares with the runs.
    for (id, at) in sent {
        let answer = if is_closed {
            None
        } else {
            conn.read().ok().flatten()
        };
        let status = answer.as_ref().map(Message::status);
        let text = status.map_or("connection ended".to_owned(), |s| s.to_string());
        let closes = answer.as_ref().is_none_or(Message::closes);
        let note = if closes { ", closes" } else { "" };
        record.line(&format!("answer     {id}: {text}{note}"));
        is_closed |= closes;
        ended.lock().unwrap().push(Ended {
            id,
            sent: at,
            answer: status,
            is_fair: true,
        });
    }
}
