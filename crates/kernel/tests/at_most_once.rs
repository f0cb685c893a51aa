//! Property test of the journal: a key runs at most once in any order of copies,
//! message losses and crashes.
//!
//! Each mechanism is also switched off in a test of its own, in which a key must
//! run twice. This shows that the property test detects its absence.

use std::time::Duration;

use celeryshore_kernel::Fence;
use celeryshore_kernel::Inquiry;
use celeryshore_kernel::InquiryDecision;
use celeryshore_kernel::Journal;
use celeryshore_kernel::JournalConfig;
use celeryshore_kernel::KeyDecision;
use celeryshore_kernel::KeyOutcome;
use celeryshore_kernel::KeyRole;
use celeryshore_kernel::KeyedCopy;
use celeryshore_kernel::Seen;
use celeryshore_model::Attempt;
use celeryshore_model::Digest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Now;
use celeryshore_model::RequestKey;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::WallTime;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use uuid::NoContext;
use uuid::Timestamp;
use uuid::Uuid;

const NODES: usize = 4;
const CASES: u32 = 4_000;
const MAX_STEPS: usize = 40;
const START_SECS: u64 = 1_700_000_000;
const KEY_CREATION_DELAY: Duration = Duration::from_secs(30);
const STEP_DURATION: Duration = Duration::from_millis(10);

/// Mechanism that a test switches off.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mechanism {
    All,
    WithoutDuplicateCheck,
    WithoutFenceCheck,
    WithoutCoverage,
}

/// Whether copies have an attempt number.
#[derive(Clone, Copy, Debug)]
enum Numbering {
    Numbered,
    Unnumbered,
}

#[derive(Clone, Debug)]
enum Step {
    Send { to: usize },
    Deliver { index: usize },
    Drop { index: usize },
    Finish { node: usize, has_response: bool },
    Crash { node: usize },
}

enum Message {
    Copy {
        to: usize,
        copy: KeyedCopy,
    },
    Inquiry {
        to: usize,
        /// Incarnation of the receiver; a later one does not get the message.
        incarnation: u64,
        inquiry: Box<Inquiry>,
        check: usize,
    },
    Vote {
        check: usize,
        seen: Seen,
    },
}

struct DuplicateCheck {
    node: usize,
    incarnation: u64,
    copy: KeyedCopy,
    fence: Fence,
    is_covered: bool,
    fenced_votes: usize,
    is_open: bool,
}

/// Waiter for a running copy.
enum Waiter {
    Copy,
    Witness { inquiry: Box<Inquiry>, check: usize },
}

struct Node {
    journal: Journal<Waiter>,
    incarnation: u64,
    is_running: bool,
}

struct Simulation {
    mechanism: Mechanism,
    numbering: Numbering,
    now: Now,
    key: RequestKey,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    /// All duplicate checks; messages refer to them by index.
    checks: Vec<DuplicateCheck>,
    sent: u32,
    runs: u32,
}

fn key_created_at(wall: WallTime) -> RequestKey {
    let secs = wall.as_millis() / 1_000;
    let stamp = Timestamp::from_unix(NoContext, secs, 0);
    let uuid = Uuid::new_v7(stamp).to_string();
    uuid.parse().expect("a UUID is a key")
}

fn config(node: usize) -> JournalConfig {
    let vm = format!("vm-{node}").parse().expect("valid name");
    JournalConfig::new(vm)
}

