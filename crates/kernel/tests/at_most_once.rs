//! A key runs at most once, whatever order copies, crashes and losses take.

use std::time::Duration;

use celeryshore_kernel::Begin;
use celeryshore_kernel::Fence;
use celeryshore_kernel::Inquiry;
use celeryshore_kernel::Journal;
use celeryshore_kernel::JournalConfig;
use celeryshore_kernel::KeyOutcome;
use celeryshore_kernel::KeyedCopy;
use celeryshore_kernel::Seen;
use celeryshore_kernel::Standing;
use celeryshore_kernel::Witness;
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
const LONGEST_SCRIPT: usize = 40;
const EPOCH_SECS: u64 = 1_700_000_000;
const KEY_AGE_AT_START: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(10);

/// Mechanisms that a test may switch off.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mechanism {
    All,
    WithoutJudgement,
    WithoutFenceCheck,
    WithoutVouching,
}

#[derive(Clone, Copy, Debug)]
enum Marking {
    Counted,
    Unmarked,
}

#[derive(Clone, Debug)]
enum Step {
    Send { to: usize },
    Deliver { pick: usize },
    Drop { pick: usize },
    Finish { node: usize, answered: bool },
    Crash { node: usize },
}

enum Message {
    Copy {
        to: usize,
        copy: KeyedCopy,
    },
    Inquiry {
        to: usize,
        life: u64,
        inquiry: Box<Inquiry>,
        judgement: usize,
    },
    Vote {
        judgement: usize,
        seen: Seen,
    },
}

struct Judgement {
    judge: usize,
    life: u64,
    copy: KeyedCopy,
    fence: Fence,
    vouches: bool,
    fenced: usize,
    open: bool,
}

/// Those who wait at a node for a copy that runs.
enum Waiter {
    Copy,
    Witness {
        inquiry: Box<Inquiry>,
        judgement: usize,
    },
}

struct Node {
    journal: Journal<Waiter>,
    life: u64,
    running: bool,
}

struct World {
    mechanism: Mechanism,
    marking: Marking,
    now: Now,
    key: RequestKey,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    judgements: Vec<Judgement>,
    sent: u32,
    runs: u32,
}

fn key_made_at(wall: WallTime) -> RequestKey {
    let secs = wall.as_millis() / 1_000;
    let stamp = Timestamp::from_unix(NoContext, secs, 0);
    let uuid = Uuid::new_v7(stamp).to_string();
    uuid.parse().expect("a UUID is a key")
}

fn config(node: usize) -> JournalConfig {
    let vm = format!("vm-{node}").parse().expect("a name");
    JournalConfig::new(vm)
}

impl World {
    fn new(mechanism: Mechanism, marking: Marking) -> Self {
        let start = Now {
            mono: Time::ZERO,
            wall: WallTime::from_millis(EPOCH_SECS * 1_000),
        };
        let now = later(start, KEY_AGE_AT_START);
        let node = |i| Node {
            journal: Journal::new(config(i), start),
            life: 0,
            running: false,
        };
        Self {
            mechanism,
            marking,
            now,
            key: key_made_at(now.wall),
            nodes: (0..NODES).map(node).collect(),
            messages: Vec::new(),
            judgements: Vec::new(),
            sent: 0,
            runs: 0,
        }
    }

    fn play(&mut self, step: &Step) {
        self.now = later(self.now, STEP);
        match *step {
            Step::Send { to } => self.send(to),
            Step::Deliver { pick } => self.deliver(pick),
            Step::Drop { pick } => {
                self.take(pick);
            }
            Step::Finish { node, answered } => self.finish(node, answered),
            Step::Crash { node } => self.crash(node),
        }
    }

    fn send(&mut self, to: usize) {
        self.sent += 1;
        let copy = KeyedCopy {
            key: self.key.clone(),
            fingerprint: Digest::of(b"order"),
            attempt: match self.marking {
                Marking::Counted => Some(Attempt::new(self.sent)),
                Marking::Unmarked => None,
            },
            standing: if to == 0 {
                Standing::Home
            } else {
                Standing::Other
            },
        };
        self.messages.push(Message::Copy { to, copy });
    }

    fn take(&mut self, pick: usize) -> Option<Message> {
        if self.messages.is_empty() {
            return None;
        }
        let pick = pick % self.messages.len();
        Some(self.messages.remove(pick))
    }

    fn deliver(&mut self, pick: usize) {
        match self.take(pick) {
            Some(Message::Copy { to, copy }) => self.begin(to, copy),
            Some(Message::Inquiry {
                to,
                life,
                inquiry,
                judgement,
            }) if self.nodes[to].life == life => self.witness(to, &inquiry, judgement),
            Some(Message::Inquiry { .. }) | None => {}
            Some(Message::Vote { judgement, seen }) => self.vote(judgement, &seen),
        }
    }

    fn begin(&mut self, to: usize, copy: KeyedCopy) {
        let now = self.now;
        match self.nodes[to].journal.begin(now, &copy, Waiter::Copy) {
            Begin::Run => self.run(to),
            Begin::Judge { .. } if self.mechanism == Mechanism::WithoutJudgement => self.run(to),
            Begin::Judge { fence, vouches } => self.judge(to, copy, fence, vouches),
            _ => {}
        }
    }

