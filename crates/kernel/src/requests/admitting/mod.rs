//! The admitting node: decides what runs at its own target, and when.

mod admission;
mod arrival;
mod check;
mod expiry;
mod judgement;
mod keyed;
mod latency;
mod limit;
mod outcome;
mod parking;
mod status;
mod strangers;
mod task;
mod waiter;
mod work;

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::VmName;

use self::admission::Admission;
use self::admission::Refusal;
use self::admission::Verdict;
use self::arrival::Arrival;
use self::judgement::Judgement;
use self::limit::Evidence;
use self::strangers::Strangers;
use self::task::JudgementId;
use self::task::ParkedId;
use self::task::Task;
use self::task::WaiterId;
use self::waiter::Waiter;
use self::work::Work;
use self::work::WorkState;
use crate::Handover;
use crate::Phase;
use crate::Reply;
use crate::ReplyOutcome;
use crate::requests::ExchangeId;
use crate::requests::Journal;
use crate::requests::JournalConfig;
use crate::requests::KeyOutcome;
use crate::requests::KeyedCopy;
use crate::requests::Outcome;
use crate::requests::RequestAction;
use crate::requests::WorkId;
use crate::requests::context::Context;
use crate::requests::context::Origin;
use crate::requests::headers;
use crate::requests::timers::Timers;

/// Part of the time left that is kept for the way of the reply, as a divisor.
const REPLY_MARGIN_DIVISOR: u32 = 16;
/// Most time that is kept for the way of the reply.
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(5);

/// Work at this node's own target.
#[derive(Debug)]
pub(super) struct Admitting {
    works: BTreeMap<WorkId, Work>,
    waiters: BTreeMap<WaiterId, Waiter>,
    parked: BTreeMap<ParkedId, Arrival>,
    judgements: BTreeMap<JudgementId, Judgement>,
    inquiries: BTreeMap<ExchangeId, JudgementId>,
    origins: BTreeMap<Origin, Task>,
    deadlines: Timers<Task>,
    latest: u64,
    admission: Admission,
    journal: Journal<WaiterId>,
    strangers: Strangers,
}

impl Admitting {
    /// Makes the admitting side of a process that starts now.
    pub(super) fn new(vm: VmName, now: Now) -> Self {
        Self {
            works: BTreeMap::new(),
            waiters: BTreeMap::new(),
            parked: BTreeMap::new(),
            judgements: BTreeMap::new(),
            inquiries: BTreeMap::new(),
            origins: BTreeMap::new(),
            deadlines: Timers::new(),
            latest: 0,
            admission: Admission::new(),
            journal: Journal::new(JournalConfig::new(vm), now),
            strangers: Strangers::default(),
        }
    }

    /// Returns the number of requests that wait, run or are judged.
    pub(super) fn open(&self) -> usize {
        self.works.len() + self.waiters.len() + self.parked.len() + self.judgements.len()
    }

