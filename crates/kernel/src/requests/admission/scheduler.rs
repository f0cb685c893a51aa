//! Admission of work to the target: slots and a short queue.

use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Limits;
use celeryshore_model::Slots;
use celeryshore_model::Time;

use super::adaptive_limit::Evidence;
use super::decision::Demand;
use super::decision::Refusal;
use super::decision::Verdict;
use super::in_flight::Runs;
use super::limiter::Gate;
use super::pairs::Batches;
use super::queue::Place;
use super::queue::Queue;
use super::rank::Rank;
use super::rank_load::Overtaking;
use super::shares::Shares;
use crate::Health;
use crate::LoadReport;
use crate::NotRun;
use crate::Phase;
use crate::requests::WorkId;
use crate::requests::terms::ColdStartTerms;

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time for which work has waited without a break that makes a standing queue: more
/// than a few runs, so more than a queue can bridge.
const STANDING_QUEUE: Duration = Duration::from_millis(250);
/// Part of the usual wait that is allowed in a standing queue, as a divisor. It adds
/// nothing to what the target can do, and makes all answers later.
const STANDING_DIVISOR: u32 = 4;
/// Part of the usual service time below which work is not begun, as a divisor.
const HOPELESS_DIVISOR: u32 = 2;

/// Slots and queue of one target.
#[derive(Debug)]
pub(super) struct Admission {
    gate: Gate,
    room: usize,
    runs: Runs,
    queue: Queue,
    /// Since when work has waited without a break.
    waiting_since: Option<Time>,
    shares: Shares,
    batches: Batches,
    overtaking: Overtaking,
    is_target_draining: bool,
}

impl Admission {
    /// Makes the admission of a node that knows nothing of its target.
    pub(super) fn new() -> Self {
        Self {
            gate: Gate::new(),
            room: 0,
            runs: Runs::new(),
            queue: Queue::default(),
            waiting_since: None,
            shares: Shares::default(),
            batches: Batches::default(),
            overtaking: Overtaking::default(),
            is_target_draining: false,
        }
    }

    /// Takes what the target can bear from the configuration.
    pub(super) fn configure(
        &mut self,
        now: Time,
        limits: Limits,
        slots: Option<Slots>,
        terms: ColdStartTerms,
    ) {
        self.gate.configure(now, limits, slots, terms);
        self.room = limits.queue.get() as usize;
    }

    /// Begins with another life of the target, or with one back in service.
    pub(super) fn reset(&mut self, now: Time) {
        self.gate.reset(now);
    }

    /// Takes the time for which the target says that it stays in cold start.
    pub(super) fn told(&mut self, now: Time, cold_for: Duration) {
        self.gate.told(now, cold_for);
    }

    /// Takes what an examination of the target showed.
    pub(super) fn examined(&mut self, now: Time, health: Health) {
        self.gate.examined(now, health);
    }

    /// Tells whether the target is to be examined now, and notes that it is.
    pub(super) fn take_examination(&mut self, now: Time) -> bool {
        self.gate.take_examination(now)
    }

    /// Notes that there is no target to examine at present.
    pub(super) fn postpone_examination(&mut self, now: Time) {
        self.gate.postpone_examination(now);
    }

    /// Returns when waiting work may start without the end of other work.
    pub(super) fn next_at(&self, now: Time) -> Option<Time> {
        self.gate.next_at(now)
    }

    /// Takes the target's claim about itself; tells whether the limit fell.
    pub(super) fn claim(&mut self, now: Time, phase: Phase) -> bool {
        let was_draining = self.is_target_draining;
        self.is_target_draining = phase == Phase::Draining;
        if was_draining && !self.is_target_draining {
            self.gate.reset(now);
        }
        self.gate.claim(now, phase)
    }

    /// Judges a request.
    pub(super) fn judge(&mut self, now: Time, demand: Demand<'_>) -> Verdict {
        let Demand { from, kind, .. } = demand;
        self.shares.ask(now, kind, demand.rank.priority());
        let companion = self.batches.take(now, from, kind);
        let verdict = self.verdict(now, demand, companion);
        if companion.is_none() {
            let is_accepted = !matches!(verdict, Verdict::Refuse(_));
            self.batches.decided(now, from, kind, is_accepted);
        }
        verdict
    }

    /// Judges a request whose companion, if it has one, was accepted or not.
    fn verdict(&self, now: Time, demand: Demand<'_>, companion: Option<bool>) -> Verdict {
        if demand.remaining.is_zero() {
            return Verdict::Refuse(self.refusal(now, NotRun::Deadline));
        }
        if self.is_target_draining {
            return Verdict::Refuse(self.refusal(now, NotRun::Leaving));
        }
        let place = self.queue.place(demand.rank, demand.kind, &self.shares);
        if place.get() == 0 && self.gate.admits(now, self.running()) {
            return Verdict::Run;
        }
        let wait = self.expected_wait(now, place.get());
        let (wait, at_most) = match place {
            Place::Due(_) => (wait, demand.max_wait),
            Place::Ranked(_) => (
                self.overtaking.grow(demand.rank, wait),
                self.longest_wait(now, demand.max_wait),
            ),
        };
        let is_short = at_most.is_none_or(|max| wait <= max);
        let (is_short, at_most) = match companion {
            Some(true) => (true, demand.max_wait),
            Some(false) => (false, at_most),
            None => (is_short, at_most),
        };
        if self.queue.len() < self.room && is_short && self.fits(now, wait, demand.remaining) {
            return Verdict::Wait { at_most };
        }
        Verdict::Refuse(self.overload(now))
    }

