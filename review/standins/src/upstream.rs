//! An application upstream beside a node, as `PROTOCOL.md` has it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Connection;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// Requests that run in a second above which a cold upstream crashes: four times the
/// `coldPerS` of the configuration ("crashes at a rate well above that").
const COLD_CRASH: usize = 4 * 16;
/// Interval of the reports to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What an upstream does with a request.
#[derive(Clone, Debug)]
pub struct Work {
    pub time: Duration,
    pub status: u16,
    pub body: Vec<u8>,
    /// The run ends, and its answer is lost: the connection is reset or closed.
    pub is_lost: bool,
    /// The request crashes the upstream.
    pub crashes: bool,
}

/// A request that an upstream has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request: String,
}

type Handler = dyn Fn(&Message) -> Work + Send + Sync;

/// What an upstream is.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub addr: SocketAddr,
}

pub struct Upstream {
    pub identity: Identity,
    pub runs: Mutex<Vec<Run>>,
    is_ended: AtomicBool,
    sequence: AtomicU64,
    cold_until: Mutex<Instant>,
    born: u128,
    handler: Box<Handler>,
    record: Arc<Record>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Upstream {
    pub fn start(
        identity: Identity,
        store: &Arc<Store>,
        record: &Arc<Record>,
        cold: Duration,
        handler: impl Fn(&Message) -> Work + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(identity.addr).expect("the upstream's port is free");
        listener
            .set_nonblocking(true)
            .expect("a listener can be polled");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let upstream = Arc::new(Self {
            identity,
            runs: Mutex::default(),
            is_ended: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            cold_until: Mutex::new(Instant::now() + cold),
            born: born.as_millis(),
            handler: Box::new(handler),
            record: record.clone(),
            connections: Mutex::default(),
        });
        let served = upstream.clone();
        thread::spawn(move || served.accept(&listener));
        let (beating, store) = (upstream.clone(), store.clone());
        thread::spawn(move || {
            while !beating.is_ended() {
                beating.beat(&store);
                thread::sleep(HEARTBEAT);
            }
        });
        upstream
    }

    /// Crashes: closes its port and all connections, and says nothing.
    pub fn crash(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::SeqCst)
    }

    fn cold_remaining(&self) -> u128 {
        let until = *self.cold_until.lock().unwrap();
        until.saturating_duration_since(Instant::now()).as_millis()
    }

    /// Reports to the store.
    fn beat(&self, store: &Store) {
        let Identity {
            id,
            service,
            zone,
            slots,
            addr,
        } = &self.identity;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (cold, born) = (self.cold_remaining(), self.born);
        let value = format!(
            r#"{{"address":"{addr}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"ready","sequence":{sequence},"coldRemaining":"{cold}ms"}}}}"#
        );
        store.put(&format!("servers/{id}"), &value);
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.is_ended() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        self.connections.lock().unwrap().push(copy);
                    }
                    let upstream = self.clone();
                    thread::spawn(move || upstream.serve(Connection::new(stream)));
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(1));
                }
                Err(_) => return,
            }
        }
    }

    fn serve(&self, mut conn: Connection) {
        while let Ok(Some(request)) = conn.read() {
            if self.is_ended() {
                return;
            }
            let response = if request.path() == "/health" {
                let fields = [
                    ("celeryshore-instance-id", self.identity.id.clone()),
                    ("celeryshore-cold-ms", self.cold_remaining().to_string()),
                ];
                Some(http::response(200, &fields, b""))
            } else {
                self.run(&request)
            };
            let Some(response) = response else { return };
            if self.is_ended() || conn.write(&response).is_err() {
                return;
            }
        }
    }

    /// Adds a run. A cold upstream that gets far too many crashes.
    fn add_run(&self, run: Run) {
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        let recent = runs
            .iter()
            .rev()
            .take_while(|run| run.at.elapsed().as_secs() < 1);
        if self.cold_remaining() > 0 && recent.count() > COLD_CRASH && !self.is_ended() {
            let id = &self.identity.id;
            self.record
                .line(&format!("overload   {id}, still cold, crashes"));
            drop(runs);
            self.crash();
        }
    }

    /// Runs a request. Returns `None` if its answer is lost.
    fn run(&self, request: &Message) -> Option<Vec<u8>> {
        let id = request.field("celeryshore-request-id").unwrap_or_default();
        let expected = request.field("celeryshore-expected-instance");
        if expected.is_some_and(|name| name != self.identity.id) {
            let fields = [("celeryshore-instance-id", self.identity.id.clone())];
            return Some(http::response(421, &fields, b""));
        }
        let run = Run {
            at: Instant::now(),
            request: id.to_owned(),
        };
        self.record.line(&format!(
            "run        {} {} at {} of {}",
            run.request,
            request.path(),
            self.identity.id,
            self.identity.service
        ));
        self.add_run(run);
        let work = (self.handler)(request);
        thread::sleep(work.time);
        if work.crashes {
            self.record
                .line(&format!("crash      {} crashes of {id}", self.identity.id));
            self.crash();
            return None;
        }
        if work.is_lost {
            self.record.line(&format!("lost       answer to {id}"));
            return None;
        }
        let fields = [
            ("celeryshore-request-id", id.to_owned()),
            (
                "celeryshore-response-signature",
                format!("s.{}.{id}", self.identity.id),
            ),
        ];
        Some(http::response(work.status, &fields, &work.body))
    }
}