    /// Returns the earliest deadline.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.deadlines.next()
    }

    /// Takes a configuration that came into force.
    pub(super) fn configured(&mut self, cx: &mut Context<'_>) {
        if let Some(limits) = cx.view.own_limits() {
            self.admission.configure(limits);
        }
        self.unpark(cx);
        self.fill(cx);
    }

    /// Takes the target's claim about itself.
    pub(super) fn probed(&mut self, cx: &mut Context<'_>, claimed: Phase) {
        if self.admission.claim(cx.now.mono, claimed) {
            self.refuse_late(cx);
        }
    }

    /// Takes a request from a handing node.
    pub(super) fn received(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        handover: Box<Handover>,
    ) {
        let deadline = cx.now.mono + remaining(cx, &handover);
        let now = cx.now.mono;
        cx.suspicions
            .record(now, handover.fingerprint, &handover.casualties);
        let arrival = Arrival {
            origin,
            handover,
            deadline,
        };
        if cx.view.is_older_than(arrival.handover.version) {
            self.park(cx, arrival);
        } else {
            self.accept(cx, arrival);
        }
    }

    /// Takes a request that was routed under a version that is known here.
    fn accept(&mut self, cx: &mut Context<'_>, arrival: Arrival) {
        let origin = arrival.origin;
        if let Some(copy) = arrival::keyed_copy(cx, &arrival.handover) {
            self.received_copy(cx, arrival, &copy);
            return;
        }
        match check::check(cx, &arrival.handover) {
            Ok(()) => self.admit(cx, arrival, None),
            Err(reason) => self.reply(cx, origin, Refusal::new(reason).into()),
        }
    }

    /// Takes the outcome of work at the target.
    pub(super) fn finished(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: Outcome) {
        let Some(work) = self.works.remove(&id) else {
            return;
        };
        self.deadlines.cancel(id.into());
        self.observe(cx, &work, &outcome);
        suspect(cx, &work, &outcome);
        if let Some(copy) = &work.copy {
            self.end_key(cx, copy, outcome::key_outcome(&outcome));
        }
        if let Some(origin) = work.origin {
            self.origins.remove(&origin);
            self.reply(cx, origin, outcome::reply_outcome(outcome));
        }
        self.fill(cx);
    }

    /// Runs a request, lets it wait for a slot, or refuses it.
    fn admit(&mut self, cx: &mut Context<'_>, arrival: Arrival, copy: Option<KeyedCopy>) {
        let verdict = self
            .admission
            .judge(cx.now.mono, arrival.deadline - cx.now.mono);
        if let Verdict::Refuse(refusal) = verdict {
            self.reply(cx, arrival.origin, refusal.into());
            if let Some(copy) = copy {
                self.end_key(cx, &copy, KeyOutcome::NotRun);
            }
            return;
        }
        let id = self.add(arrival, copy);
        if verdict == Verdict::Run {
            self.run(cx, id);
        } else {
            self.admission.enqueue(id);
        }
    }

    fn add(&mut self, arrival: Arrival, copy: Option<KeyedCopy>) -> WorkId {
        let id = WorkId(self.next_number());
        self.origins.insert(arrival.origin, id.into());
        self.deadlines.set(id.into(), arrival.deadline);
        let work = Work {
            origin: Some(arrival.origin),
            copy,
            handover: arrival.handover,
            deadline: arrival.deadline,
            state: WorkState::Queued,
        };
        self.works.insert(id, work);
        id
    }

    const fn next_number(&mut self) -> u64 {
        self.latest += 1;
        self.latest
    }

    fn fill(&mut self, cx: &mut Context<'_>) {
        while let Some(id) = self.admission.next(cx.now.mono) {
            self.run(cx, id);
        }
    }

    fn run(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let since = cx.now.mono;
        work.state = WorkState::Running { since };
        self.admission.start();
        let remaining = work.deadline - since;
        let request = work.handover.request.clone();
        cx.actions.push(RequestAction::Run {
            work: id,
            request: headers::stamp(request, work.handover.depth, remaining),
            deadline: work.deadline + expiry::grace(work),
        });
    }

    fn observe(&mut self, cx: &mut Context<'_>, work: &Work, outcome: &Outcome) {
        let WorkState::Running { since } = work.state else {
            return;
        };
        let now = cx.now.mono;
        let evidence = match outcome {
            Outcome::Answered(response) if headers::is_shed(response) => Evidence::Overloaded,
            Outcome::Answered(response) if headers::is_failure(response) => Evidence::Failed,
            Outcome::Answered(_) => Evidence::Answered {
                kind: &work.handover.kind,
                elapsed: now - since,
                running: self.admission.running(),
            },
            Outcome::NeverSent => Evidence::Refused,
            Outcome::Broken => Evidence::Reset,
            Outcome::Silent => Evidence::Overloaded,
        };
        if self.admission.finish(now, evidence) {
            self.refuse_late(cx);
        }
    }

    fn reply(&self, cx: &mut Context<'_>, origin: Origin, outcome: ReplyOutcome) {
        let reply = Reply {
            outcome,
            load: self.admission.load(),
            version: cx.view.version(),
            incarnation: cx.view.cfg().incarnation,
        };
        cx.reply(origin, Box::new(reply));
    }
}

/// Records what an outcome says of a request that may crash targets.
fn suspect(cx: &mut Context<'_>, work: &Work, outcome: &Outcome) {
    let fingerprint = work.handover.fingerprint;
    match outcome {
        Outcome::Answered(_) => cx.suspicions.clear(&fingerprint),
        Outcome::Broken | Outcome::Silent => {
            let own = [cx.view.cfg().vm.clone()];
            cx.suspicions.record(cx.now.mono, fingerprint, &own);
        }
        Outcome::NeverSent => {}
    }
}

/// Returns the time left for the work, without the way of the reply.
fn remaining(cx: &Context<'_>, handover: &Handover) -> Duration {
    let remaining = handover.remaining.saturating_sub(cx.lost_time);
    let margin = (remaining / REPLY_MARGIN_DIVISOR).min(MAX_REPLY_MARGIN);
    remaining.saturating_sub(margin)
}