    /// Returns how long a request may wait by its rank that would wait for `max_wait`
    /// at most.
    fn longest_wait(&self, now: Time, max_wait: Option<Duration>) -> Option<Duration> {
        let is_standing = self
            .waiting_since
            .is_some_and(|since| now - since >= STANDING_QUEUE);
        let divisor = if is_standing { STANDING_DIVISOR } else { 1 };
        max_wait.map(|max| max / divisor)
    }

    /// Makes the refusal of a request that the target can't bear now.
    pub(super) fn overload(&self, now: Time) -> Refusal {
        self.refusal(
            now,
            match self.gate.phase(now) {
                Phase::Down => NotRun::TargetDown,
                Phase::Warm => NotRun::Overloaded,
                _ => NotRun::ColdStart,
            },
        )
    }

    fn refusal(&self, now: Time, reason: NotRun) -> Refusal {
        Refusal {
            reason,
            retry_after: self
                .expected_wait(now, self.queue.len())
                .max(MIN_RETRY_AFTER),
        }
    }

    /// Tells whether work that starts after a wait can end in `remaining` time.
    pub(super) fn fits(&self, now: Time, wait: Duration, remaining: Duration) -> bool {
        self.gate.phase(now) != Phase::Down && wait + self.runs.service_time(now) < remaining
    }

    /// Tells whether work that starts now may well end in `remaining` time.
    pub(super) fn can_finish(&self, now: Time, remaining: Duration) -> bool {
        let least = self.runs.service_time(now) / HOPELESS_DIVISOR;
        remaining >= least && !remaining.is_zero()
    }

    /// Takes a slot.
    pub(super) fn start(&mut self, now: Time, kind: &KindId, rank: Rank) {
        let run = self.shares.start(now, kind);
        self.overtaking.start(rank, run);
        self.runs.start(now);
        self.gate.sent(now);
    }

    /// Frees a slot and learns from its work; tells whether the limit fell.
    pub(super) fn finish(
        &mut self,
        now: Time,
        since: Time,
        kind: &KindId,
        evidence: Evidence<'_>,
    ) -> bool {
        self.shares.ended(kind, now - since);
        match evidence {
            Evidence::Answered { .. } => self.runs.answered(now, since),
            _ => self.runs.end(since),
        }
        self.gate.observe(now, evidence)
    }

    /// Frees the slot of work that was given up.
    pub(super) fn release(&mut self, now: Time, since: Time) {
        self.runs.given_up(now, since);
    }

    /// Returns how many requests run.
    pub(super) fn running(&self) -> u32 {
        self.runs.count()
    }

    /// Lets work wait; tells whether other work now waits behind it.
    pub(super) fn enqueue(&mut self, now: Time, rank: Rank, kind: KindId, work: WorkId) -> bool {
        self.waiting_since.get_or_insert(now);
        self.queue.push(rank, kind, work) + 1 < self.queue.len()
    }

    /// Takes work out of the queue that does not run.
    pub(super) fn dequeue(&mut self, work: WorkId) {
        self.queue.remove(work);
        self.note_empty();
    }

    /// Returns the work that waits, by rank.
    pub(super) fn queue(&self) -> impl Iterator<Item = WorkId> {
        self.queue.iter()
    }

    /// Returns the work that waits with the expected time until it starts.
    pub(super) fn waits(&self, now: Time) -> Vec<(Duration, WorkId)> {
        let places = self.queue.places(&self.shares).into_iter();
        places
            .map(|(place, work)| (self.expected_wait(now, place), work))
            .collect()
    }

    /// Returns the work that is to run next, if a slot is free.
    pub(super) fn next(&mut self, now: Time) -> Option<WorkId> {
        if self.gate.admits(now, self.running()) {
            let next = self.queue.pop(&self.shares);
            self.note_empty();
            next
        } else {
            None
        }
    }

    fn note_empty(&mut self) {
        if self.queue.is_empty() {
            self.waiting_since = None;
        }
    }

    /// Returns the load to report to handing nodes.
    pub(super) fn load(&self, now: Time) -> LoadReport {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        LoadReport {
            in_flight: self.running().saturating_add(queued),
            limit: self.gate.get(),
            phase: self.phase(now),
            wait: if self.queue.is_empty() && self.gate.admits(now, self.running()) {
                Duration::ZERO
            } else {
                self.expected_wait(now, self.queue.len())
            },
            service_time: self.runs.service_time(now),
        }
    }

    fn phase(&self, now: Time) -> Phase {
        if self.is_target_draining {
            Phase::Draining
        } else {
            self.gate.phase(now)
        }
    }

    /// Returns how long a request at this place in the queue waits for a slot.
    fn expected_wait(&self, now: Time, place: usize) -> Duration {
        let ahead = u32::try_from(place).unwrap_or(u32::MAX);
        let rounds = ahead.saturating_add(1);
        let for_slot = self.runs.service_time(now).saturating_mul(rounds) / self.gate.get().max(1);
        for_slot.max(self.gate.pace_wait(now, place))
    }
}