impl Simulation {
    fn new(mechanism: Mechanism, numbering: Numbering) -> Self {
        let start = Now {
            mono: Time::ZERO,
            wall: WallTime::from_millis(START_SECS * 1_000),
        };
        let now = advance(start, KEY_CREATION_DELAY);
        let node = |i| Node {
            journal: Journal::new(config(i), start),
            incarnation: 0,
            is_running: false,
        };
        Self {
            mechanism,
            numbering,
            now,
            key: key_created_at(now.wall),
            nodes: (0..NODES).map(node).collect(),
            messages: Vec::new(),
            checks: Vec::new(),
            sent: 0,
            runs: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        self.now = advance(self.now, STEP_DURATION);
        match *step {
            Step::Send { to } => self.send(to),
            Step::Deliver { index } => self.deliver(index),
            Step::Drop { index } => {
                self.take(index);
            }
            Step::Finish { node, has_response } => self.finish(node, has_response),
            Step::Crash { node } => self.crash(node),
        }
    }

    fn send(&mut self, to: usize) {
        self.sent += 1;
        let copy = KeyedCopy {
            key: self.key.clone(),
            fingerprint: Digest::of(b"order"),
            attempt: match self.numbering {
                Numbering::Numbered => Some(Attempt::new(self.sent)),
                Numbering::Unnumbered => None,
            },
            role: if to == 0 {
                KeyRole::Home
            } else {
                KeyRole::Other
            },
        };
        self.messages.push(Message::Copy { to, copy });
    }

    fn take(&mut self, index: usize) -> Option<Message> {
        if self.messages.is_empty() {
            return None;
        }
        let index = index % self.messages.len();
        Some(self.messages.remove(index))
    }

    fn deliver(&mut self, index: usize) {
        match self.take(index) {
            Some(Message::Copy { to, copy }) => self.begin(to, copy),
            Some(Message::Inquiry {
                to,
                incarnation,
                inquiry,
                check,
            }) if self.nodes[to].incarnation == incarnation => self.witness(to, &inquiry, check),
            Some(Message::Inquiry { .. }) | None => {}
            Some(Message::Vote { check, seen }) => self.vote(check, &seen),
        }
    }

    fn begin(&mut self, to: usize, copy: KeyedCopy) {
        let now = self.now;
        match self.nodes[to].journal.begin(now, &copy, Waiter::Copy) {
            KeyDecision::Run => self.run(to),
            KeyDecision::CheckDuplicates { .. }
                if self.mechanism == Mechanism::WithoutDuplicateCheck =>
            {
                self.run(to);
            }
            KeyDecision::CheckDuplicates { fence, is_covered } => {
                self.start_check(to, copy, fence, is_covered);
            }
            _ => {}
        }
    }

    fn run(&mut self, node: usize) {
        self.runs += 1;
        self.nodes[node].is_running = true;
    }

    fn start_check(&mut self, node: usize, copy: KeyedCopy, fence: Fence, is_covered: bool) {
        let check = self.checks.len();
        let inquiry = Inquiry {
            from: format!("vm-{node}").parse().expect("valid name"),
            version: Version::default(),
            kind: celeryshore_model::KindId {
                service: "ordering".parse().expect("valid name"),
                kind: "place-order".parse().expect("valid name"),
            },
            key: copy.key.clone(),
            fingerprint: copy.fingerprint,
            fence: fence.clone(),
            remaining: Duration::from_secs(1),
        };
        for to in (0..NODES).filter(|to| *to != node) {
            let incarnation = self.nodes[to].incarnation;
            let inquiry = Box::new(inquiry.clone());
            self.messages.push(Message::Inquiry {
                to,
                incarnation,
                inquiry,
                check,
            });
        }
        self.checks.push(DuplicateCheck {
            node,
            incarnation: self.nodes[node].incarnation,
            copy,
            fence,
            is_covered: is_covered || self.mechanism == Mechanism::WithoutCoverage,
            fenced_votes: 0,
            is_open: true,
        });
    }

    fn witness(&mut self, to: usize, inquiry: &Inquiry, check: usize) {
        let now = self.now;
        let waiter = Waiter::Witness {
            inquiry: Box::new(inquiry.clone()),
            check,
        };
        if let InquiryDecision::Vote(seen) =
            self.nodes[to].journal.answer_inquiry(now, inquiry, waiter)
        {
            self.messages.push(Message::Vote { check, seen });
        }
    }

    fn vote(&mut self, check: usize, seen: &Seen) {
        let now = self.now;
        let pending = &mut self.checks[check];
        let ignores_coverage =
            self.mechanism == Mechanism::WithoutCoverage && *seen == Seen::TooYoung;
        if !pending.is_open || self.nodes[pending.node].incarnation != pending.incarnation {
            return;
        }
        if *seen != Seen::Fenced && !ignores_coverage {
            pending.is_open = false;
            return;
        }
        pending.fenced_votes += 1;
        if pending.fenced_votes < NODES - 1 || !pending.is_covered {
            return;
        }
        pending.is_open = false;
        let (node, copy, fence) = (pending.node, pending.copy.clone(), pending.fence.clone());
        let journal = &mut self.nodes[node].journal;
        let decision = journal.finish_duplicate_check(now, &copy, &fence, Waiter::Copy);
        let skips_check = self.mechanism == Mechanism::WithoutFenceCheck;
        if decision == KeyDecision::Run || (skips_check && decision == KeyDecision::Superseded) {
            self.run(node);
        }
    }

    fn finish(&mut self, node: usize, has_response: bool) {
        if !std::mem::take(&mut self.nodes[node].is_running) {
            return;
        }
        let outcome = if has_response {
            KeyOutcome::Done(HttpResponse::default())
        } else {
            KeyOutcome::Lost
        };
        let (now, key) = (self.now, self.key.clone());
        for waiter in self.nodes[node].journal.finish(now, &key, outcome) {
            if let Waiter::Witness { inquiry, check } = waiter {
                self.witness(node, &inquiry, check);
            }
        }
    }

    fn crash(&mut self, node: usize) {
        let crashed = &mut self.nodes[node];
        crashed.journal = Journal::new(config(node), self.now);
        crashed.incarnation += 1;
        crashed.is_running = false;
    }
}

fn advance(now: Now, span: Duration) -> Now {
    Now {
        mono: now.mono + span,
        wall: now.wall + span,
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..NODES).prop_map(|to| Step::Send { to }),
        8 => any::<usize>().prop_map(|index| Step::Deliver { index }),
        1 => any::<usize>().prop_map(|index| Step::Drop { index }),
        1 => (0..NODES, any::<bool>()).prop_map(|(node, has_response)| Step::Finish { node, has_response }),
        1 => (0..NODES).prop_map(|node| Step::Crash { node }),
    ]
}

