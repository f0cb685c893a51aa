//! Admission of requests at the node of their target.
//!
//! A forwarding node sends a request here; this node decides whether, when and in which
//! order it runs at the local target. A request passes through these steps:
//!
//! 1. `parking` holds it until the configuration version that it was routed under has
//!    taken effect here.
//! 2. `check` compares it with the configuration and the state of this node.
//! 3. `keyed` and `duplicate_check` make sure that a request with an idempotency key
//!    runs at most once.
//! 4. `admit` asks the `scheduler` for a slot: the request starts, waits in the queue or
//!    is refused.
//! 5. `observe` and `outcome` evaluate its end at the target; `expiry` ends it at its
//!    deadline or when its forwarding node withdraws it.
//!
//! The `scheduler` combines the `limiter` (how many requests may run) and the `rate_limit`
//! that the target states with the `queue`, whose order follows from `rank`, `shares` and
//! `lateness`.
//! `statement` reads what the target states in its responses. `local_target` detects
//! restarts of the target, and `crash` detects requests that crash it. `stopping` refuses
//! what can't end before this process is killed.

mod adaptive_limit;
mod admit;
mod arrival;
mod caller_rank;
mod calls;
mod check;
mod crash;
mod decision;
mod duplicate_check;
mod expiry;
mod in_flight;
mod keyed;
mod kind_stats;
mod latency;
mod lateness;
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
mod rate_limit;
mod report;
mod run_times;
mod runs;
mod scheduler;
mod shares;
mod siblings;
mod start_rate;
mod statement;
mod status;
mod stopping;
mod task;
mod unlisted_inquirers;
mod urgent_slots;
mod waiter;
mod work;

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::VmName;

use self::arrival::Arrival;
use self::crash::LostResponses;
use self::decision::Refusal;
use self::duplicate_check::DuplicateCheck;
use self::kind_stats::KindStats;
use self::local_target::LocalTarget;
use self::runs::Runs;
use self::scheduler::Scheduler;
use self::task::DuplicateCheckId;
use self::task::ParkedId;
use self::task::Task;
use self::task::WaiterId;
use self::unlisted_inquirers::UnlistedInquirers;
use self::waiter::Waiter;
use self::work::Work;
use crate::Handover;
use crate::LoadReport;
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
use crate::requests::longest_times::LongestTimes;
use crate::requests::sizes::body_size;
use crate::requests::timers::Timers;

/// Divisor of the time left: the part that is reserved for the reply to reach the
/// forwarding node.
const REPLY_MARGIN_DIVISOR: u32 = 16;
/// Maximum time that is reserved for the reply to reach the forwarding node.
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(5);

/// Requests at this node's local target.
#[derive(Debug)]
pub(super) struct Admission {
    local_target: Option<LocalTarget>,
    work_items: BTreeMap<WorkId, Work>,
    waiters: BTreeMap<WaiterId, Waiter>,
    parked: BTreeMap<ParkedId, Arrival>,
    duplicate_checks: BTreeMap<DuplicateCheckId, DuplicateCheck>,
    /// Pending inquiries of the duplicate checks.
    inquiries: BTreeMap<ExchangeId, DuplicateCheckId>,
    /// Runs by the identifiers of their requests.
    runs: Runs,
    /// Tasks whose reply is awaited, to end them if their origin withdraws.
    origins: BTreeMap<Origin, Task>,
    deadlines: Timers<Task>,
    /// Number of the latest task.
    last_number: u64,
    scheduler: Scheduler,
    journal: Journal<WaiterId>,
    unlisted_inquirers: UnlistedInquirers,
    lost_responses: LostResponses,
    kind_stats: KindStats,
    /// Longest run times of the local target.
    longest_runs: LongestTimes,
    /// Time of the latest response of the local target, or of the one that another node
    /// told this one of.
    heard_at: Option<Time>,
    /// Whether the local target has responded to this process.
    has_response: bool,
    /// Whether the local target states that it is about to leave.
    is_target_leaving: bool,
    /// Latest registered target, whose statements are known.
    stated_by: Option<LocalTarget>,
    /// Number of responses whose rate limit could not be read.
    unreadable_limits: u64,
    /// Whether the latest one could not be read.
    is_limit_unreadable: bool,
}

