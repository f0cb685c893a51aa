//! The admitting node: decides what runs at its own target, and when.

mod adaptive_limit;
mod admit;
mod arrival;
mod check;
mod crash;
mod decision;
mod duplicate_check;
mod expiry;
mod in_flight;
mod keyed;
mod kind_stats;
mod latency;
mod limiter;
mod local_target;
mod observe;
mod outcome;
mod pacer;
mod pairs;
mod parking;
mod queue;
mod rank;
mod rank_load;
mod scheduler;
mod shares;
mod status;
mod task;
mod unlisted_inquirers;
mod waiter;
mod work;

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::VmName;

use self::arrival::Arrival;
use self::crash::Losses;
use self::decision::Refusal;
use self::duplicate_check::Judgement;
use self::kind_stats::Tally;
use self::local_target::OwnTarget;
use self::scheduler::Admission;
use self::task::JudgementId;
use self::task::ParkedId;
use self::task::Task;
use self::task::WaiterId;
use self::unlisted_inquirers::Strangers;
use self::waiter::Waiter;
use self::work::Work;
use self::work::WorkState;
use crate::Handover;
use crate::NotRun;
use crate::Phase;
use crate::Reply;
use crate::ReplyOutcome;
use crate::requests::ExchangeId;
use crate::requests::Journal;
use crate::requests::JournalConfig;
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
    own: Option<OwnTarget>,
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
    losses: Losses,
    tally: Tally,
}

impl Admitting {
    /// Makes the admitting side of a process that starts now.
    pub(super) fn new(vm: VmName, now: Now) -> Self {
        Self {
            own: None,
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
            losses: Losses::default(),
            tally: Tally::new(now.mono),
        }
    }

    /// Returns the number of requests that wait, run or are judged.
    pub(super) fn open(&self) -> usize {
        self.works.len() + self.waiters.len() + self.parked.len() + self.judgements.len()
    }

    /// Returns the earliest deadline.
    pub(super) fn next_due(&self, now: Time) -> Option<Time> {
        let due = [self.deadlines.next(), self.admission.next_at(now)];
        due.into_iter().flatten().min()
    }

    /// Takes a configuration that came into force.
    pub(super) fn configured(&mut self, cx: &mut Context<'_>) {
        if let Some(limits) = cx.view.own_limits() {
            let slots = cx.view.own().and_then(|own| own.slots);
            let terms = cx.view.cfg().terms.cold_start;
            self.admission.configure(cx.now.mono, limits, slots, terms);
        }
        self.observe_own(cx);
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
        cx.suspect_requests
            .record(now, handover.fingerprint, &handover.crashed_vms);
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
            Err(reason) => {
                self.tally.asked(&arrival.handover.kind);
                self.tally.refused(&arrival.handover.kind, reason);
                self.reply(cx, origin, Refusal::new(reason).into());
            }
        }
    }

    /// Takes the outcome of work at the target.
    pub(super) fn finished(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: Outcome) {
        let Some(work) = self.works.remove(&id) else {
            return;
        };
        self.deadlines.cancel(id.into());
        self.suspect(cx, &work, &outcome);
        self.observe(cx, &work, &outcome);
        if let Some(copy) = &work.copy {
            let dialect = &cx.view.cfg().terms.dialect;
            self.end_key(cx, copy, outcome::key_outcome(dialect, &outcome));
        }
        if let Some(origin) = work.origin {
            self.origins.remove(&origin);
            let dialect = &cx.view.cfg().terms.dialect;
            self.reply(cx, origin, outcome::reply_outcome(dialect, outcome));
        }
        self.fill(cx);
    }

    const fn next_number(&mut self) -> u64 {
        self.latest += 1;
        self.latest
    }

    fn fill(&mut self, cx: &mut Context<'_>) {
        while let Some(id) = self.admission.next(cx.now.mono) {
            match self.check_start(cx, id) {
                Ok(()) => self.run(cx, id),
                Err(reason) => self.refuse_waiting(cx, id, reason),
            }
        }
    }

    /// Tells whether work that waited may still run: at the target that it was
    /// admitted for, and with the time to end.
    fn check_start(&self, cx: &Context<'_>, id: WorkId) -> check::Result<()> {
        let work = self.works.get(&id).ok_or(NotRun::NotHere)?;
        let own = cx.view.own().ok_or(NotRun::NotHere)?;
        if own.name != work.handover.upstream {
            return Err(NotRun::NotHere);
        }
        check::check_serving(own)?;
        if !self
            .admission
            .can_finish(cx.now.mono, work.deadline - cx.now.mono)
        {
            return Err(NotRun::Deadline);
        }
        Ok(())
    }

    fn run(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let since = cx.now.mono;
        work.state = WorkState::Running { since };
        self.deadlines.set(id.into(), work.deadline);
        self.admission.start(since, &work.handover.kind, work.rank);
        let remaining = work.deadline - since;
        let dialect = &cx.view.cfg().terms.dialect;
        let mut request = work.handover.request.clone();
        headers::set_call_fields(dialect, &mut request, work.handover.depth, remaining);
        headers::set_expected_target(dialect, &mut request, &work.handover.upstream);
        cx.actions.push(RequestAction::Run {
            work: id,
            request,
            deadline: work.deadline + expiry::grace(work),
        });
    }

    /// Tells the log what happened at the target lately.
    pub(super) fn summarize(&mut self, cx: &mut Context<'_>) {
        let summaries = self.tally.summary(cx.now.mono).into_iter();
        let actions = summaries.map(|summary| RequestAction::Summarize(Box::new(summary)));
        cx.actions.extend(actions);
    }

    fn reply(&self, cx: &mut Context<'_>, origin: Origin, outcome: ReplyOutcome) {
        let reply = Reply {
            outcome,
            load: self.admission.load(cx.now.mono),
            version: cx.view.version(),
            incarnation: cx.view.cfg().incarnation,
        };
        cx.reply(origin, Box::new(reply));
    }
}

/// Returns the time left for the work, without the way of the reply.
fn remaining(cx: &Context<'_>, handover: &Handover) -> Duration {
    let remaining = handover.remaining.saturating_sub(cx.lost_time);
    let margin = (remaining / REPLY_MARGIN_DIVISOR).min(MAX_REPLY_MARGIN);
    remaining.saturating_sub(margin)
}
