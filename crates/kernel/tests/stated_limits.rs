//! Targets that state how many requests a second they take from all nodes together.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::Delivery;
use celeryshore_kernel::Handover;
use celeryshore_kernel::Health;
use celeryshore_kernel::InboundId;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::ResponseStatement;
use celeryshore_kernel::StatedRate;
use celeryshore_kernel::TargetStatement;
use celeryshore_model::ColdStart;
use celeryshore_model::Depth;
use celeryshore_model::Dialect;
use celeryshore_model::Digest;
use celeryshore_model::Header;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_model::KindId;
use celeryshore_model::Rate;
use celeryshore_model::Slots;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::UpstreamState;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;

use crate::common::Mesh;
use crate::common::Run;
use crate::common::deployment::order;
use crate::common::deployment::ordering;
use crate::common::deployment::tune;
use crate::common::deployment::with;
use crate::common::name;
use crate::common::response;

const VMS: [&str; 3] = ["vm-1", "vm-2", "vm-3"];
/// VM whose target states a limit.
const LIMITED: &str = "vm-1";
/// Header field with the VM whose node got the request from its caller.
const ORIGIN: &str = "x-origin";
const STEP_MS: u64 = 10;
const STEPS_PER_SECOND: u64 = 100;
const RUN_MS: u64 = 50;

/// Time after the first statement from which the operators' bound holds.
const SETTLING: Duration = Duration::from_secs(3);
/// Time after which a node that passed a statement on counts as told.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Window of the operators' bound, in steps.
const WINDOW_STEPS: usize = 400;
/// Requests in a window beyond the bound's share of the limit.
const SLACK: f64 = 5.0;
/// Share of the limit that the operators' bound allows.
const ALLOWED_SHARE: f64 = 1.5;

/// What the target states in its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stated {
    Nothing,
    Limit(f64),
    /// A limit on every other response.
    EveryOther(f64),
    Unreadable,
}

/// A request that reached the limited target.
#[derive(Clone, Debug)]
struct Arrival {
    step: usize,
    is_counted: bool,
}

/// Three nodes under load. The target of the first states a limit.
struct World {
    mesh: Mesh,
    snapshot: Arc<Snapshot>,
    step: usize,
    stated: Stated,
    /// Highest rate that the target takes in each step; infinite without a limit.
    limits: Vec<f64>,
    first_stated: Option<Time>,
    /// When each node first passed a statement on, in its present incarnation.
    told: BTreeMap<String, Time>,
    arrivals: Vec<Arrival>,
    calls: Vec<(CallId, &'static str, Time)>,
    /// Runs by their end, with what the target states in the response.
    runs: Vec<(Time, Run)>,
    seen: usize,
    /// Number of responses of the limited target.
    responses: usize,
}

impl World {
    /// Starts a node on each of the first `vms` VMs, with targets that are warm.
    fn new(vms: usize) -> Self {
        Self::with(ordering(&["glasgow"; 3][..vms]))
    }

    /// Starts three nodes, of which only the first has a target that serves.
    fn with_one_target() -> Self {
        let mut snapshot = ordering(&["glasgow"; 3]);
        for upstream in snapshot.upstreams.values_mut() {
            if upstream.vm.as_str() != LIMITED {
                upstream.state = UpstreamState::Leaving;
            }
        }
        Self::with(snapshot)
    }

    fn with(mut snapshot: Snapshot) -> Self {
        let vms = snapshot.upstreams.len();
        tune(&mut snapshot, |s| {
            s.limits.slots = Slots::new(12);
            s.limits.queue = Slots::new(100);
            s.limits.cold_start = Some(ColdStart {
                rate: Rate::from_per_mille(20_000),
                duration: Duration::from_secs(3),
            });
            for kind in s.kinds.values_mut() {
                kind.target_latency = Some(Duration::from_millis(300));
            }
        });
        let snapshot = Arc::new(snapshot);
        let mut mesh = Mesh::empty();
        mesh.terms.retry.exempts_node_refusals = true;
        let mut world = Self {
            mesh,
            snapshot,
            step: 0,
            stated: Stated::Nothing,
            limits: Vec::new(),
            first_stated: None,
            told: BTreeMap::new(),
            arrivals: Vec::new(),
            calls: Vec::new(),
            runs: Vec::new(),
            seen: 0,
            responses: 0,
        };
        for vm in &VMS[..vms] {
            world.start(vm);
        }
        world.mesh.advance(1_500);
        world
    }

