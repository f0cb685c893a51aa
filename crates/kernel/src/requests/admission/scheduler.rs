//! Scheduler of the local target: slots, and a short queue in front of them.
//!
//! A request runs at once if a slot is free and nothing waits before it. Otherwise it is
//! queued if its expected wait fits its deadline and the wait that its forwarding node
//! allows. Everything else is refused, so that the caller can try another upstream
//! early.

mod decide;
mod speed;
mod urgent;
mod waits;

use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Limits;
use celeryshore_model::Rate;
use celeryshore_model::Slots;
use celeryshore_model::Time;

pub(super) use self::waits::MIN_RETRY_AFTER;
use super::adaptive_limit::Observation;
use super::in_flight::InFlight;
use super::lateness::Lateness;
use super::limiter::Limiter;
use super::pairs::Pairs;
use super::queue::Queue;
use super::rank::Rank;
use super::rank_load::RankLoad;
use super::rate_limit::RateChange;
use super::rate_limit::RateLimit;
use super::shares::Shares;
use super::urgent_slots::UrgentSlots;
use crate::Health;
use crate::LoadReport;
use crate::Phase;
use crate::StatedRate;
use crate::requests::WorkId;
use crate::requests::terms::ColdStartTerms;

/// Slots and queue of the local target.
#[derive(Debug)]
pub(super) struct Scheduler {
    limiter: Limiter,
    rate_limit: RateLimit,
    queue_capacity: usize,
    in_flight: InFlight,
    queue: Queue,
    /// Start of the current period in which the queue has never been empty.
    waiting_since: Option<Time>,
    shares: Shares,
    lateness: Lateness,
    pairs: Pairs,
    rank_load: RankLoad,
    urgent_slots: UrgentSlots,
    is_target_draining: bool,
}

impl Scheduler {
    pub(super) fn new() -> Self {
        Self {
            limiter: Limiter::new(),
            rate_limit: RateLimit::default(),
            queue_capacity: 0,
            in_flight: InFlight::new(),
            queue: Queue::default(),
            waiting_since: None,
            shares: Shares::default(),
            lateness: Lateness::default(),
            pairs: Pairs::default(),
            rank_load: RankLoad::default(),
            urgent_slots: UrgentSlots::default(),
            is_target_draining: false,
        }
    }

    /// Applies the limits that the configuration sets for the target.
    pub(super) fn configure(
        &mut self,
        now: Time,
        limits: Limits,
        slots: Option<Slots>,
        terms: ColdStartTerms,
    ) {
        self.limiter.configure(now, limits, slots, terms);
        self.queue_capacity = limits.queue.get() as usize;
    }

    /// Forgets what is known of the target's load: it has a new incarnation, or is back
    /// in service.
    pub(super) fn reset(&mut self, now: Time) {
        self.limiter.reset(now);
        self.in_flight.forget_speed();
    }

    /// Returns the rate limit that the target states.
    pub(super) fn rate_limit(&self) -> Option<Rate> {
        self.rate_limit.get()
    }

    /// Records the rate limit in a response of the target.
    pub(super) fn observe_rate_limit(&mut self, now: Time, stated: StatedRate) -> RateChange {
        self.rate_limit.observe(now, stated)
    }

    /// Takes over a rate limit that another node knows. Returns `true` if it is new here.
    pub(super) fn adopt_rate_limit(&mut self, now: Time, rate: Rate, stated_at: Time) -> bool {
        self.rate_limit.adopt(now, rate, stated_at)
    }

    /// Forgets the rate limit, because another incarnation of the target stated it.
    pub(super) fn clear_rate_limit(&mut self) {
        self.rate_limit.clear();
    }

    /// Records the remaining cold start time that the target reports through the
    /// platform.
    pub(super) fn report_cold_start(&mut self, now: Time, cold_for: Duration) {
        self.limiter.report_cold_start(now, cold_for);
    }

    /// Records the result of a health check of the target.
    pub(super) fn record_health(&mut self, now: Time, health: Health) {
        self.limiter.record_health(now, health);
    }

    /// Returns `true` if a health check is due now, and marks it as started.
    pub(super) fn take_due_health_check(&mut self, now: Time) -> bool {
        self.limiter.take_due_health_check(now)
    }

    /// Delays the next health check, because there is no target to check.
    pub(super) fn postpone_health_check(&mut self, now: Time) {
        self.limiter.postpone_health_check(now);
    }

