//! A small deployment: nodes as processes, their upstreams, and the record of a case.

use std::fmt::Display;
use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Conn;
use crate::http::Message;
use crate::store::Store;

/// Roles of the ports, the same on all machines.
const CALLERS: usize = 0;
const READY: usize = 1;
const PEER: usize = 2;
const CONTROL: usize = 3;
pub const OPERATORS: usize = 4;
const TARGET: usize = 5;
const STORE: usize = 6;
const PORTS: usize = 7;

/// Time between two writes of an upstream to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub upstream: String,
    pub id: String,
    pub service: String,
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
            arrivals: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: impl Display) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// How an upstream answers a request that it runs.
pub type Answer = Arc<dyn Fn(&Message, &mut Conn) -> bool + Send + Sync>;

/// An upstream: what it says of itself in the store, and its server.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    /// Millisecond of its start.
    born: u128,
    /// Whether it reports that it leaves.
    is_draining: Arc<AtomicBool>,
}

pub struct Mesh {
    pub record: Record,
    pub store: Store,
    pub ports: [u16; PORTS],
    dir: PathBuf,
    children: Vec<Child>,
    pub machines: Vec<(IpAddr, String, String)>,
    pub upstreams: Vec<Upstream>,
    pub link: &'static str,
}

impl Mesh {
    /// Takes free ports and starts the store. `machines`: zone and service of each.
    pub fn new(record: Record, machines: &[(&str, &str)]) -> Self {
        let machines: Vec<_> = machines
            .iter()
            .enumerate()
            .map(|(i, (zone, service))| {
                let ip: IpAddr = format!("127.0.77.{}", i + 1).parse().unwrap();
                (ip, (*zone).to_owned(), (*service).to_owned())
            })
            .collect();
        let ports = free_ports(&machines.iter().map(|m| m.0).collect::<Vec<_>>());
        let dir = match std::env::var_os("CASE_DIR") {
            Some(dir) => dir.into(),
            None => std::env::temp_dir().join(format!("celeryshore-review-{}", std::process::id())),
        };
        fs::create_dir_all(&dir).expect("a temporary folder");
        let doors = (0..machines.len()).map(|i| SocketAddr::new(store_ip(i), ports[STORE]));
        let store = Store::start(doors.collect());
        Self {
            record,
            store,
            ports,
            dir,
            children: Vec::new(),
            machines,
            upstreams: Vec::new(),
            link: "1000Mbit/s",
        }
    }