    fn start(&mut self, vm: &str) {
        let snapshot = self.snapshot.clone();
        self.mesh.start(&name(vm), &snapshot);
        let health = Health::Good {
            cold_for: Duration::ZERO,
        };
        self.mesh.send(vm, RequestEvent::HealthChecked { health });
    }

    /// Ends a node's process and starts it again, without memory.
    fn restart(&mut self, vm: &str) {
        self.mesh.kill(vm);
        self.runs.retain(|(_, run)| run.vm.as_str() != vm);
        self.told.remove(vm);
        self.start(vm);
    }

    /// Lets the target state something else from now on.
    fn state(&mut self, stated: Stated) {
        self.stated = stated;
        if matches!(stated, Stated::Limit(_) | Stated::EveryOther(_)) {
            self.first_stated.get_or_insert(self.mesh.now.mono);
        }
    }

    fn call(&mut self, vm: &'static str) {
        let request = with(order(), ORIGIN, vm);
        let call = self.mesh.call(vm, request);
        self.calls.push((call, vm, self.mesh.now.mono));
    }

    /// Sends `calls` calls to nodes in turn, then lets one step pass.
    fn step(&mut self, calls: usize) {
        for i in 0..calls {
            let vm = VMS[(self.step + i) % self.snapshot.upstreams.len()];
            self.call(vm);
        }
        self.pass();
    }

    /// Lets one step pass: runs end, and nodes pass on what they answered.
    fn pass(&mut self) {
        self.record_arrivals();
        self.mesh.advance(STEP_MS);
        self.step += 1;
        let now = self.mesh.now.mono;
        let limit = match self.stated {
            Stated::Limit(rate) | Stated::EveryOther(rate) => rate,
            Stated::Nothing => f64::INFINITY,
            Stated::Unreadable => self.limits.last().copied().unwrap_or(f64::INFINITY),
        };
        self.limits.push(limit);
        let (done, open) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|(end, _)| *end <= now);
        self.runs = open;
        for (_, run) in done {
            let response = self.response(&run);
            self.mesh.finish(&run, Outcome::Answered(response));
        }
        self.record_arrivals();
        self.record_told();
    }

    fn response(&mut self, run: &Run) -> HttpResponse {
        let mut response = response(200, "");
        if run.vm.as_str() == LIMITED {
            self.responses += 1;
            response.headers = fields(self.stated, self.responses);
        }
        response
    }

    fn record_arrivals(&mut self) {
        let now = self.mesh.now.mono;
        for run in &self.mesh.history[self.seen..] {
            self.runs
                .push((now + Duration::from_millis(RUN_MS), run.clone()));
            if run.vm.as_str() != LIMITED {
                continue;
            }
            let origin = run.request.header(ORIGIN.as_bytes()).expect("an origin");
            let origin = std::str::from_utf8(origin).expect("a VM");
            let is_settled = self.first_stated.is_some_and(|at| now - at >= SETTLING);
            let is_told = self
                .told
                .get(origin)
                .is_some_and(|at| now - *at >= TOLD_AFTER);
            self.arrivals.push(Arrival {
                step: self.step,
                is_counted: is_settled && is_told,
            });
        }
        self.seen = self.mesh.history.len();
    }

    fn record_told(&mut self) {
        let (answers, told, now) = (&self.mesh.answers, &mut self.told, self.mesh.now.mono);
        self.calls.retain(|(call, vm, _)| {
            let Some(answer) = answers.get(call) else {
                return true;
            };
            if let Answer::Response(response) = answer
                && matches!(
                    StatedRate::read(&Dialect::default(), response),
                    StatedRate::Limit(_)
                )
            {
                told.entry((*vm).to_owned()).or_insert(now);
            }
            false
        });
    }

    /// Returns the requests that reached the limited target in steps `from..`.
    fn arrived_since(&self, from: usize) -> usize {
        self.arrivals.iter().filter(|a| a.step >= from).count()
    }

