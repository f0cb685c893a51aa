//! A small deployment: the store, and nodes with their upstreams, each with a loopback
//! address of its own.

use std::fs;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;

/// Ports of a machine, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub peer: u16,
    pub control: u16,
    pub operators: u16,
    pub target: u16,
    pub store: u16,
}

/// What the settings of a node say beside its addresses.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub zone: String,
    pub service: String,
    pub link: String,
}

pub struct Deployment {
    pub dir: PathBuf,
    pub ports: Ports,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub bound: &'static str,
    nodes: Vec<Node>,
    count: u8,
}

struct Node {
    child: Child,
    ip: IpAddr,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
        // The script ends what this file names if the driver could not.
        let _ = fs::remove_file(self.dir.join("pids"));
    }
}

impl Deployment {
    /// Creates a deployment of `count` machines without any processes yet.
    pub fn new(count: u8, record: &Arc<Record>, dir: PathBuf) -> Self {
        let ports = free_ports(count);
        let store = Store::start(SocketAddr::new(machine_ip(0), ports.store));
        Self {
            dir,
            ports,
            store,
            record: record.clone(),
            bound: "2000ms",
            nodes: Vec::new(),
            count,
        }
    }

    /// Returns the address of a machine's upstream.
    pub fn target(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(machine_ip(machine), self.ports.target)
    }

    /// Returns the address at which a machine's node takes requests.
    pub fn callers(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(machine_ip(machine), self.ports.callers)
    }

    /// Starts the node of a machine with the command of the deploy file, and asks for its
    /// readiness each second, as the platform does. Returns its number.
    pub fn start_node(&mut self, machine: u8, settings: &NodeSettings) -> usize {
        let ip = machine_ip(machine);
        let Ports {
            callers,
            ready,
            peer,
            control,
            operators,
            target,
            ..
        } = self.ports;
        let NodeSettings {
            zone,
            service,
            link,
        } = settings;
        let (store, bound) = (self.store.addr, self.bound);
        let seeds: Vec<String> = (1..=self.count.min(3))
            .map(|m| format!("{{ peer: \"{}:{peer}\" }}", machine_ip(m)))
            .collect();
        let seeds = seeds.join(", ");
        let text = format!(
            "vm: \"{ip}\"\nzone: \"{zone}\"\nservice: \"{service}\"\ncallers: \"{ip}:{callers}\"\n\
             ready: \"{ip}:{ready}\"\npeer: \"{ip}:{peer}\"\ncontrol: \"{ip}:{control}\"\n\
             operators: \"{ip}:{operators}\"\ntarget: \"{ip}:{target}\"\nlog: info\n\
             link: \"{link}\"\nmemory: \"260MiB\"\nlimits:\n  connections: 1500\n  grace: \"6s\"\n\
             zones: {{ \"west-a\": \"west\", \"west-b\": \"west\" }}\nterms:\n  cold_load: 1.5\n\
             \x20 cold_slack: 5\n  retry_ratio: 0.2\n  retry_slack: 56\n  config_bound: \"{bound}\"\n\
             \x20 drain_bound: \"2000ms\"\n  outage_bound: \"5000ms\"\n  key_bound: \"\"\n\
             \x20 quota_window: \"\"\n  quota_overage: \n  quota_slack: \n  urgent_slots: true\n\
             \x20 even_load: true\nplatform:\n  adapter: published-store\n\
             \x20 addresses: [\"{store}\"]\nfirst_start: true\nseeds: [{seeds}]\n"
        );
        let path = self.dir.join(format!("node-{machine}.conf"));
        fs::write(&path, text).expect("the temporary folder can be written to");
        let log = fs::File::create(self.dir.join(format!("node-{machine}.log")));
        let log = log.expect("the temporary folder can be written to");
        let child = Command::new("target/release/celeryshore")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("target/release/celeryshore is built");
        self.record.line(&format!(
            "start      node {machine} ({ip}), service {service}"
        ));
        let pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join("pids"));
        let written = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        written.expect("the temporary folder can be written to");
        let addr = SocketAddr::new(ip, ready);
        thread::spawn(move || {
            loop {
                is_ready(addr);
                thread::sleep(Duration::from_secs(1));
            }
        });
        self.nodes.push(Node { child, ip });
        self.nodes.len() - 1
    }

    /// Waits until all nodes are ready. Returns `false` if that takes too long.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        let mut addrs = self
            .nodes
            .iter()
            .map(|n| SocketAddr::new(n.ip, self.ports.ready));
        addrs.all(|addr| {
            while !is_ready(addr) {
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
            true
        })
    }

    /// Sends a signal to a node.
    pub fn signal(&self, node: usize, signal: &str) {
        let pid = self.nodes[node].child.id();
        self.record.line(&format!(
            "signal     {signal} to the node at {}",
            self.nodes[node].ip
        ));
        let command = format!("kill -{signal} {pid}");
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Returns `true` if a node's process has ended.
    pub fn has_ended(&mut self, node: usize) -> bool {
        !matches!(self.nodes[node].child.try_wait(), Ok(None))
    }
}

/// Returns the loopback address of a machine; 0 is the platform's.
fn machine_ip(machine: u8) -> IpAddr {
    let id = std::process::id();
    let [_, _, high, low] = id.to_be_bytes();
    Ipv4Addr::new(127, 64 + (high & 63), low.max(1), machine + 1).into()
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut conn = Connection::new(stream);
    let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let answer = conn.write(request).and_then(|()| conn.read());
    matches!(answer, Ok(Some(answer)) if answer.status() == 200)
}

fn free_ports(count: u8) -> Ports {
    static TAKEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    let next = || loop {
        let listener = TcpListener::bind((machine_ip(0), 0)).expect("a port is free");
        let port = listener
            .local_addr()
            .expect("a bound port has an address")
            .port();
        let is_free = (1..=count).all(|m| TcpListener::bind((machine_ip(m), port)).is_ok());
        let mut taken = TAKEN.lock().unwrap();
        if is_free && !taken.contains(&port) {
            taken.push(port);
            return port;
        }
    };
    Ports {
        callers: next(),
        ready: next(),
        peer: next(),
        control: next(),
        operators: next(),
        target: next(),
        store: next(),
    }
}
