//! BUDGET: a request that crashes the upstreams that run it comes again, also after its
//! quarantine of 30 s.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
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

const MACHINES: u8 = 4;
/// Time after which a crashed upstream is back ("after some seconds").
const DOWN: Duration = Duration::from_secs(2);
const COLD_START: Duration = Duration::from_secs(3);
/// Time between two sends of the request, at one machine after the other.
const GAP: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(100);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Retries that may reach upstreams later than `stableWindow` after the third crash.
const ALLOWED: usize = 3;

pub fn run(record: &Arc<Record>, dir: PathBuf, has_trouble: bool) -> Verdict {
    let mut mesh = Deployment::new(MACHINES, record, dir);
    let mut upstreams: Vec<_> = (1..=MACHINES)
        .map(|machine| start(&mesh, machine, Duration::ZERO, has_trouble))
        .collect();
    let rules = [
        Rule::new("r-order", "unsafe", "/order/", "desk"),
        Rule::new("r-look", "safe", "/look/", "desk"),
    ];
    mesh.store.put("op/config", &config(1, &rules, &["desk"]));
    for machine in 1..=MACHINES {
        let settings = NodeSettings {
            zone: if machine % 2 == 1 { "west-a" } else { "west-b" }.into(),
            service: "desk".into(),
            link: "1000.0Mbit/s".into(),
        };
        mesh.start_node(machine, &settings);
    }
    if !mesh.wait_until_ready() {
        return Verdict::CouldNotRun("the nodes are not ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    let started = Instant::now();
    let mut ended: Vec<Option<Instant>> = vec![None; usize::from(MACHINES)];
    let mut arrivals: Vec<Instant> = Vec::new();
    let mut n = 0;
    while started.elapsed() < LENGTH {
        let machine = 1 + u8::try_from(n % usize::from(MACHINES)).unwrap_or(0);
        let addr = mesh.callers(machine);
        let id = format!("poison-{n}");
        let status = ask(addr, "POST", "/order/poison", &id);
        record.line(&format!("answer     {id} at machine {machine}: {status}"));
        let id = format!("look-{n}");
        let status = ask(addr, "GET", "/look/1", &id);
        record.line(&format!("answer     {id} at machine {machine}: {status}"));
        n += 1;
        for (i, upstream) in upstreams.iter_mut().enumerate() {
            if !upstream.is_ended() {
                continue;
            }
            match ended[i] {
                None => {
                    let runs = upstream.runs.lock().unwrap();
                    let crashes = runs.iter().filter(|run| run.request.starts_with("poison-"));
                    arrivals.extend(crashes.map(|run| run.at));
                    ended[i] = Some(Instant::now());
                }
                Some(at) if at.elapsed() >= DOWN => {
                    let machine = u8::try_from(i + 1).unwrap_or(1);
                    *upstream = start(&mesh, machine, COLD_START, has_trouble);
                    record.line(&format!("start      upstream i-{machine} again"));
                    ended[i] = None;
                }
                Some(_) => {}
            }
        }
        thread::sleep(GAP);
    }
    arrivals.sort();
    let late = match arrivals.get(2) {
        Some(third) => arrivals
            .iter()
            .filter(|at| **at > *third + STABLE_WINDOW)
            .count(),
        None => 0,
    };
    let times: Vec<String> = arrivals
        .iter()
        .map(|at| format!("{:.1}", (*at - started).as_secs_f64()))
        .collect();
    record.line(&format!("crashes    at {} s", times.join(", ")));
    record.line(&format!(
        "result     {n} sends, {} crashes, {late} later than 3 s after the third; allowed {ALLOWED}",
        arrivals.len()
    ));
    if late > ALLOWED {
        Verdict::Broken
    } else if has_trouble && arrivals.is_empty() {
        Verdict::CouldNotRun("the request reached no upstream".into())
    } else {
        Verdict::Held
    }
}

fn start(mesh: &Deployment, machine: u8, cold: Duration, has_trouble: bool) -> Arc<Upstream> {
    let identity = Identity {
        id: format!("i-{machine}"),
        service: "desk".into(),
        zone: if machine % 2 == 1 { "west-a" } else { "west-b" }.into(),
        slots: 12,
        addr: mesh.target(machine),
    };
    let work = move |request: &Message| Work {
        time: Duration::from_millis(20),
        status: 200,
        body: vec![b'x'; 400],
        is_lost: false,
        crashes: has_trouble && request.path() == "/order/poison",
    };
    Upstream::start(identity, &mesh.store, &mesh.record, cold, work)
}

fn ask(addr: SocketAddr, method: &str, path: &str, id: &str) -> String {
    let asked = || -> std::io::Result<u16> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let mut conn = Connection::new(stream);
        let body: &[u8] = if method == "POST" { b"one" } else { b"" };
        conn.write(&http::request(method, path, id, 2_000, body))?;
        Ok(conn.read()?.map_or(0, |answer| answer.status()))
    };
    asked().map_or_else(
        |err| format!("no answer ({err})"),
        |status| status.to_string(),
    )
}