    pub fn callers(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.machines[machine].0, self.ports[CALLERS])
    }

    /// Starts the upstream of each machine and its writes to the store.
    pub fn start_upstreams(&mut self, answer: &Answer) {
        for (i, (ip, zone, service)) in self.machines.iter().enumerate() {
            let upstream = Upstream {
                id: format!("i-{:08x}", 0x7f3a_9100 + i),
                service: service.clone(),
                zone: zone.clone(),
                addr: SocketAddr::new(*ip, self.ports[TARGET]),
                born: SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap()
                    .as_millis(),
                is_draining: Arc::default(),
            };
            serve_upstream(&upstream, &self.record, answer);
            register(upstream.clone(), self.store.clone());
            self.upstreams.push(upstream);
        }
    }

    /// Starts the node of each machine, with the command of the deploy file.
    pub fn start_nodes(&mut self, first_start: bool) {
        for machine in 0..self.machines.len() {
            let child = self.start_node(machine, first_start);
            self.children.push(child);
            self.write_pids();
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        for (ip, ..) in &self.machines {
            let ready = SocketAddr::new(*ip, self.ports[READY]);
            let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
            while !http::exchange(ready, request, Duration::from_secs(1))
                .is_ok_and(|res| res.status() == 200)
            {
                if Instant::now() > deadline {
                    self.record.note("a node isn't ready after 15 s");
                    self.stop();
                    std::process::exit(2);
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.note("all nodes are ready");
    }

    fn start_node(&self, machine: usize, first_start: bool) -> Child {
        let path = self.dir.join(format!("settings-{machine}.yaml"));
        fs::write(&path, self.settings(machine, first_start)).expect("settings can be written");
        let log = File::create(self.dir.join(format!("node-{machine}.log"))).expect("a log");
        let program = std::env::var("NODE").unwrap_or("target/release/celeryshore".to_owned());
        Command::new(program)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the node's program starts")
    }

    /// Settings as the template gives them for a small deployment.
    fn settings(&self, machine: usize, first_start: bool) -> String {
        let (ip, zone, service) = &self.machines[machine];
        let at = |port: usize| SocketAddr::new(*ip, self.ports[port]);
        let zones: Vec<_> = self
            .machines
            .iter()
            .map(|(_, zone, _)| format!("\"{zone}\": \"sk-west\""))
            .collect::<std::collections::BTreeSet<_>>()
            .into_iter()
            .collect();
        let seeds = self.machines.iter().take(3);
        let seeds: Vec<_> = seeds
            .map(|(ip, ..)| format!("{{ peer: \"{}\" }}", SocketAddr::new(*ip, self.ports[PEER])))
            .collect();
        format!(
            "vm: \"{ip}\"\nzone: \"{zone}\"\nservice: \"{service}\"\ncallers: \"{}\"\nready: \"{}\"\n\
             peer: \"{}\"\ncontrol: \"{}\"\noperators: \"{}\"\ntarget: \"{}\"\nlog: info\n\
             link: \"{}\"\nmemory: \"260MiB\"\nlimits:\n  connections: 1500\n  grace: \"6s\"\n\
             zones: {{ {} }}\nterms:\n  cold_load: 1.5\n  cold_slack: 5\n  retry_ratio: 0.2\n\
             \x20 retry_slack: 64\n  config_bound: \"2000ms\"\n  drain_bound: \"2000ms\"\n\
             \x20 outage_bound: \"5000ms\"\n  urgent_slots: true\n  even_load: true\n\
             platform:\n  adapter: published-store\n  addresses: [\"{}\"]\n\
             first_start: {first_start}\nseeds: [{}]\n",
            at(CALLERS),
            at(READY),
            at(PEER),
            at(CONTROL),
            at(OPERATORS),
            at(TARGET),
            self.link,
            zones.join(", "),
            SocketAddr::new(store_ip(machine), self.ports[STORE]),
            seeds.join(", "),
        )
    }

    /// Kills the process of one node and starts it again.
    pub fn restart_node(&mut self, machine: usize) {
        let _ = self.children[machine].kill();
        let _ = self.children[machine].wait();
        self.children[machine] = self.start_node(machine, false);
        self.write_pids();
    }

    /// Sends a signal, such as STOP or CONT, to the process of one node.
    pub fn signal_node(&self, machine: usize, signal: &str) {
        let pid = self.children[machine].id().to_string();
        let _ = Command::new("kill")
            .args([format!("-{signal}"), pid])
            .status();
    }

    /// Lists the processes that run, so that the script can end them if this one is ended.
    fn write_pids(&self) {
        let pids = self.children.iter().map(|c| format!("{}\n", c.id()));
        let _ = fs::write(self.dir.join("pids"), pids.collect::<String>());
    }

    /// Kills the processes of all nodes.
    pub fn kill_nodes(&mut self) {
        for mut child in self.children.drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.write_pids();
    }

    /// Ends all processes. Their logs stay in the temporary folder if `KEEP_LOGS` is set.
    pub fn stop(&mut self) {
        self.kill_nodes();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Address at which a machine reads the store.
fn store_ip(machine: usize) -> IpAddr {
    format!("127.0.77.{}", 200 + machine).parse().unwrap()
}

/// Finds ports that are free on all machines and at the store.
fn free_ports(ips: &[IpAddr]) -> [u16; PORTS] {
    let mut ports = [0; PORTS];
    let mut held = Vec::new();
    for port in &mut ports {
        *port = loop {
            let first = TcpListener::bind((store_ip(0), 0)).expect("a free port");
            let port = first.local_addr().unwrap().port();
            let others: Result<Vec<_>, _> = ips
                .iter()
                .map(|ip| TcpListener::bind((*ip, port)))
                .collect();
            if let Ok(others) = others {
                held.push((first, others));
                break port;
            }
        };
    }
    ports
}

fn register(upstream: Upstream, store: Store) {
    upstream.write(&store, 1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(HEARTBEAT);
            upstream.write(&store, sequence);
        }
    });
}

impl Upstream {
    /// Reports that it leaves. It serves on. The return is the store's acknowledgement.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.write(store, 1_000);
    }

    fn write(&self, store: &Store, sequence: u64) {
        let Self {
            id,
            service,
            zone,
            addr,
            born,
            is_draining,
        } = self;
        let state = if is_draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let value = format!(
            r#"{{"address":"{addr}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":12}},"status":{{"state":"{state}","sequence":{sequence},"coldRemaining":"0ms"}}}}"#
        );
        store.put(&format!("servers/{id}"), value.as_bytes());
    }
}

fn serve_upstream(upstream: &Upstream, record: &Record, answer: &Answer) {
    let listener = TcpListener::bind(upstream.addr).expect("the upstream's address is free");
    let (upstream, record, answer) = (upstream.clone(), record.clone(), answer.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (upstream, record, answer) = (upstream.clone(), record.clone(), answer.clone());
            thread::spawn(move || serve_connection(stream, &upstream, &record, &answer));
        }
    });
}

