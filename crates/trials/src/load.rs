//! Load on a fleet at a steady arrival rate.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use celeryshore_standins::executor::spawn;
use celeryshore_standins::target::Counts;
use hdrhistogram::Histogram;

use crate::caller::Caller;
use crate::caller::Outcome;
use crate::caller::Record;
use crate::deployment::DEADLINE;
use crate::deployment::KindSpec;
use crate::vm::Port;
use crate::vm::Vm;

const MAX_ATTEMPTS: u32 = 3;
const DEADLINE_GRACE: Duration = Duration::from_millis(200);
const MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Function that returns the addresses to try for a request, in order.
pub type Route = Arc<dyn Fn(KindSpec) -> Vec<SocketAddr> + Send + Sync>;

/// Steady arrival rate, divided equally among request kinds.
#[derive(Clone, Debug)]
pub struct Load {
    /// Request kinds, sent in turn.
    pub kinds: Vec<KindSpec>,
    /// Time between the arrivals of two requests.
    pub interval: Duration,
    /// Time during which requests arrive.
    pub duration: Duration,
}

/// Generates a load and returns the record of each request.
pub async fn run(load: Load, route: Route) -> Vec<Record> {
    let caller = Arc::new(Caller::default());
    let start = Instant::now();
    let mut calls = Vec::new();
    for (i, kind) in (0_u32..).zip(load.kinds.iter().cycle()) {
        let at = load.interval * i;
        if at >= load.duration {
            break;
        }
        Timer::at(start + at).await;
        calls.push(spawn(call(caller.clone(), *kind, route(*kind))));
    }
    let mut records = Vec::new();
    for call in calls {
        records.push(call.await);
    }
    records
}

async fn call(caller: Arc<Caller>, kind: KindSpec, nodes: Vec<SocketAddr>) -> Record {
    let timeout = DEADLINE + DEADLINE_GRACE;
    caller.call(kind, &nodes, MAX_ATTEMPTS, timeout).await
}

/// Addresses of the running nodes' callers' ports, which may change under load.
///
/// Clones share the addresses.
#[derive(Clone, Debug, Default)]
pub struct NodeAddresses(Arc<Mutex<Vec<SocketAddr>>>);

impl NodeAddresses {
    /// Replaces the addresses.
    pub fn set(&self, nodes: Vec<SocketAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = nodes;
    }

    /// Returns a route that tries the nodes in random order.
    #[must_use]
    pub fn route(self) -> Route {
        Arc::new(move |_| {
            let mut nodes = self
                .0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            fastrand::shuffle(&mut nodes);
            nodes
        })
    }
}

/// Returns the route of a naive client: round robin over the service's targets,
/// without the mesh.
#[must_use]
pub fn round_robin_route(vms: Vec<Vm>) -> Route {
    let next = AtomicUsize::new(0);
    Arc::new(move |kind| {
        let matching = vms.iter().filter(|vm| vm.service == kind.service);
        let mut targets: Vec<_> = matching.map(|vm| vm.address(Port::Target)).collect();
        let first = next.fetch_add(1, Ordering::Relaxed) % targets.len().max(1);
        targets.rotate_left(first);
        targets
    })
}

/// Results of the requests of one kind.
#[derive(Debug)]
pub struct Summary {
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Number of responses after the deadline.
    pub late: u64,
    /// Number of requests that were refused as not run although they ran.
    pub false_not_run: u64,
    /// Number of at-most-once requests that ran more than once.
    pub duplicated: u64,
    /// Response times in microseconds.
    pub times: Histogram<u64>,
}

impl Summary {
    /// Summarizes the records of one kind, with the targets' counters.
    ///
    /// # Panics
    ///
    /// Panics if the bounds of the histogram are invalid.
    #[must_use]
    pub fn new(kind: &str, records: &[Record], counts: &[Counts]) -> Self {
        let times = Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS);
        let mut summary = Self {
            outcomes: BTreeMap::new(),
            late: 0,
            false_not_run: 0,
            duplicated: 0,
            times: times.expect("the bounds are valid"),
        };
        for record in records.iter().filter(|r| r.kind.name == kind) {
            summary.add(record, counts);
        }
        summary
    }

    /// Returns the number of requests with an outcome.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }

    fn add(&mut self, record: &Record, counts: &[Counts]) {
        let runs: u32 = counts.iter().filter_map(|c| c.runs.get(&record.key)).sum();
        *self.outcomes.entry(record.outcome).or_default() += 1;
        if record.outcome == Outcome::NotRun && runs > 0 {
            self.false_not_run += 1;
        }
        if !record.kind.idempotent && runs > 1 {
            self.duplicated += 1;
        }
        if record.outcome != Outcome::Answered {
            return;
        }
        if record.time > DEADLINE {
            self.late += 1;
        }
        let micros = u64::try_from(record.time.as_micros()).unwrap_or(u64::MAX);
        self.times.saturating_record(micros);
    }
}