impl Admission {
    /// Creates the admission of a process that starts now.
    pub(super) fn new(vm: VmName, now: Now) -> Self {
        Self {
            local_target: None,
            work_items: BTreeMap::new(),
            waiters: BTreeMap::new(),
            parked: BTreeMap::new(),
            duplicate_checks: BTreeMap::new(),
            inquiries: BTreeMap::new(),
            runs: Runs::default(),
            origins: BTreeMap::new(),
            deadlines: Timers::new(),
            last_number: 0,
            scheduler: Scheduler::new(),
            journal: Journal::new(JournalConfig::new(vm), now),
            unlisted_inquirers: UnlistedInquirers::default(),
            lost_responses: LostResponses::default(),
            kind_stats: KindStats::new(now.mono),
            longest_runs: LongestTimes::default(),
            heard_at: None,
            has_response: false,
            is_target_leaving: false,
            stated_by: None,
            unreadable_limits: 0,
            is_limit_unreadable: false,
        }
    }

    /// Returns the number of requests that are parked, queued, running, waiting for
    /// another copy or being checked for duplicates.
    pub(super) fn open_count(&self) -> usize {
        self.work_items.len() + self.waiters.len() + self.parked.len() + self.duplicate_checks.len()
    }

    /// Returns when the next deadline, start or health check is due.
    pub(super) fn next_due(&self, now: Time) -> Option<Time> {
        let due = [self.deadlines.next(), self.scheduler.next_at(now)];
        due.into_iter().flatten().min()
    }

    /// Applies a configuration that has taken effect.
    pub(super) fn handle_configuration(&mut self, cx: &mut Context<'_>) {
        if let Some(limits) = cx.view.own_limits() {
            let slots = cx.view.own().and_then(|own| own.slots);
            let terms = cx.view.cfg().terms.cold_start;
            self.scheduler.configure(cx.now.mono, limits, slots, terms);
            let urgent_slots = cx.view.cfg().terms.urgent_slots;
            self.scheduler.set_urgent_slots(urgent_slots);
        }
        self.observe_local_target(cx);
        self.unpark(cx);
        self.start_queued(cx);
    }

    /// Records the phase that the target reports.
    pub(super) fn handle_phase_report(&mut self, cx: &mut Context<'_>, claimed: Phase) {
        if self.scheduler.report_phase(cx.now.mono, claimed) {
            self.refuse_late(cx);
        }
    }