    /// Returns when a queued request may start, or a health check is due, without
    /// another run ending first.
    pub(super) fn next_at(&self, now: Time) -> Option<Time> {
        let rate_limit_at = self.rate_limit.next_at().filter(|at| *at > now);
        let rate_limit_at = rate_limit_at.filter(|_| !self.queue.is_empty());
        let due = [
            self.limiter.next_at(now),
            rate_limit_at,
            self.next_release_at(now),
        ];
        due.into_iter().flatten().min()
    }

    /// Returns `true` if one more request may start now.
    fn admits(&self, now: Time) -> bool {
        self.limiter.admits(now, self.running()) && self.rate_limit.admits(now)
    }

    /// Records the phase that the target reports. Returns `true` if the limit fell.
    pub(super) fn report_phase(&mut self, now: Time, phase: Phase) -> bool {
        let was_draining = self.is_target_draining;
        self.is_target_draining = phase == Phase::Draining;
        if was_draining && !self.is_target_draining {
            self.limiter.reset(now);
        }
        self.limiter.report_phase(now, phase)
    }

    /// Records that a request takes a slot and starts.
    pub(super) fn start(&mut self, now: Time, kind: &KindId, rank: Rank) {
        let run = self.shares.record_start(now, kind);
        self.urgent_slots.record_start(kind);
        self.rank_load.record_start(rank, run);
        self.in_flight.record_start(now);
        self.limiter.record_sent(now);
        self.rate_limit.record_sent(now);
    }

    /// Frees the slot of a request that ended and records what its outcome shows.
    /// Returns `true` if the limit fell.
    pub(super) fn finish(
        &mut self,
        now: Time,
        since: Time,
        kind: &KindId,
        observation: Observation<'_>,
    ) -> bool {
        self.shares.record_end(kind, now - since);
        let is_answered = matches!(observation, Observation::Answered { .. });
        self.urgent_slots
            .record_end(kind, is_answered.then_some(now - since));
        match observation {
            Observation::Answered { .. } => self.in_flight.record_response(now, since, kind),
            _ => self.in_flight.remove(since),
        }
        self.limiter.observe(now, observation)
    }

    /// Frees the slot of a request that was aborted.
    pub(super) fn abandon(&mut self, now: Time, since: Time, kind: &KindId) {
        self.urgent_slots.record_end(kind, None);
        self.in_flight.record_abandoned(now, since);
    }

    /// Returns the number of requests that are running.
    pub(super) fn running(&self) -> u32 {
        self.in_flight.count()
    }

    /// Queues a request. Returns `true` if other requests now wait behind it.
    pub(super) fn enqueue(
        &mut self,
        now: Time,
        rank: Rank,
        kind: KindId,
        is_late: bool,
        work: WorkId,
    ) -> bool {
        self.waiting_since.get_or_insert(now);
        self.queue.push(rank, kind, is_late, work) + 1 < self.queue.len()
    }

    /// Removes a request from the queue without starting it.
    pub(super) fn dequeue(&mut self, work: WorkId) {
        self.queue.remove(work);
        self.clear_wait_if_empty();
    }

    /// Returns the queued requests by rank.
    pub(super) fn queue(&self) -> impl Iterator<Item = WorkId> {
        self.queue.iter()
    }

    /// Removes and returns the request to start next, if a slot is free.
    pub(super) fn next(&mut self, now: Time) -> Option<WorkId> {
        if self.admits(now) {
            let slot_use = self.slot_use();
            let held = self.urgent_slots.held_kinds(now, slot_use);
            let next = self.queue.pop(&self.shares, &held);
            self.clear_wait_if_empty();
            next
        } else {
            None
        }
    }

    fn clear_wait_if_empty(&mut self) {
        if self.queue.is_empty() {
            self.waiting_since = None;
        }
    }

    /// Returns the load report for the forwarding nodes.
    pub(super) fn load(&self, now: Time) -> LoadReport {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        LoadReport {
            in_flight: self.running().saturating_add(queued),
            limit: self.limiter.get(),
            phase: self.phase(now),
            wait: if self.queue.is_empty() && self.admits(now) {
                Duration::ZERO
            } else {
                self.expected_wait(now, self.queue.len())
            },
            service_time: self.in_flight.service_time(now),
            ..LoadReport::default()
        }
    }

    fn phase(&self, now: Time) -> Phase {
        if self.is_target_draining {
            Phase::Draining
        } else {
            self.limiter.phase(now)
        }
    }
}
