//! A request that waits for status 100 behind one whose answer is on its way.

use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::io::Read;

use crate::http;
use crate::http::Conn;
use crate::mesh;
use crate::mesh::Answer;
use crate::mesh::Mesh;
use crate::mesh::Record;

/// Size of the answer to the first request.
const LARGE: usize = 12 * 1_024 * 1_024;
const BODY: usize = 20_000;
/// Time from the first request to the second.
const PAUSE: Duration = Duration::from_millis(600);
/// Time for which the client's link delivers nothing.
const STALL: Duration = Duration::from_millis(1_200);
const ROUNDS: usize = 4;

pub fn run(record: Record, has_trouble: bool) -> bool {
    let machines = [("a", "desk"), ("b", "desk"), ("c", "desk")];
    let mut mesh = Mesh::new(record.clone(), &machines);
    let routes = [("look", "safe", "/look/", "desk")];
    let text = mesh::config(3, &routes, &["desk"], 10);
    mesh.store.put("op/config", text.as_bytes());
    let answer: Answer = Arc::new(|request, conn| {
        let size = if request.target().ends_with("/large") { LARGE } else { 200 };
        let body: Vec<u8> = (0..size).map(|i| b'a' + (i % 23) as u8).collect();
        conn.write(&http::response("200 OK", &mesh::signed(request), &body)).is_ok()
    });
    mesh.start_upstreams(&answer);
    mesh.start_nodes(true);
    thread::sleep(Duration::from_secs(5));
    let mut broken = 0;
    for round in 0..ROUNDS {
        match exchange(&mesh, &record, round, has_trouble) {
            Ok(true) => {}
            Ok(false) => broken += 1,
            Err(err) => record.note(format_args!("round {round}: {err}")),
        }
    }
    record.note(format_args!("{broken} of {ROUNDS} answers weren't the upstream's"));
    mesh.stop();
    broken > 0
}

/// Sends two requests on one connection. Returns whether both answers are right.
fn exchange(mesh: &Mesh, record: &Record, round: usize, has_trouble: bool) -> std::io::Result<bool> {
    let stream = TcpStream::connect(mesh.callers(round % 3))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut conn = Conn::new(stream);
    let first = format!("first-{round}");
    conn.write(&mesh::request("GET", "/look/large", &first, 9_000))?;
    record.note(format_args!("{first} sent"));
    let start = Instant::now();
    if has_trouble {
        record.note("the client's link delivers nothing for 1.2 s");
    }
    let mut sender = conn.stream.try_clone()?;
    let second = format!("second-{round}");
    let (record2, second2) = (record.clone(), second.clone());
    let sending = thread::spawn(move || {
        use std::io::Write;
        thread::sleep(PAUSE);
        let head = format!(
            "POST /look/small HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: {BODY}\r\n\
             Expect: 100-continue\r\nCeleryshore-Request-Id: {second2}\r\nCeleryshore-Deadline-Ms: 9000\r\n\r\n"
        );
        record2.note(format_args!("{second2} sent, its body follows a second later"));
        let _ = sender.write_all(head.as_bytes());
        thread::sleep(Duration::from_secs(1));
        let _ = sender.write_all(&vec![b'x'; BODY]);
    });
    if has_trouble {
        thread::sleep(STALL.saturating_sub(start.elapsed()));
    }
    let mut bytes = Vec::new();
    let mut chunk = [0; 65_536];
    let answer = loop {
        if let Some(end) = http::find(&bytes[..bytes.len().min(4_096)], b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            if head.starts_with("HTTP/1.1 100") {
                bytes.drain(..end + 4);
                continue;
            }
            if bytes.len() >= end + 4 + LARGE || start.elapsed() > Duration::from_secs(8) {
                break (head, bytes.split_off(end + 4));
            }
        }
        let count = conn.stream.read(&mut chunk)?;
        if count == 0 {
            break (String::from_utf8_lossy(&bytes).into_owned(), Vec::new());
        }
        bytes.extend_from_slice(&chunk[..count]);
    };
    let _ = sending.join();
    let (head, body) = answer;
    let status = head.lines().next().unwrap_or_default().to_owned();
    let is_success = status.contains(" 200 ");
    let is_signed = head.to_ascii_lowercase().contains("celeryshore-response-signature");
    let wrong = body.iter().take(LARGE).enumerate().position(|(i, b)| *b != b'a' + (i % 23) as u8);
    record.note(format_args!("{first} answered: {status}, signed: {is_signed}, first wrong byte: {wrong:?}"));
    if let Some(at) = wrong {
        let part = &body[at..(at + 40).min(body.len())];
        record.note(format_args!("bytes there: {:?}", String::from_utf8_lossy(part)));
    }
    Ok(!is_success || wrong.is_none())
}
