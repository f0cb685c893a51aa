//! TWICE: rules of two hosts have the same name, one `unsafe`, one `safe`.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
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

const ORDERS: u32 = 100;
/// One answer in this many is lost (`answer_lost` with `x` = 0.025).
const LOST_ONE_IN: u32 = 40;

pub fn run(record: &Arc<Record>, dir: PathBuf, has_trouble: bool) -> Verdict {
    let mut mesh = Deployment::new(3, record, dir);
    let count = Arc::new(AtomicU32::new(0));
    let mut upstreams = Vec::new();
    for machine in 1..=3 {
        let identity = Identity {
            id: format!("i-{machine}"),
            service: "desk".into(),
            zone: "west-a".into(),
            slots: 12,
            addr: mesh.target(machine),
        };
        let count = count.clone();
        let work = move |_: &Message| Work {
            time: Duration::from_millis(20),
            status: 200,
            body: vec![b'x'; 400],
            is_lost: has_trouble
                && count.fetch_add(1, Ordering::SeqCst) % LOST_ONE_IN == LOST_ONE_IN - 1,
            crashes: false,
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
        Rule {
            host: "orders.example",
            ..Rule::new("main", "unsafe", "/", "desk")
        },
        Rule {
            host: "catalog.example",
            ..Rule::new("main", "safe", "/", "desk")
        },
    ];
    mesh.store.put("op/config", &config(1, &rules, &["desk"]));
    for machine in 1..=3 {
        let settings = NodeSettings {
            zone: "west-a".into(),
            service: "desk".into(),
            link: "1000.0Mbit/s".into(),
        };
        mesh.start_node(machine, &settings);
    }
    if !mesh.wait_until_ready() {
        return Verdict::CouldNotRun("the nodes are not ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    for n in 0..ORDERS {
        let id = format!("order-{n}");
        let status = order(mesh.callers(1 + (n % 3) as u8), &id);
        record.line(&format!("answer     {id}: {status}"));
        thread::sleep(Duration::from_millis(30));
    }
    let runs: Vec<_> = upstreams
        .iter()
        .flat_map(|u| u.runs.lock().unwrap().clone())
        .collect();
    let mut twice = 0;
    for n in 0..ORDERS {
        let id = format!("order-{n}");
        let times = runs.iter().filter(|run| run.request == id).count();
        if times > 1 {
            record.line(&format!("TWICE      {id} ran {times} times"));
            twice += 1;
        }
    }
    record.line(&format!(
        "result     {twice} of {ORDERS} unsafe requests ran more than once"
    ));
    if twice > 0 {
        Verdict::Broken
    } else if runs.is_empty() {
        Verdict::CouldNotRun("nothing ran".into())
    } else {
        Verdict::Held
    }
}

fn order(addr: SocketAddr, id: &str) -> String {
    let asked = || -> std::io::Result<u16> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let mut conn = Connection::new(stream);
        let bytes = http::request_to("orders.example", "POST", "/order/1", id, 2_000, b"one");
        conn.write(&bytes)?;
        Ok(conn.read()?.map_or(0, |answer| answer.status()))
    };
    asked().map_or_else(
        |err| format!("no answer ({err})"),
        |status| status.to_string(),
    )
}