    /// Checks the operators' bound on every window, from what the target saw. A limit that
    /// fell counts from the time in which its first response can be passed on.
    fn check_windows(&self) {
        let grace = usize::try_from(STEPS_PER_SECOND).expect("a small number") / 2;
        let limit_at = |step: usize| {
            let recent = &self.limits[step.saturating_sub(grace)..=step];
            recent.iter().copied().fold(0.0, f64::max)
        };
        for start in 0..self.limits.len().saturating_sub(WINDOW_STEPS) {
            let window = start..start + WINDOW_STEPS;
            let counted = self.arrivals.iter();
            let count = counted
                .filter(|a| a.is_counted && window.contains(&a.step))
                .count();
            let per_step = window.map(|step| limit_at(step) / 100.0);
            let allowed = ALLOWED_SHARE * per_step.sum::<f64>() + SLACK;
            let count = f64::from(u32::try_from(count).expect("a small number"));
            assert!(
                count <= allowed,
                "{count} requests in 4 s from step {start}, allowed {allowed}"
            );
        }
    }
}

fn fields(stated: Stated, responses: usize) -> Vec<Header> {
    match stated {
        Stated::Nothing => Vec::new(),
        Stated::EveryOther(_) if responses.is_multiple_of(2) => Vec::new(),
        Stated::Limit(rate) | Stated::EveryOther(rate) => {
            vec![Header::new("x-rate-limit", rate.to_string())]
        }
        Stated::Unreadable => vec![Header::new("x-rate-limit", "plenty")],
    }
}

/// Load of 300 requests a second at each of three nodes.
const HIGH_LOAD: usize = 9;

#[test]
fn summed_limit() {
    let mut world = World::with_one_target();
    world.state(Stated::Limit(10.0));
    for _ in 0..300 {
        world.step(HIGH_LOAD);
    }
    let from = world.step;
    for _ in 0..800 {
        world.step(HIGH_LOAD);
    }
    world.check_windows();
    let arrived = world.arrived_since(from);
    assert!((60..=85).contains(&arrived), "{arrived} in 8 s");
}

/// A restarted node doesn't know the limit; the nodes that send through it do.
#[test]
fn restarted_node() {
    let mut world = World::with_one_target();
    world.state(Stated::Limit(2.0));
    for _ in 0..400 {
        world.step(HIGH_LOAD);
    }
    let from = world.step;
    for _ in 0..8 {
        world.restart(LIMITED);
        for _ in 0..50 {
            world.call(VMS[1]);
            world.call(VMS[2]);
            world.pass();
        }
    }
    world.check_windows();
    let arrived = world.arrived_since(from);
    assert!(arrived <= 8 + 5, "{arrived} in 4 s with 8 restarts");
}

#[test]
fn lowered_and_raised() {
    let mut world = World::new(1);
    for (rate, expected) in [(40.0, 150..=165), (5.0, 16..=30), (20.0, 55..=82)] {
        world.state(Stated::Limit(rate));
        for _ in 0..150 {
            world.step(HIGH_LOAD);
        }
        let from = world.step;
        for _ in 0..400 {
            world.step(HIGH_LOAD);
        }
        let arrived = world.arrived_since(from);
        assert!(expected.contains(&arrived), "{arrived} at {rate}/s");
    }
    world.check_windows();
}

#[test]
fn lifted_limit() {
    let mut world = World::new(1);
    world.state(Stated::Limit(1.0));
    for _ in 0..500 {
        world.step(2);
    }
    world.state(Stated::Nothing);
    for _ in 0..200 {
        world.step(2);
    }
    let from = world.step;
    for _ in 0..100 {
        world.step(2);
    }
    assert_eq!(world.arrived_since(from), 200);
}

/// A limit of zero still lets a request through now and then, or it could never end.
#[test]
fn zero_limit() {
    let mut world = World::new(1);
    world.state(Stated::Limit(0.0));
    for _ in 0..300 {
        world.step(1);
    }
    let from = world.step;
    for _ in 0..1_200 {
        world.step(1);
    }
    let arrived = world.arrived_since(from);
    assert!((2..=4).contains(&arrived), "{arrived} in 12 s");
    world.state(Stated::Nothing);
    for _ in 0..500 {
        world.step(1);
    }
    let from = world.step;
    for _ in 0..100 {
        world.step(1);
    }
    assert_eq!(world.arrived_since(from), 100);
}

/// A response that lacks the field may be older than one that has it.
#[test]
fn missing_field() {
    let mut world = World::new(1);
    world.state(Stated::EveryOther(10.0));
    for _ in 0..400 {
        world.step(3);
    }
    let from = world.step;
    for _ in 0..400 {
        world.step(3);
    }
    let arrived = world.arrived_since(from);
    assert!(arrived <= 45, "{arrived} in 4 s");
}

