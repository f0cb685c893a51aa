//! Load on a fleet at a steady rate of arrivals.

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
use crate::caller::End;
use crate::caller::Record;
use crate::deployment::DEADLINE;
use crate::deployment::KindShape;
use crate::vm::Port;
use crate::vm::Vm;

const SENDS: u32 = 3;
const LATE_ALLOWANCE: Duration = Duration::from_millis(200);
const HIGHEST_MICROS: u64 = 60_000_000;
const DIGITS: u8 = 3;

/// Addresses to which a caller sends a request in turn.
pub type Route = Arc<dyn Fn(KindShape) -> Vec<SocketAddr> + Send + Sync>;

/// A steady rate of arrivals, shared alike by kinds.
#[derive(Clone, Debug)]
pub struct Load {
    /// Request kinds.
    pub kinds: Vec<KindShape>,
    /// Time from one request to the next.
    pub pause: Duration,
    /// How long requests arrive.
    pub duration: Duration,
}

/// Runs a load and returns what became of each request.
pub async fn run(load: Load, route: Route) -> Vec<Record> {
    let caller = Arc::new(Caller::default());
    let start = Instant::now();
    let mut calls = Vec::new();
    for (i, kind) in (0_u32..).zip(load.kinds.iter().cycle()) {
        let at = load.pause * i;
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

async fn call(caller: Arc<Caller>, kind: KindShape, nodes: Vec<SocketAddr>) -> Record {
    let patience = DEADLINE + LATE_ALLOWANCE;
    caller.call(kind, &nodes, SENDS, patience).await
}

/// Callers' addresses of the nodes that run; they change under load.
#[derive(Clone, Debug, Default)]
pub struct Nodes(Arc<Mutex<Vec<SocketAddr>>>);

impl Nodes {
    /// Sets the addresses.
    pub fn set(&self, nodes: Vec<SocketAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = nodes;
    }

    /// Returns the route of a caller that tries the nodes at random.
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

/// Returns the route of a naive client: round robin over the service's targets.
#[must_use]
pub fn naive(vms: Vec<Vm>) -> Route {
    let next = AtomicUsize::new(0);
    Arc::new(move |kind| {
        let own = vms.iter().filter(|vm| vm.service == kind.service);
        let mut targets: Vec<_> = own.map(|vm| vm.address(Port::Target)).collect();
        let first = next.fetch_add(1, Ordering::Relaxed) % targets.len().max(1);
        targets.rotate_left(first);
        targets
    })
}

/// What became of the requests of one kind.
#[derive(Debug)]
pub struct Summary {
    /// Requests by their end.
    pub ends: BTreeMap<End, u64>,
    /// Answers after the deadline.
    pub late: u64,
    /// Refusals as not run of requests that did run.
    pub untrue: u64,
    /// Requests that may run at most once and ran more often.
    pub doubled: u64,
    /// Times of answers in microseconds.
    pub times: Histogram<u64>,
}

impl Summary {
    /// Sums up the records of one kind, with the targets' counts.
    ///
    /// # Panics
    ///
    /// Panics if the bounds of the histogram are none.
    #[must_use]
    pub fn of(kind: &str, records: &[Record], counts: &[Counts]) -> Self {
        let times = Histogram::new_with_max(HIGHEST_MICROS, DIGITS);
        let mut summary = Self {
            ends: BTreeMap::new(),
            late: 0,
            untrue: 0,
            doubled: 0,
            times: times.expect("the bounds are in order"),
        };
        for record in records.iter().filter(|r| r.kind.name == kind) {
            summary.add(record, counts);
        }
        summary
    }

    /// Returns the number of requests with an end.
    #[must_use]
    pub fn count(&self, end: End) -> u64 {
        self.ends.get(&end).copied().unwrap_or_default()
    }

    fn add(&mut self, record: &Record, counts: &[Counts]) {
        let runs: u32 = counts.iter().filter_map(|c| c.runs.get(&record.key)).sum();
        *self.ends.entry(record.end).or_default() += 1;
        if record.end == End::NotRun && runs > 0 {
            self.untrue += 1;
        }
        if !record.kind.idempotent && runs > 1 {
            self.doubled += 1;
        }
        if record.end != End::Answered {
            return;
        }
        if record.time > DEADLINE {
            self.late += 1;
        }
        let micros = u64::try_from(record.time.as_micros()).unwrap_or(u64::MAX);
        self.times.saturating_record(micros);
    }
}