fn serve_connection(stream: TcpStream, upstream: &Upstream, record: &Record, answer: &Answer) {
    let mut conn = Conn::new(stream);
    while let Ok(Some(request)) = conn.read() {
        let named = format!("Celeryshore-Instance-Id: {}\r\n", upstream.id);
        if request.target() == "/health" {
            let fields = format!("{named}Celeryshore-Cold-Ms: 0\r\n");
            if conn.write(&http::response("200 OK", &fields, b"")).is_err() {
                return;
            }
            continue;
        }
        let expected = request.field("celeryshore-expected-instance");
        if expected.is_some_and(|id| id != upstream.id) {
            if conn
                .write(&http::response("421 Misdirected Request", &named, b""))
                .is_err()
            {
                return;
            }
            continue;
        }
        let id = request
            .field("celeryshore-request-id")
            .unwrap_or_default()
            .to_owned();
        record.note(format_args!(
            "run {id} at {} of {}: {}",
            upstream.id, upstream.service, request.first
        ));
        record.arrivals.lock().unwrap().push(Arrival {
            at: record.now(),
            upstream: upstream.id.clone(),
            id,
            service: upstream.service.clone(),
        });
        if !answer(&request, &mut conn) {
            return;
        }
    }
}

/// Answer of a sound upstream: signed, with the identifier, after `work`.
pub fn sound(work: Duration) -> Answer {
    Arc::new(move |request, conn| {
        thread::sleep(work);
        conn.write(&http::response("200 OK", &signed(request), b"done"))
            .is_ok()
    })
}

/// Fields of an upstream's answer.
pub fn signed(request: &Message) -> String {
    let id = request.field("celeryshore-request-id").unwrap_or_default();
    format!(
        "Celeryshore-Request-Id: {id}\r\nCeleryshore-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    )
}

/// Route of a configuration: name, kind, prefix, service.
pub type Route<'a> = (&'a str, &'a str, &'a str, &'a str);

/// A configuration with these routes, all services and some idle routes.
pub fn config(version: u32, routes: &[Route<'_>], services: &[&str], idle: usize) -> String {
    let rule = |name: &str, kind: &str, prefix: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","kind":"{kind}","targetLatency":"300ms","priority":1,"match":{{"prefix":"{prefix}"}},"action":{{"service":"{service}","timeout":"1500ms","maxAttempts":2}}}}"#
        )
    };
    let named = routes.iter().map(|(n, k, p, s)| rule(n, k, p, s));
    let idle = (0..idle).map(|i| {
        rule(
            &format!("idle-{i:05}"),
            "safe",
            &format!("/idle-{i:05}/"),
            services[0],
        )
    });
    let rules: Vec<_> = named.chain(idle).collect();
    let clusters = services.iter().map(|name| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":31.0}}"#
        )
    });
    let clusters: Vec<_> = clusters.collect();
    format!(
        r#"{{"version":"r{version}","limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"listeners":[{{"host":"mesh.example","rules":[{}]}}],"clusters":[{}]}}"#,
        rules.join(","),
        clusters.join(",")
    )
}

/// A caller's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: 0\r\n\
         Celeryshore-Request-Id: {id}\r\nCeleryshore-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
    .into_bytes()
}