#[test]
fn unreadable_limit() {
    let mut world = World::new(1);
    world.state(Stated::Limit(10.0));
    for _ in 0..200 {
        world.step(3);
    }
    world.state(Stated::Unreadable);
    let from = world.step;
    for _ in 0..400 {
        world.step(3);
    }
    let arrived = world.arrived_since(from);
    assert!((30..=45).contains(&arrived), "{arrived} in 4 s");
    let status = world.mesh.status(LIMITED);
    assert!(status.unreadable_limits >= 30);
    let limit = status.statement.expect("a statement").rate_limit;
    assert_eq!(limit, Some(Rate::from_per_mille(10_000)));
}

/// A value that can't be read tells a restarted node nothing, so what its senders know
/// still counts.
#[test]
fn unreadable_after_restart() {
    let mut world = World::with_one_target();
    world.state(Stated::Limit(2.0));
    for _ in 0..300 {
        world.step(HIGH_LOAD);
    }
    world.state(Stated::Unreadable);
    world.restart(LIMITED);
    world.call(LIMITED);
    for _ in 0..10 {
        world.pass();
    }
    world.call(VMS[1]);
    let statement = world.mesh.status(LIMITED).statement;
    let limit = statement.expect("a statement").rate_limit;
    assert_eq!(limit, Some(Rate::from_per_mille(2_000)));
}

/// Two senders of a restarted node know statements that are older than its process. Their
/// order is unknown, so the lower limit counts.
#[test]
fn statements_before_start() {
    let mut world = World::new(1);
    world.mesh.now = common::at(0);
    world.start(LIMITED);
    for (inbound, age_ms, per_mille) in [(1, 3_000, 30_000), (2, 200, 2_000), (3, 900, 9_000)] {
        let handover = Handover {
            from: name(VMS[1]),
            version: world.snapshot.version,
            upstream: "ordering-1".parse().expect("valid upstream"),
            kind: KindId {
                service: "ordering".parse().expect("valid service"),
                kind: "order".parse().expect("valid kind"),
            },
            delivery: Delivery::Once,
            remaining: Duration::from_secs(1),
            depth: Depth::default(),
            fingerprint: Digest::of(b"request"),
            crashed_vms: Vec::new(),
            max_wait: Some(Duration::ZERO),
            statement: Some(TargetStatement {
                rate_limit: Some(Rate::from_per_mille(per_mille)),
                age: Duration::from_millis(age_ms),
                ..TargetStatement::default()
            }),
            workspace_priority: None,
            caller_priority: None,
            earlier_calls: 0,
            request: order(),
        };
        let request = Box::new(handover).into();
        let inbound = InboundId(inbound);
        world
            .mesh
            .send(LIMITED, RequestEvent::Received { inbound, request });
    }
    let statement = world.mesh.status(LIMITED).statement;
    let limit = statement.expect("a statement").rate_limit;
    assert_eq!(limit, Some(Rate::from_per_mille(2_000)));
}

/// A target that takes over the address of another one has no limit yet.
#[test]
fn replaced_target() {
    let mut world = World::new(1);
    world.state(Stated::Limit(1.0));
    for _ in 0..300 {
        world.step(2);
    }
    world.state(Stated::Nothing);
    let mut next = Snapshot::clone(&world.snapshot);
    next.version.index.0 += 1;
    for upstream in next.upstreams.values_mut() {
        upstream.incarnation = Incarnation(2);
    }
    world.snapshot = Arc::new(next);
    let event = RequestEvent::Configured(world.snapshot.clone());
    world.mesh.send_all(&event);
    let health = Health::Good {
        cold_for: Duration::ZERO,
    };
    world
        .mesh
        .send(LIMITED, RequestEvent::HealthChecked { health });
    let from = world.step;
    for _ in 0..100 {
        world.step(2);
    }
    assert!(world.arrived_since(from) >= 200);
}

/// A refusal by another target at the address says nothing about the one that is meant.
#[test]
fn misdirected_response() {
    let mut world = World::new(1);
    world.mesh.terms.dialect.expected_target = Some("x-expected".into());
    world.restart(LIMITED);
    world.call(LIMITED);
    let run = world.mesh.runs[0].clone();
    let mut misdirected = response(421, "");
    misdirected.headers = fields(Stated::Limit(1.0), 1);
    world.mesh.finish(&run, Outcome::Answered(misdirected));
    assert_eq!(world.mesh.status(LIMITED).statement, None);
}