    /// Handles a request from a forwarding node.
    pub(super) fn handle_handover(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        handover: Box<Handover>,
    ) {
        let deadline = cx.now.mono + remaining(cx, &handover);
        let now = cx.now.mono;
        cx.suspect_requests
            .record(now, handover.fingerprint, &handover.crashed_vms);
        self.adopt_statement(cx, handover.statement);
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

    /// Accepts a request that was routed under a version that is known here.
    fn accept(&mut self, cx: &mut Context<'_>, mut arrival: Arrival) {
        let origin = arrival.origin;
        let named = &arrival.handover.kind;
        if let Some(kind) = cx.view.resolve_kind(named, &arrival.handover.request) {
            arrival.handover.kind = kind;
        }
        if let Some(copy) = arrival::keyed_copy(cx, &arrival.handover) {
            self.handle_keyed_copy(cx, arrival, &copy);
            return;
        }
        match self.check(cx, &arrival.handover) {
            Ok(()) => self.admit(cx, arrival, None),
            Err(reason) => {
                self.kind_stats.record_request(&arrival.handover.kind);
                self.kind_stats
                    .record_refusal(&arrival.handover.kind, reason);
                self.reply(cx, origin, Refusal::new(reason).into());
            }
        }
    }

    /// Checks a forwarded request against the configuration and the state of this node
    /// and its target.
    fn check(&self, cx: &mut Context<'_>, handover: &Handover) -> check::Result<()> {
        check::check(cx, handover)?;
        self.check_staying()
    }

    /// Handles the end of a run at the target.
    pub(super) fn handle_outcome(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: Outcome) {
        let Some(work) = self.work_items.remove(&id) else {
            return;
        };
        self.deadlines.cancel(id.into());
        self.runs.remove(id);
        self.record_crash_evidence(cx, &work, &outcome);
        self.observe(cx, &work, &outcome);
        if let Some(copy) = &work.copy {
            let dialect = &cx.view.cfg().terms.dialect;
            self.finish_key(cx, copy, outcome::key_outcome(dialect, &outcome));
        }
        if let Some(origin) = work.origin {
            self.origins.remove(&origin);
            let dialect = &cx.view.cfg().terms.dialect;
            let run_time = outcome::run_time(&work, cx.now.mono, &outcome);
            let outcome = outcome::reply_outcome(dialect, outcome);
            let longest_run = self.longest_runs.longest(&work.handover.kind);
            self.reply_after_run(cx, origin, outcome, (run_time, longest_run));
        }
        self.start_queued(cx);
    }

    const fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn start_queued(&mut self, cx: &mut Context<'_>) {
        while let Some(id) = self.scheduler.next(cx.now.mono) {
            match self.check_start(cx, id) {
                Ok(()) => self.run(cx, id),
                Err(reason) => self.refuse_queued(cx, id, reason),
            }
        }
    }

    /// Checks that a queued request may still start: at the target that it was queued
    /// for, and with enough time left.
    fn check_start(&self, cx: &Context<'_>, id: WorkId) -> check::Result<()> {
        let work = self.work_items.get(&id).ok_or(NotRun::NotHere)?;
        let own = cx.view.own().ok_or(NotRun::NotHere)?;
        if own.name != work.handover.upstream {
            return Err(NotRun::NotHere);
        }
        check::check_serving(own)?;
        self.check_staying()?;
        if self
            .shortfall(cx, &work.handover.kind, work.deadline)
            .is_some()
        {
            return Err(NotRun::Leaving);
        }
        if !self
            .scheduler
            .can_finish(cx.now.mono, work.deadline - cx.now.mono)
        {
            return Err(NotRun::Deadline);
        }
        Ok(())
    }

    /// Logs a summary of recent requests, if one is due.
    pub(super) fn summarize(&mut self, cx: &mut Context<'_>) {
        let summaries = self.kind_stats.summary(cx.now.mono).into_iter();
        let actions = summaries.map(|summary| RequestAction::Summarize(Box::new(summary)));
        cx.actions.extend(actions);
    }

    fn reply(&self, cx: &mut Context<'_>, origin: Origin, outcome: ReplyOutcome) {
        self.reply_after_run(cx, origin, outcome, (None, None));
    }

    fn reply_after_run(
        &self,
        cx: &mut Context<'_>,
        origin: Origin,
        outcome: ReplyOutcome,
        (run_time, longest_run): (Option<Duration>, Option<Duration>),
    ) {
        if let (Origin::Peer(_), ReplyOutcome::Answered(response)) = (origin, &outcome) {
            cx.link.send(cx.now.mono, body_size(response));
        }
        let reply = Reply {
            outcome,
            load: LoadReport {
                link_wait: self.link_backlog(cx),
                ..self.load(cx)
            },
            others: report::others(cx, origin),
            run_time,
            longest_run,
            statement: self.statement(cx.view, cx.now.mono),
            version: cx.view.version(),
            incarnation: cx.view.cfg().incarnation,
        };
        cx.reply(origin, Box::new(reply));
    }
}

/// Returns the time left for the run, without the time reserved for the reply.
fn remaining(cx: &Context<'_>, handover: &Handover) -> Duration {
    let remaining = handover.remaining.saturating_sub(cx.lost_time);
    let margin = (remaining / REPLY_MARGIN_DIVISOR).min(MAX_REPLY_MARGIN);
    remaining.saturating_sub(margin)
}
