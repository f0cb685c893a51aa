//! LOST: requests that a node takes after a SIGTERM, too late to end within the grace
//! period.

use std::net::SocketAddr;
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

/// Work of a request; well within its route's timeout and its deadline.
const WORK: Duration = Duration::from_millis(2_800);
const TIMEOUT_MS: u32 = 6_000;
/// Time between two orders.
const GAP: Duration = Duration::from_millis(250);
/// Orders before the SIGTERM and in all: for 5.5 s after it.
const EARLIER: u32 = 4;
const ORDERS: u32 = 26;
const GRACE: Duration = Duration::from_secs(6);
/// Requests sent up to now after the SIGTERM are excused if their upstream is at work in
/// the last sixth of the grace period.
const EXCUSED: Duration = Duration::from_secs(3);

struct Ended {
    id: String,
    sent: Instant,
    at: Instant,
    answer: Option<u16>,
}

pub fn run(record: &Arc<Record>, dir: PathBuf, has_trouble: bool) -> Verdict {
    let mut mesh = Deployment::new(2, record, dir);
    let upstreams: Vec<_> = (1..=2)
        .map(|machine| {
            let identity = Identity {
                id: format!("i-{machine}"),
                service: "desk".into(),
                zone: zone(machine).into(),
                slots: 32,
                addr: mesh.target(machine),
            };
            let work = |_: &Message| Work {
                time: WORK,
                status: 200,
                body: vec![b'x'; 400],
                is_lost: false,
                crashes: false,
            };
            Upstream::start(identity, &mesh.store, &mesh.record, Duration::ZERO, work)
        })
        .collect();
    let rule = Rule {
        timeout_ms: TIMEOUT_MS,
        ..Rule::new("r-order", "unsafe", "/order/", "desk")
    };
    mesh.store.put("op/config", &config(1, &[rule], &["desk"]));
    let mut nodes = Vec::new();
    for machine in 1..=2 {
        let settings = NodeSettings {
            zone: zone(machine).into(),
            service: "desk".into(),
            link: "1000.0Mbit/s".into(),
        };
        nodes.push(mesh.start_node(machine, &settings));
    }
    if !mesh.wait_until_ready() {
        return Verdict::CouldNotRun("the nodes are not ready".into());
    }
    thread::sleep(Duration::from_secs(5));

    // Zone west-a has one machine. Once it is out, fewer than half of the zone's nodes are
    // in, so its clients go on.
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let mut stopped = Instant::now();
    for n in 0..ORDERS {
        if n == EARLIER {
            stopped = Instant::now();
            if has_trouble {
                mesh.signal(nodes[0], "TERM");
            }
        }
        let (addr, record, ended) = (mesh.callers(1), record.clone(), ended.clone());
        clients.push(thread::spawn(move || order(n, addr, &record, &ended)));
        thread::sleep(GAP);
    }
    // The platform ends the process after `grace`.
    while has_trouble && !mesh.has_ended(nodes[0]) {
        if stopped.elapsed() >= GRACE {
            mesh.signal(nodes[0], "KILL");
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    for client in clients {
        let _ = client.join();
    }
    let runs: Vec<_> = upstreams
        .iter()
        .flat_map(|u| u.runs.lock().unwrap().clone())
        .collect();
    let ended = ended.lock().unwrap();
    let mut lost = 0;
    for order in ended.iter() {
        let was_passed_on = runs.iter().any(|run| run.request == order.id);
        let is_excused = order.sent <= stopped + EXCUSED;
        let is_around = order.at >= stopped && order.at <= stopped + GRACE + Duration::from_secs(1);
        if order.answer.is_none() && was_passed_on && is_around && !is_excused {
            record.line(&format!(
                "LOST       {}: sent {:.2} s after the SIGTERM, passed on, connection ended after {:.2} s",
                order.id,
                (order.sent - stopped).as_secs_f64(),
                (order.at - order.sent).as_secs_f64()
            ));
            lost += 1;
        }
    }
    let answered = ended
        .iter()
        .filter(|order| order.answer == Some(200))
        .count();
    record.line(&format!(
        "result     {ORDERS} orders, {answered} answered with success, {lost} lost"
    ));
    if lost > 0 {
        Verdict::Broken
    } else if answered == 0 || (!has_trouble && answered < ORDERS as usize) {
        Verdict::CouldNotRun("not all orders were served without a disruption".into())
    } else {
        Verdict::Held
    }
}

fn zone(machine: u8) -> &'static str {
    if machine == 1 { "west-a" } else { "west-b" }
}

fn order(n: u32, addr: SocketAddr, record: &Record, ended: &Mutex<Vec<Ended>>) {
    let id = format!("order-{n}");
    let connected = TcpStream::connect_timeout(&addr, Duration::from_secs(1));
    let Ok(stream) = connected else {
        record.line(&format!("refused    {id}: no connection"));
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    let mut conn = Connection::new(stream);
    let sent = Instant::now();
    record.line(&format!("send       {id}"));
    let request = http::request("POST", "/order/1", &id, TIMEOUT_MS.into(), b"one");
    let answer = conn
        .write(&request)
        .and_then(|()| conn.read())
        .ok()
        .flatten();
    let answer = answer.as_ref().map(Message::status);
    let text = answer.map_or("connection ended".to_owned(), |status| status.to_string());
    record.line(&format!("answer     {id}: {text}"));
    ended.lock().unwrap().push(Ended {
        id,
        sent,
        at: Instant::now(),
        answer,
    });
}
