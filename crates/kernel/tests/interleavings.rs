//! Search for orders of events in which a key runs twice.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::Header;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Slots;
use celeryshore_model::Snapshot;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::common::Mesh;
use crate::common::Run;
use crate::common::deployment;
use crate::common::deployment::keyed;
use crate::common::deployment::ordering;
use crate::common::deployment::timed_key;
use crate::common::deployment::tune;
use crate::common::deployment::with;
use crate::common::name;
use crate::common::response;

const SEED: [u8; 32] = *b"celeryshore interleavings seed 1";
const CASES: u32 = 2_000;
const VMS: [&str; 3] = ["vm-1", "vm-2", "vm-3"];
const KEYS: usize = 4;

/// One event of a history.
#[derive(Clone, Debug)]
enum Op {
    Send {
        vm: usize,
        key: usize,
    },
    Deliver(usize),
    Lose(usize),
    Finish(usize),
    Break(usize),
    Shed(usize),
    Restart(usize),
    Cut {
        from: usize,
        to: usize,
        is_cut: bool,
    },
    Drain(usize),
    Publish(usize),
    Configure(usize),
    Pause(u64),
    Freeze(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let vm = 0..VMS.len();
    let pick = 0..64_usize;
    prop_oneof![
        6 => (vm.clone(), 0..KEYS).prop_map(|(vm, key)| Op::Send { vm, key }),
        12 => pick.clone().prop_map(Op::Deliver),
        1 => pick.clone().prop_map(Op::Lose),
        3 => pick.clone().prop_map(Op::Finish),
        1 => pick.clone().prop_map(Op::Break),
        1 => pick.prop_map(Op::Shed),
        1 => vm.clone().prop_map(Op::Restart),
        1 => (vm.clone(), vm.clone(), any::<bool>())
            .prop_map(|(from, to, is_cut)| Op::Cut { from, to, is_cut }),
        1 => vm.clone().prop_map(Op::Drain),
        1 => (0..=VMS.len()).prop_map(Op::Publish),
        2 => vm.prop_map(Op::Configure),
        1 => (1..2_000_u64).prop_map(Op::Pause),
        1 => (1..2_000_u64).prop_map(Op::Freeze),
    ]
}

/// Nodes whose messages wait until they are delivered one by one.
struct World {
    mesh: Mesh,
    /// Configurations that were published, the latest last.
    published: Vec<Arc<Snapshot>>,
    /// Configuration with all upstreams.
    all: Arc<Snapshot>,
    /// Keys with the number of times that each was sent.
    keys: BTreeMap<usize, (String, u32)>,
    /// Calls with their key and whether it had run when the call was sent.
    calls: BTreeMap<CallId, (String, bool)>,
    /// Runs by key, without those that the target says did not run.
    ran: BTreeMap<String, u32>,
    seen: usize,
}

impl World {
    /// Starts all nodes with a configuration in which one upstream, or none,
    /// is missing.
    fn new(missing: usize) -> Self {
        let mut snapshot = ordering(&["glasgow", "perth", "dundee"]);
        tune(&mut snapshot, |s| {
            s.limits.slots = Slots::new(2);
            s.limits.queue = Slots::new(1);
        });
        let all = Arc::new(snapshot);
        let first = Arc::new(without_vm(&all, missing));
        let mut mesh = Mesh::with(&all, &first);
        mesh.blocked_vms.extend(VMS.map(name));
        Self {
            mesh,
            published: vec![first],
            all,
            keys: BTreeMap::new(),
            calls: BTreeMap::new(),
            ran: BTreeMap::new(),
            seen: 0,
        }
    }

