//! FAILBACK: an upstream that is idle crashes and starts again under its id.
//!
//! Its node finds the idle connections closed, opens others and goes on with the full load,
//! until it reads in the store that the upstream is cold.

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

const ROUNDS: usize = 5;
const CLIENTS: usize = 10;
/// Requests of a client in a batch, and the time between them: together 200 a second.
const REQUESTS: usize = 20;
const GAP: Duration = Duration::from_millis(50);
/// Time between the crash of the upstream and its next start.
const DOWN: Duration = Duration::from_millis(300);
const COLD_START: Duration = Duration::from_secs(3);
/// `coldPerS` x `coldLoadFactor` + `coldSlack` = 16 x 1.5 + 5.
const BOUND: usize = 29;
const WINDOW: Duration = Duration::from_secs(1);

type Sent = Arc<Mutex<Vec<(String, Instant)>>>;

pub fn run(record: &Arc<Record>, dir: PathBuf, has_trouble: bool) -> Verdict {
    let mut mesh = Deployment::new(2, record, dir);
    let mut upstreams = vec![
        start(&mesh, 1, Duration::ZERO),
        start(&mesh, 2, Duration::ZERO),
    ];
    let rules = [Rule::new("r-order", "unsafe", "/order/", "desk")];
    mesh.store.put("op/config", &config(1, &rules, &["desk"]));
    for machine in 1..=2 {
        let settings = NodeSettings {
            zone: zone(machine).into(),
            service: "desk".into(),
            link: "1000.0Mbit/s".into(),
        };
        mesh.start_node(machine, &settings);
    }
    if !mesh.wait_until_ready() {
        return Verdict::CouldNotRun("the nodes are not ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let sent = Sent::default();
    let mut broken = 0;
    for round in 0..ROUNDS {
        batch(&mesh, round * 2, &sent);
        // The clients pause. No request is in flight, and the connections stay open.
        thread::sleep(Duration::from_millis(1_500));
        if has_trouble {
            record.line(&format!("crash      upstream i-1, round {round}"));
            upstreams[0].crash();
            thread::sleep(DOWN);
            upstreams[0] = start(&mesh, 1, COLD_START);
            record.line(&format!(
                "start      upstream i-1 again, cold for {COLD_START:?}"
            ));
        }
        let cold_from = Instant::now();
        batch(&mesh, round * 2 + 1, &sent);
        if has_trouble {
            let most = most_in_window(&upstreams[0], &sent.lock().unwrap(), cold_from);
            let text = if most > BOUND {
                "FAILBACK  "
            } else {
                "held      "
            };
            record.line(&format!(
                "{text} round {round}: {most} requests sent and arrived within 1 s, bound {BOUND}"
            ));
            broken += usize::from(most > BOUND);
        }
        if upstreams[0].is_ended() {
            upstreams[0] = start(&mesh, 1, COLD_START);
        }
        thread::sleep(COLD_START + Duration::from_secs(1));
    }
    let runs: usize = upstreams.iter().map(|u| u.runs.lock().unwrap().len()).sum();
    record.line(&format!(
        "result     {broken} of {ROUNDS} rounds over the bound"
    ));
    if broken > 0 {
        Verdict::Broken
    } else if runs == 0 {
        Verdict::CouldNotRun("nothing ran".into())
    } else {
        Verdict::Held
    }
}

fn zone(machine: u8) -> &'static str {
    if machine == 1 { "west-a" } else { "west-b" }
}

fn start(mesh: &Deployment, machine: u8, cold: Duration) -> Arc<Upstream> {
    let identity = Identity {
        id: format!("i-{machine}"),
        service: "desk".into(),
        zone: zone(machine).into(),
        slots: 12,
        addr: mesh.target(machine),
    };
    let work = |_: &Message| Work {
        time: Duration::from_millis(20),
        status: 200,
        body: vec![b'x'; 400],
        is_lost: false,
        crashes: false,
    };
    Upstream::start(identity, &mesh.store, &mesh.record, cold, work)
}

/// Sends a batch of requests from the clients of machine 1.
fn batch(mesh: &Deployment, number: usize, sent: &Sent) {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (addr, record, sent) = (mesh.callers(1), mesh.record.clone(), sent.clone());
            thread::spawn(move || {
                thread::sleep(GAP * client as u32 / CLIENTS as u32);
                for n in 0..REQUESTS {
                    let id = format!("b{number}-{client}-{n}");
                    sent.lock().unwrap().push((id.clone(), Instant::now()));
                    let status = ask(addr, &id);
                    record.line(&format!("answer     {id}: {status}"));
                    thread::sleep(GAP);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
}

/// Returns the most requests that were sent and arrived at an upstream within one window.
fn most_in_window(upstream: &Upstream, sent: &[(String, Instant)], from: Instant) -> usize {
    let runs = upstream.runs.lock().unwrap();
    let spans: Vec<(Instant, Instant)> = runs
        .iter()
        .filter(|run| run.at >= from)
        .filter_map(|run| {
            let sent = sent.iter().find(|(id, _)| *id == run.request)?;
            Some((sent.1, run.at))
        })
        .collect();
    let in_window = |start: Instant| {
        let is_inside = |span: &&(Instant, Instant)| span.0 >= start && span.1 <= start + WINDOW;
        spans.iter().filter(is_inside).count()
    };
    spans
        .iter()
        .map(|span| in_window(span.0))
        .max()
        .unwrap_or(0)
}

fn ask(addr: SocketAddr, id: &str) -> String {
    let asked = || -> std::io::Result<u16> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let mut conn = Connection::new(stream);
        conn.write(&http::request("POST", "/order/1", id, 2_000, b"one"))?;
        Ok(conn.read()?.map_or(0, |answer| answer.status()))
    };
    asked().map_or_else(
        |err| format!("no answer ({err})"),
        |status| status.to_string(),
    )
}
