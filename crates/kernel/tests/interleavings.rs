//! Searches random orders of events for one in which a key runs twice, or in
//! which a key that has run is reported as not run.

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

/// One step of a random sequence.
///
/// The index of a message or run is taken modulo the number that exist when the
/// step is applied.
#[derive(Clone, Debug)]
enum Step {
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
    Advance(u64),
    Freeze(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..VMS.len();
    let pick = 0..64_usize;
    prop_oneof![
        6 => (vm.clone(), 0..KEYS).prop_map(|(vm, key)| Step::Send { vm, key }),
        12 => pick.clone().prop_map(Step::Deliver),
        1 => pick.clone().prop_map(Step::Lose),
        3 => pick.clone().prop_map(Step::Finish),
        1 => pick.clone().prop_map(Step::Break),
        1 => pick.prop_map(Step::Shed),
        1 => vm.clone().prop_map(Step::Restart),
        1 => (vm.clone(), vm.clone(), any::<bool>())
            .prop_map(|(from, to, is_cut)| Step::Cut { from, to, is_cut }),
        1 => vm.clone().prop_map(Step::Drain),
        1 => (0..=VMS.len()).prop_map(Step::Publish),
        2 => vm.prop_map(Step::Configure),
        1 => (1..2_000_u64).prop_map(Step::Advance),
        1 => (1..2_000_u64).prop_map(Step::Freeze),
    ]
}

/// Nodes whose messages are queued until a step delivers or drops them.
struct Simulation {
    mesh: Mesh,
    /// Published configurations, the latest last.
    published: Vec<Arc<Snapshot>>,
    /// Configuration with all upstreams.
    all: Arc<Snapshot>,
    /// Keys and the number of times that each was sent.
    keys: BTreeMap<usize, (String, u32)>,
    /// Keys of the calls, and whether the key had run when the call was sent.
    calls: BTreeMap<CallId, (String, bool)>,
    /// Number of runs by key, without those that the target reports as not run.
    run_counts: BTreeMap<String, u32>,
    counted_runs: usize,
}

impl Simulation {
    /// Starts all nodes with a configuration that lacks one upstream or none.
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
            run_counts: BTreeMap::new(),
            counted_runs: 0,
        }
    }

    /// Returns the next request with a key. Odd keys contain their creation time, and
    /// requests with the first two keys have an attempt number.
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

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Send { vm, key } => {
                let (key, request) = self.request(key);
                let had_run = self.run_count(&key) > 0;
                let call = self.mesh.call(VMS[vm], request);
                self.calls.insert(call, (key, had_run));
            }
            Step::Deliver(i) if !self.mesh.blocked_messages.is_empty() => {
                self.mesh.deliver(i % self.mesh.blocked_messages.len());
            }
            Step::Lose(i) if !self.mesh.blocked_messages.is_empty() => {
                self.mesh.lose(i % self.mesh.blocked_messages.len());
            }
            Step::Finish(i) => self.finish(i, Outcome::Answered(response(200, "ordered"))),
            Step::Break(i) => self.finish(i, Outcome::Broken),
            Step::Shed(i) => self.shed(i),
            Step::Restart(vm) => {
                self.mesh.kill(VMS[vm]);
                let first = self.published[0].clone();
                let zone = self.zone_of(vm);
                self.mesh.start_unconfigured(&name(VMS[vm]), &zone);
                self.mesh.send(VMS[vm], RequestEvent::Configured(first));
            }
            Step::Cut { from, to, is_cut } => self.mesh.set_cut(VMS[from], VMS[to], is_cut),
            Step::Drain(vm) => self.mesh.send(VMS[vm], RequestEvent::Drain),
            Step::Publish(missing) => self.publish(missing),
            Step::Configure(vm) => {
                let latest = self.published[self.published.len() - 1].clone();
                self.mesh.send(VMS[vm], RequestEvent::Configured(latest));
            }
            Step::Advance(millis) => self.mesh.advance(millis),
            Step::Freeze(millis) => self.mesh.freeze(millis),
            Step::Deliver(_) | Step::Lose(_) => {}
        }
    }

    /// Publishes a configuration that lacks one upstream or none.
    fn publish(&mut self, missing: usize) {
        let mut next = without_vm(&self.all, missing);
        next.version.index.0 += 1 + self.published.len() as u64;
        self.published.push(Arc::new(next));
    }

    fn zone_of(&self, vm: usize) -> String {
        deployment::zone_of(&self.all, &name(VMS[vm])).to_owned()
    }

    fn pick_run(&self, i: usize) -> Option<Run> {
        let count = self.mesh.runs.len();
        (count > 0).then(|| self.mesh.runs[i % count].clone())
    }

    fn finish(&mut self, i: usize, outcome: Outcome) {
        if let Some(run) = self.pick_run(i) {
            self.mesh.finish(&run, outcome);
        }
    }

    /// Ends a run with a refusal by which the target states that it did not run the
    /// request.
    fn shed(&mut self, i: usize) {
        let Some(run) = self.pick_run(i) else {
            return;
        };
        let refusal = HttpResponse {
            headers: vec![Header::new("x-not-run", "1")],
            ..response(503, "")
        };
        self.count_runs();
        let key = key_of(&run);
        *self.run_counts.entry(key.clone()).or_default() -= 1;
        for (other, had_run) in self.calls.values_mut() {
            *had_run &= *other != key;
        }
        self.mesh.finish(&run, Outcome::Answered(refusal));
    }

    fn count_runs(&mut self) {
        for run in &self.mesh.history[self.counted_runs..] {
            *self.run_counts.entry(key_of(run)).or_default() += 1;
        }
        self.counted_runs = self.mesh.history.len();
    }

    fn run_count(&self, key: &str) -> u32 {
        self.run_counts.get(key).copied().unwrap_or(0)
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        self.count_runs();
        for (key, runs) in &self.run_counts {
            prop_assert!(*runs <= 1, "{key} ran {runs} times");
        }
        for (call, (key, had_run)) in &self.calls {
            let is_refused = matches!(
                self.mesh.answers.get(call),
                Some(Answer::NotRun { reason, .. }) if *reason != NotRun::KeyReused
            );
            let is_only_copy = self.keys.values().any(|(k, sends)| k == key && *sends == 1);
            let has_run = *had_run || (is_only_copy && self.run_count(key) > 0);
            prop_assert!(
                !(is_refused && has_run),
                "{key} was reported as not run but has run"
            );
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
    let key = run
        .request
        .header(b"idempotency-key")
        .expect("keyed request");
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
    let steps = prop::collection::vec(step(), 1..120);
    let input = (0..=VMS.len(), steps);
    let result = runner.run(&input, |(missing, steps)| {
        let mut sim = Simulation::new(missing);
        for step in &steps {
            sim.apply(step);
            sim.check()?;
        }
        Ok(())
    });
    if let Err(err) = result {
        panic!("{err}");
    }
}
