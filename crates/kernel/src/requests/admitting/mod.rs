//! The admitting node: decides what runs at its own target, and when.

mod admission;
mod check;
mod expiry;
mod latency;
mod limit;
mod outcome;
mod work;

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Time;

use self::admission::Admission;
use self::admission::Refusal;
use self::admission::Verdict;
use self::limit::Evidence;
use self::work::Work;
use self::work::WorkState;
use crate::Handover;
use crate::LoadReport;
use crate::Phase;
use crate::Reply;
use crate::ReplyOutcome;
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
    origins: BTreeMap<Origin, WorkId>,
    deadlines: Timers<WorkId>,
    latest: u64,
    admission: Admission,
}

impl Admitting {
    /// Makes the admitting side of a process that starts now.
    pub(super) const fn new() -> Self {
        Self {
            works: BTreeMap::new(),
            origins: BTreeMap::new(),
            deadlines: Timers::new(),
            latest: 0,
            admission: Admission::new(),
        }
    }

    /// Returns the number of requests that wait or run.
    pub(super) fn open(&self) -> usize {
        self.works.len()
    }

    /// Returns the load of the target.
    pub(super) fn load(&self) -> LoadReport {
        self.admission.load()
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
        match check::check(cx, &handover) {
            Ok(()) => self.admit(cx, origin, handover),
            Err(reason) => self.reply(cx, origin, Refusal::new(reason).into()),
        }
    }

    /// Takes the outcome of work at the target.
    pub(super) fn finished(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: Outcome) {
        let Some(work) = self.works.remove(&id) else {
            return;
        };
        self.deadlines.cancel(id);
        self.observe(cx, &work, &outcome);
        if let Some(origin) = work.origin {
            self.origins.remove(&origin);
            self.reply(cx, origin, outcome::reply_outcome(outcome));
        }
        self.fill(cx);
    }

    fn admit(&mut self, cx: &mut Context<'_>, origin: Origin, handover: Box<Handover>) {
        let remaining = remaining(&handover);
        let verdict = self.admission.judge(cx.now.mono, remaining);
        if let Verdict::Refuse(refusal) = verdict {
            self.reply(cx, origin, refusal.into());
            return;
        }
        let id = self.add(origin, handover, cx.now.mono + remaining);
        if verdict == Verdict::Run {
            self.run(cx, id);
        } else {
            self.admission.enqueue(id);
        }
    }

    fn add(&mut self, origin: Origin, handover: Box<Handover>, deadline: Time) -> WorkId {
        self.latest += 1;
        let id = WorkId(self.latest);
        self.origins.insert(origin, id);
        self.deadlines.set(id, deadline);
        let work = Work {
            origin: Some(origin),
            handover,
            deadline,
            state: WorkState::Queued,
        };
        self.works.insert(id, work);
        id
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

/// Returns the time left for the work, without the way of the reply.
fn remaining(handover: &Handover) -> Duration {
    let margin = (handover.remaining / REPLY_MARGIN_DIVISOR).min(MAX_REPLY_MARGIN);
    handover.remaining.saturating_sub(margin)
}
