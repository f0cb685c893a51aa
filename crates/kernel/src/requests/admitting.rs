//! The admitting node: decides what runs at its own target, and when.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::HttpResponse;
use celeryshore_model::Semantics;
use celeryshore_model::Time;

use crate::Delivery;
use crate::Handover;
use crate::NotRun;
use crate::Reply;
use crate::ReplyOutcome;
use crate::Unknown;
use crate::requests::Outcome;
use crate::requests::RequestAction;
use crate::requests::WorkId;
use crate::requests::admission::Admission;
use crate::requests::admission::Verdict;
use crate::requests::context::Context;
use crate::requests::context::Origin;
use crate::requests::headers;
use crate::requests::timers::Timers;
use crate::requests::work::Work;
use crate::requests::work::WorkState;

/// Part of the time left that is kept for the way of the reply, as a divisor.
const REPLY_MARGIN_DIVISOR: u32 = 16;
/// Most time that is kept for the way of the reply.
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(5);
/// Keyed work may go on this long after its deadline, so that its answer is known.
const KEYED_GRACE: Duration = Duration::from_secs(2);
/// When to come back after a refusal that has nothing to do with load.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of the checks that a hand-over passes before it asks for a slot.
type Result<T> = std::result::Result<T, NotRun>;

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

    /// Takes a request from a handing node.
    pub(super) fn received(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        handover: Box<Handover>,
    ) {
        let deadline = cx.now.mono + remaining(&handover);
        match check(cx, &handover) {
            Ok(()) => self.admit(cx, origin, handover, deadline),
            Err(reason) => self.refuse(cx, origin, reason, RETRY_AFTER),
        }
    }

    /// Takes the end of an exchange whose handing node no longer waits.
    pub(super) fn withdrawn(&mut self, cx: &mut Context<'_>, origin: Origin) {
        let Some(id) = self.origins.remove(&origin) else {
            return;
        };
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        work.origin = None;
        if !work.is_running() {
            self.drop_queued(id);
        } else if !work.is_keyed() {
            self.abort(cx, id);
        }
        self.fill(cx);
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
            self.reply(cx, origin, reply_outcome(outcome));
        }
        self.fill(cx);
    }

    /// Ends the work whose deadline has passed.
    pub(super) fn expire(&mut self, cx: &mut Context<'_>) {
        while let Some(id) = self.deadlines.pop(cx.now.mono) {
            self.expire_one(cx, id);
        }
        self.fill(cx);
    }

    fn admit(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        handover: Box<Handover>,
        deadline: Time,
    ) {
        let verdict = self.admission.judge(deadline - cx.now.mono);
        if let Verdict::Refuse {
            reason,
            retry_after,
        } = verdict
        {
            self.refuse(cx, origin, reason, retry_after);
            return;
        }
        let id = self.add(origin, handover, deadline);
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

    fn run(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let since = cx.now.mono;
        work.state = WorkState::Running { since };
        self.admission.start();
        let remaining = work.deadline - since;
        let grace = grace(work);
        let request = work.handover.request.clone();
        cx.actions.push(RequestAction::Run {
            work: id,
            request: headers::stamp(request, work.handover.depth, remaining),
            deadline: work.deadline + grace,
        });
    }

    fn fill(&mut self, cx: &mut Context<'_>) {
        while let Some(id) = self.admission.next() {
            self.run(cx, id);
        }
    }

    fn expire_one(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let origin = work.origin.take();
        let outcome = if work.is_running() {
            ReplyOutcome::Unknown(Unknown::Deadline)
        } else {
            not_run(NotRun::Deadline, RETRY_AFTER)
        };
        let give_up = work.deadline + grace(work);
        if !work.is_running() {
            self.drop_queued(id);
        } else if give_up > cx.now.mono {
            self.deadlines.set(id, give_up);
        } else {
            self.abort(cx, id);
        }
        if let Some(origin) = origin {
            self.origins.remove(&origin);
            self.reply(cx, origin, outcome);
        }
    }

    fn drop_queued(&mut self, id: WorkId) {
        self.admission.dequeue(id);
        self.deadlines.cancel(id);
        self.works.remove(&id);
    }

    fn abort(&mut self, cx: &mut Context<'_>, id: WorkId) {
        self.admission.release();
        self.deadlines.cancel(id);
        self.works.remove(&id);
        cx.actions.push(RequestAction::Abort { work: id });
    }

    fn observe(&mut self, cx: &Context<'_>, work: &Work, outcome: &Outcome) {
        let WorkState::Running { since } = work.state else {
            return;
        };
        match outcome {
            Outcome::Answered(_) => self.admission.finish(cx.now.mono - since),
            Outcome::NeverSent | Outcome::Broken | Outcome::Silent => self.admission.release(),
        }
    }

    fn refuse(&self, cx: &mut Context<'_>, origin: Origin, reason: NotRun, retry_after: Duration) {
        self.reply(cx, origin, not_run(reason, retry_after));
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

fn check(cx: &mut Context<'_>, handover: &Handover) -> Result<()> {
    let view = cx.view;
    if view.snapshot().is_none() {
        return Err(NotRun::Learning);
    }
    if handover.version > view.version() {
        cx.actions.push(RequestAction::CatchUp {
            version: handover.version,
            from: handover.from.clone(),
        });
        return Err(NotRun::Behind);
    }
    let own = view.own().ok_or(NotRun::NotHere)?;
    if own.name != handover.upstream || own.service != handover.kind.service {
        return Err(NotRun::NotHere);
    }
    if view.is_own_out() {
        return Err(NotRun::OutOfService);
    }
    let kind = view.kind(&handover.kind).ok_or(NotRun::NotHere)?;
    let is_repeatable = handover.delivery == Delivery::Repeatable;
    if is_repeatable != (kind.semantics == Semantics::Idempotent) {
        return Err(NotRun::NotHere);
    }
    let limits = view.own_limits().ok_or(NotRun::NotHere)?;
    if handover.request.body.len() as u64 > limits.body.get() {
        return Err(NotRun::TooLarge);
    }
    Ok(())
}

/// Returns the time left for the work, without the way of the reply.
fn remaining(handover: &Handover) -> Duration {
    let margin = (handover.remaining / REPLY_MARGIN_DIVISOR).min(MAX_REPLY_MARGIN);
    handover.remaining.saturating_sub(margin)
}

fn grace(work: &Work) -> Duration {
    if work.is_keyed() {
        KEYED_GRACE
    } else {
        Duration::ZERO
    }
}

fn reply_outcome(outcome: Outcome) -> ReplyOutcome {
    match outcome {
        Outcome::Answered(response) if headers::is_not_run(&response) => shed(&response),
        Outcome::Answered(response) => ReplyOutcome::Answered(response),
        Outcome::NeverSent => not_run(NotRun::TargetDown, RETRY_AFTER),
        Outcome::Broken | Outcome::Silent => ReplyOutcome::Unknown(Unknown::TargetLost),
    }
}

fn shed(response: &HttpResponse) -> ReplyOutcome {
    let retry_after = headers::retry_after(response).unwrap_or(RETRY_AFTER);
    not_run(NotRun::Overloaded, retry_after)
}

const fn not_run(reason: NotRun, retry_after: Duration) -> ReplyOutcome {
    ReplyOutcome::NotRun {
        reason,
        retry_after,
    }
}