    /// Sends a key once more. Odd keys carry their creation time, and the first
    /// two are sent with the number of the attempt.
    fn request(&mut self, number: usize) -> (String, HttpRequest) {
        let wall = self.mesh.now.wall;
        let (key, attempts) = self.keys.entry(number).or_insert_with(|| {
            let key = match number % 2 {
                1 => timed_key(wall, number as u64),
                _ => format!("order-{number}"),
            };
            (key, 0)
        });
        *attempts += 1;
        let mut request = keyed(key);
        if number < 2 {
            request = with(request, "celeryshore-attempt", &attempts.to_string());
        }
        (key.clone(), request)
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Send { vm, key } => {
                let (key, request) = self.request(key);
                let had_run = self.runs(&key) > 0;
                let call = self.mesh.call(VMS[vm], request);
                self.calls.insert(call, (key, had_run));
            }
            Op::Deliver(i) if !self.mesh.blocked_messages.is_empty() => {
                self.mesh.deliver(i % self.mesh.blocked_messages.len());
            }
            Op::Lose(i) if !self.mesh.blocked_messages.is_empty() => {
                self.mesh.lose(i % self.mesh.blocked_messages.len());
            }
            Op::Finish(i) => self.finish(i, Outcome::Answered(response(200, "ordered"))),
            Op::Break(i) => self.finish(i, Outcome::Broken),
            Op::Shed(i) => self.shed(i),
            Op::Restart(vm) => {
                self.mesh.kill(VMS[vm]);
                let first = self.published[0].clone();
                let zone = self.zone_of(vm);
                self.mesh.start_unconfigured(&name(VMS[vm]), &zone);
                self.mesh.send(VMS[vm], RequestEvent::Configured(first));
            }
            Op::Cut { from, to, is_cut } => self.mesh.set_cut(VMS[from], VMS[to], is_cut),
            Op::Drain(vm) => self.mesh.send(VMS[vm], RequestEvent::Drain),
            Op::Publish(missing) => self.publish(missing),
            Op::Configure(vm) => {
                let latest = self.published[self.published.len() - 1].clone();
                self.mesh.send(VMS[vm], RequestEvent::Configured(latest));
            }
            Op::Pause(millis) => self.mesh.advance(millis),
            Op::Freeze(millis) => self.mesh.freeze(millis),
            Op::Deliver(_) | Op::Lose(_) => {}
        }
    }

    /// Publishes a configuration in which one upstream, or none, is missing.
    fn publish(&mut self, missing: usize) {
        let mut next = without_vm(&self.all, missing);
        next.version.index.0 += 1 + self.published.len() as u64;
        self.published.push(Arc::new(next));
    }

    fn zone_of(&self, vm: usize) -> String {
        deployment::zone_of(&self.all, &name(VMS[vm])).to_owned()
    }

    fn run(&self, i: usize) -> Option<Run> {
        let count = self.mesh.runs.len();
        (count > 0).then(|| self.mesh.runs[i % count].clone())
    }

    fn finish(&mut self, i: usize, outcome: Outcome) {
        if let Some(run) = self.run(i) {
            self.mesh.finish(&run, outcome);
        }
    }

    /// Lets a target refuse a request in a way that promises it did not run.
    fn shed(&mut self, i: usize) {
        let Some(run) = self.run(i) else {
            return;
        };
        let refusal = HttpResponse {
            headers: vec![Header::new("x-not-run", "1")],
            ..response(503, "")
        };
        self.count();
        let key = key_of(&run);
        *self.ran.entry(key.clone()).or_default() -= 1;
        for (other, had_run) in self.calls.values_mut() {
            *had_run &= *other != key;
        }
        self.mesh.finish(&run, Outcome::Answered(refusal));
    }

    fn count(&mut self) {
        for run in &self.mesh.history[self.seen..] {
            *self.ran.entry(key_of(run)).or_default() += 1;
        }
        self.seen = self.mesh.history.len();
    }

    fn runs(&self, key: &str) -> u32 {
        self.ran.get(key).copied().unwrap_or(0)
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        self.count();
        for (key, runs) in &self.ran {
            prop_assert!(*runs <= 1, "{key} ran {runs} times");
        }
        for (call, (key, had_run)) in &self.calls {
            let is_refused = matches!(
                self.mesh.answers.get(call),
                Some(Answer::NotRun { reason, .. }) if *reason != NotRun::KeyReused
            );
            let is_only = self.keys.values().any(|(k, sends)| k == key && *sends == 1);
            let ran = *had_run || (is_only && self.runs(key) > 0);
            prop_assert!(!(is_refused && ran), "{key} was refused and ran");
        }
        Ok(())
    }
}

fn without_vm(all: &Snapshot, vm: usize) -> Snapshot {
    match VMS.get(vm) {
        Some(vm) => deployment::without_upstream(all, vm),
        None => all.clone(),
    }
}

fn key_of(run: &Run) -> String {
    let key = run.request.header(b"idempotency-key").expect("a key");
    String::from_utf8_lossy(key).into_owned()
}

#[test]
fn at_most_once() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec(op(), 1..120);
    let history = (0..=VMS.len(), ops);
    let result = runner.run(&history, |(missing, ops)| {
        let mut world = World::new(missing);
        for op in &ops {
            world.apply(op);
            world.check()?;
        }
        Ok(())
    });
    if let Err(err) = result {
        panic!("{err}");
    }
}