    fn run(&mut self, node: usize) {
        self.runs += 1;
        self.nodes[node].running = true;
    }

    fn judge(&mut self, judge: usize, copy: KeyedCopy, fence: Fence, vouches: bool) {
        let judgement = self.judgements.len();
        let inquiry = Inquiry {
            from: format!("vm-{judge}").parse().expect("a name"),
            version: Version::default(),
            kind: celeryshore_model::KindId {
                service: "ordering".parse().expect("a name"),
                kind: "place-order".parse().expect("a name"),
            },
            key: copy.key.clone(),
            fingerprint: copy.fingerprint,
            fence: fence.clone(),
            remaining: Duration::from_secs(1),
        };
        for to in (0..NODES).filter(|to| *to != judge) {
            let life = self.nodes[to].life;
            let inquiry = Box::new(inquiry.clone());
            self.messages.push(Message::Inquiry {
                to,
                life,
                inquiry,
                judgement,
            });
        }
        self.judgements.push(Judgement {
            judge,
            life: self.nodes[judge].life,
            copy,
            fence,
            vouches: vouches || self.mechanism == Mechanism::WithoutVouching,
            fenced: 0,
            open: true,
        });
    }

    fn witness(&mut self, to: usize, inquiry: &Inquiry, judgement: usize) {
        let now = self.now;
        let waiter = Waiter::Witness {
            inquiry: Box::new(inquiry.clone()),
            judgement,
        };
        if let Witness::Vote(seen) = self.nodes[to].journal.witness(now, inquiry, waiter) {
            self.messages.push(Message::Vote { judgement, seen });
        }
    }

    fn vote(&mut self, judgement: usize, seen: &Seen) {
        let now = self.now;
        let judged = &mut self.judgements[judgement];
        let young = self.mechanism == Mechanism::WithoutVouching && *seen == Seen::TooYoung;
        if !judged.open || self.nodes[judged.judge].life != judged.life {
            return;
        }
        if *seen != Seen::Fenced && !young {
            judged.open = false;
            return;
        }
        judged.fenced += 1;
        if judged.fenced < NODES - 1 || !judged.vouches {
            return;
        }
        judged.open = false;
        let (judge, copy, fence) = (judged.judge, judged.copy.clone(), judged.fence.clone());
        let journal = &mut self.nodes[judge].journal;
        let begin = journal.judged(now, &copy, &fence, Waiter::Copy);
        let unchecked = self.mechanism == Mechanism::WithoutFenceCheck;
        if begin == Begin::Run || (unchecked && begin == Begin::Superseded) {
            self.run(judge);
        }
    }

    fn finish(&mut self, node: usize, answered: bool) {
        if !std::mem::take(&mut self.nodes[node].running) {
            return;
        }
        let outcome = if answered {
            KeyOutcome::Done(HttpResponse::default())
        } else {
            KeyOutcome::Lost
        };
        let (now, key) = (self.now, self.key.clone());
        for waiter in self.nodes[node].journal.finish(now, &key, outcome) {
            if let Waiter::Witness { inquiry, judgement } = waiter {
                self.witness(node, &inquiry, judgement);
            }
        }
    }

    fn crash(&mut self, node: usize) {
        let crashed = &mut self.nodes[node];
        crashed.journal = Journal::new(config(node), self.now);
        crashed.life += 1;
        crashed.running = false;
    }
}

fn later(now: Now, span: Duration) -> Now {
    Now {
        mono: now.mono + span,
        wall: now.wall + span,
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..NODES).prop_map(|to| Step::Send { to }),
        8 => any::<usize>().prop_map(|pick| Step::Deliver { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Drop { pick }),
        1 => (0..NODES, any::<bool>()).prop_map(|(node, answered)| Step::Finish { node, answered }),
        1 => (0..NODES).prop_map(|node| Step::Crash { node }),
    ]
}

fn script() -> impl Strategy<Value = (Marking, Vec<Step>)> {
    let marking = prop_oneof![Just(Marking::Counted), Just(Marking::Unmarked)];
    (
        marking,
        proptest::collection::vec(step(), 1..LONGEST_SCRIPT),
    )
}

/// Plays random scripts from a fixed seed and tells whether every key ran at most once.
fn explore(mechanism: Mechanism) -> bool {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&script(), |(marking, steps)| {
        let mut world = World::new(mechanism, marking);
        for step in &steps {
            world.play(step);
        }
        if world.runs > 1 {
            return Err(TestCaseError::fail("the key ran twice"));
        }
        Ok(())
    });
    result.is_ok()
}

#[test]
fn any_interleaving() {
    assert!(explore(Mechanism::All));
}

#[test]
fn no_judgement() {
    assert!(!explore(Mechanism::WithoutJudgement));
}

#[test]
fn no_fence_check() {
    assert!(!explore(Mechanism::WithoutFenceCheck));
}

#[test]
fn no_vouching() {
    assert!(!explore(Mechanism::WithoutVouching));
}

#[test]
fn lost_copy() {
    let mut world = World::new(Mechanism::All, Marking::Counted);
    world.play(&Step::Send { to: 0 });
    world.play(&Step::Drop { pick: 0 });
    world.play(&Step::Send { to: 1 });
    for _ in 0..=2 * NODES {
        world.play(&Step::Deliver { pick: 0 });
    }
    assert_eq!(world.runs, 1);
}