#[test]
fn health_check() {
    let mut world = World::new(1);
    let stated = |rate| {
        RequestEvent::Stated(ResponseStatement {
            rate,
            is_leaving: false,
        })
    };
    let rate = StatedRate::Limit(Rate::from_per_mille(1_000));
    world.mesh.send(LIMITED, stated(rate));
    world.mesh.advance(5_000);
    world.mesh.send(LIMITED, stated(StatedRate::Absent));
    let statement = world.mesh.status(LIMITED).statement;
    let limit = statement.expect("a statement").rate_limit;
    assert_eq!(limit, Some(Rate::from_per_mille(1_000)));
}

/// Requests go to targets without a limit while these have room.
#[test]
fn other_targets() {
    let mut world = World::new(3);
    world.state(Stated::Limit(5.0));
    for _ in 0..300 {
        world.step(1);
    }
    let earlier = world.mesh.answers.len();
    for _ in 0..500 {
        world.step(1);
    }
    world.check_windows();
    let refused = world.mesh.answers.values();
    let refused = refused
        .filter(|a| matches!(a, Answer::NotRun { .. }))
        .count();
    assert!(world.mesh.answers.len() >= earlier + 490);
    assert_eq!(refused, 0);
}

/// A request that the limit leaves no room for is refused at once, with the time after
/// which the limit has room again.
#[test]
fn prompt_refusal() {
    let mut world = World::new(1);
    world.state(Stated::Limit(0.5));
    for _ in 0..300 {
        world.step(1);
    }
    let call = CallId(u64::MAX);
    let request = with(order(), ORIGIN, LIMITED);
    let arrived = RequestEvent::Arrived { call, request };
    world.mesh.send(LIMITED, arrived);
    let Some(Answer::NotRun {
        reason,
        retry_after,
    }) = world.mesh.answers.get(&call)
    else {
        panic!("not refused at once: {:?}", world.mesh.answers.get(&call));
    };
    assert_eq!(*reason, NotRun::RateLimited);
    let bounds = Duration::from_millis(100)..=Duration::from_secs(2);
    assert!(bounds.contains(retry_after), "{retry_after:?}");
}

proptest! {
    #![proptest_config(Config { cases: 8, max_shrink_iters: 0, failure_persistence: None, ..Config::default() })]

    /// Random series of limits, kills, cuts, held-back messages and bursts.
    #[test]
    fn random_series(seed in any::<u64>()) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = if rng.bool() {
            World::new(3)
        } else {
            World::with_one_target()
        };
        let mut load = HIGH_LOAD;
        world.state(Stated::Limit(rng.f64() * 30.0));
        let mut released_at = None;
        for _ in 0..2_000 {
            if released_at == Some(world.step) {
                world.mesh.release();
                for (from, to) in [(0, 1), (1, 0), (0, 2), (2, 0)] {
                    world.mesh.set_cut(VMS[from], VMS[to], false);
                }
                released_at = None;
            }
            match rng.u32(..1_000) {
                0..=1 => world.state(Stated::Limit(rng.f64() * 30.0)),
                2 => world.state(Stated::Limit(rng.f64() * 2.0)),
                3 => world.state(Stated::Nothing),
                4 => world.state(Stated::Unreadable),
                5..=9 => world.restart(LIMITED),
                10..=11 => world.restart(VMS[rng.usize(1..3)]),
                12..=15 if released_at.is_none() => {
                    let vm = VMS[rng.usize(..3)];
                    world.mesh.blocked_vms.insert(name(vm));
                    world.told.remove(vm);
                    released_at = Some(world.step + rng.usize(1..80));
                }
                16..=19 if released_at.is_none() => {
                    let vm = rng.usize(1..3);
                    world.mesh.set_cut(VMS[vm], LIMITED, true);
                    world.mesh.set_cut(LIMITED, VMS[vm], true);
                    world.told.remove(VMS[vm]);
                    released_at = Some(world.step + rng.usize(1..80));
                }
                20..=25 => load = rng.usize(..2 * HIGH_LOAD),
                _ => {}
            }
            world.step(load);
        }
        world.check_windows();
    }
}

/// Under overload a limited target is still used up to its limit.
#[test]
fn used_limit() {
    let mut world = World::new(3);
    world.state(Stated::Limit(40.0));
    for _ in 0..300 {
        world.step(HIGH_LOAD);
    }
    let from = world.step;
    for _ in 0..400 {
        world.step(HIGH_LOAD);
    }
    let arrived = world.arrived_since(from);
    assert!((120..=165).contains(&arrived), "{arrived} in 4 s at 40/s");
}