fn steps() -> impl Strategy<Value = (Numbering, Vec<Step>)> {
    let numbering = prop_oneof![Just(Numbering::Numbered), Just(Numbering::Unnumbered)];
    (numbering, proptest::collection::vec(step(), 1..MAX_STEPS))
}

/// Runs random sequences of steps from a fixed seed; returns `true` if the key ran
/// at most once in each of them.
fn runs_at_most_once(mechanism: Mechanism) -> bool {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&steps(), |(numbering, steps)| {
        let mut sim = Simulation::new(mechanism, numbering);
        for step in &steps {
            sim.apply(step);
        }
        if sim.runs > 1 {
            return Err(TestCaseError::fail("the key ran twice"));
        }
        Ok(())
    });
    result.is_ok()
}

#[test]
fn any_interleaving() {
    assert!(runs_at_most_once(Mechanism::All));
}

#[test]
fn no_duplicate_check() {
    assert!(!runs_at_most_once(Mechanism::WithoutDuplicateCheck));
}

#[test]
fn no_fence_check() {
    assert!(!runs_at_most_once(Mechanism::WithoutFenceCheck));
}

#[test]
fn no_coverage_check() {
    assert!(!runs_at_most_once(Mechanism::WithoutCoverage));
}

#[test]
fn lost_copy() {
    let mut sim = Simulation::new(Mechanism::All, Numbering::Numbered);
    sim.apply(&Step::Send { to: 0 });
    sim.apply(&Step::Drop { index: 0 });
    sim.apply(&Step::Send { to: 1 });
    for _ in 0..=2 * NODES {
        sim.apply(&Step::Deliver { index: 0 });
    }
    assert_eq!(sim.runs, 1);
}
