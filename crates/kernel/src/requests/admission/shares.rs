//! Minimum share of the target's time for each request kind.
//!
//! Load pattern: urgent requests fill all slots for longer than a queue can absorb, for
//! example after most targets are lost. By rank alone, all other kinds would starve.
//! Three fifths of the target's time are therefore split evenly among the active kinds; the
//! rest is assigned by rank.
//!
//! The time is kept as credit: each start distributes credit to the active kinds, and a
//! kind with enough credit may start requests regardless of rank.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Priority;
use celeryshore_model::Time;
use serde::Serialize;

/// Part of the target's time that is assigned regardless of rank, in percent.
const MINIMUM_SHARE_PERCENT: u32 = 60;
/// Time after its latest request for which a kind counts as active.
const ACTIVE_WINDOW: Duration = Duration::from_secs(1);
/// Credit, in runs, at which a kind begins to spend it. Two paired calls can then start
/// together.
const MIN_CREDIT_RUNS: u32 = 2;
/// Maximum credit, in runs. So many consecutive starts delay more urgent requests by
/// only a part of one run.
const MAX_CREDIT_RUNS: u32 = 4;
/// Assumed run time before the first run has ended.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(20);
/// Inverse weight of the latest run in the mean run time.
const SMOOTHING: u32 = 8;
/// Inverse weight of the latest request in the served ratio. It covers some seconds
/// of a kind with few requests.
const SERVED_SMOOTHING: u32 = 64;
/// Scale of the served ratio.
const SERVED_SCALE: u32 = 1_000_000;
/// Margin by which the served ratio of a kind may exceed that of a more urgent kind
/// before it gets no more credit. It is the sum of 5 in 100, above which a platform
/// counts the kinds as served in the wrong order, and 3 in 100, the standard error of
/// the ratio of 64 requests.
const SERVED_MARGIN: u32 = SERVED_SCALE / 100 * 8;
/// Maximum number of kinds that are tracked. A target serves a few.
const MAX_KINDS: usize = 64;

/// Credit of one kind.
#[derive(Debug)]
struct Share {
    /// Run time that the kind may use regardless of rank.
    credit: Duration,
    mean_run: Duration,
    last_request_at: Time,
    priority: Priority,
    /// Ratio of its recent requests that were started, in parts of [`SERVED_SCALE`].
    served: u32,
    /// Whether the credit has reached [`MIN_CREDIT_RUNS`] and hasn't been used up since.
    is_spending: bool,
}

impl Share {
    const fn new(now: Time, priority: Priority) -> Self {
        Self {
            credit: Duration::ZERO,
            mean_run: INITIAL_RUN_TIME,
            last_request_at: now,
            priority,
            served: SERVED_SCALE,
            is_spending: false,
        }
    }

    fn is_active(&self, now: Time) -> bool {
        now - self.last_request_at < ACTIVE_WINDOW
    }

    fn record_request(&mut self, now: Time, priority: Priority) {
        self.last_request_at = now;
        self.priority = priority;
        self.served -= self.served / SERVED_SMOOTHING;
    }

    fn add_credit(&mut self, time: Duration) {
        self.credit = (self.credit + time).min(self.mean_run * MAX_CREDIT_RUNS);
        self.is_spending |= self.credit >= self.mean_run * MIN_CREDIT_RUNS;
    }

    fn record_start(&mut self) {
        self.served = (self.served + SERVED_SCALE / SERVED_SMOOTHING).min(SERVED_SCALE);
        self.credit = self.credit.saturating_sub(self.mean_run);
        self.is_spending &= self.credit >= self.mean_run;
    }

    fn update_mean(&mut self, elapsed: Duration) {
        self.mean_run = (self.mean_run * (SMOOTHING - 1) + elapsed) / SMOOTHING;
    }

    /// A late request only gets credit that would otherwise lapse.
    fn guaranteed_starts(&self, is_late: bool) -> usize {
        if is_late {
            return usize::from(self.credit >= self.mean_run * MAX_CREDIT_RUNS);
        }
        if !self.is_spending {
            return 0;
        }
        let runs = self.credit.as_micros() / self.mean_run.as_micros().max(1);
        usize::try_from(runs).unwrap_or(usize::MAX)
    }
}

/// Credit of one kind, for the state dump.
#[derive(Debug, Serialize)]
pub(in crate::requests) struct KindShare {
    /// Run time that it may use regardless of rank.
    credit: Duration,
    mean_run: Duration,
    /// Ratio of its recent requests that were started.
    started_ratio: f64,
    /// Whether it gets no credit, because a more urgent kind is served less often.
    is_order_limited: bool,
    /// Time since its latest request.
    age: Duration,
}

/// Credit of each kind for starts regardless of rank.
#[derive(Debug, Default)]
pub(super) struct Shares {
    kinds: BTreeMap<KindId, Share>,
}

impl Shares {
    /// Records that a request of a kind asks for a slot.
    pub(super) fn record_request(&mut self, now: Time, kind: &KindId, priority: Priority) {
        if let Some(share) = self.kinds.get_mut(kind) {
            share.record_request(now, priority);
        } else if self.kinds.len() < MAX_KINDS {
            self.kinds.insert(kind.clone(), Share::new(now, priority));
        }
    }

    /// Returns how many requests of a kind may start now regardless of rank.
    pub(super) fn guaranteed_starts(&self, kind: &KindId, is_late: bool) -> usize {
        let share = self.kinds.get(kind);
        share.map_or(0, |share| share.guaranteed_starts(is_late))
    }

    /// Returns the mean run time of a kind.
    pub(super) fn mean_run(&self, kind: &KindId) -> Duration {
        let share = self.kinds.get(kind);
        share.map_or(INITIAL_RUN_TIME, |share| share.mean_run)
    }

    /// Records that a request of a kind starts, and distributes a part of its expected
    /// run time as credit. Returns the expected run time.
    pub(super) fn record_start(&mut self, now: Time, kind: &KindId) -> Duration {
        let Some(share) = self.kinds.get_mut(kind) else {
            return INITIAL_RUN_TIME;
        };
        share.record_start();
        let run = share.mean_run;
        let distributed = run * MINIMUM_SHARE_PERCENT / 100;
        let recipients: Vec<_> = self.recipients(now).cloned().collect();
        let portion = distributed / u32::try_from(recipients.len()).unwrap_or(u32::MAX).max(1);
        for kind in recipients {
            if let Some(share) = self.kinds.get_mut(&kind) {
                share.add_credit(portion);
            }
        }
        run
    }

    /// Returns the kinds that get credit: those that are active, have less than the
    /// maximum credit, and aren't served more often than a more urgent kind.
    fn recipients(&self, now: Time) -> impl Iterator<Item = &KindId> {
        let active = move || self.kinds.iter().filter(move |(_, s)| s.is_active(now));
        active()
            .filter(|(_, share)| share.credit < share.mean_run * MAX_CREDIT_RUNS)
            .filter(move |(_, share)| !self.is_limited_by_order(now, share))
            .map(|(kind, _)| kind)
    }

    /// Returns `true` if a kind gets no credit, because an active, more urgent one is served
    /// less often.
    pub(super) fn is_order_limited(&self, now: Time, kind: &KindId) -> bool {
        let share = self.kinds.get(kind);
        share.is_some_and(|share| self.is_limited_by_order(now, share))
    }

    fn is_limited_by_order(&self, now: Time, share: &Share) -> bool {
        let active = self.kinds.values().filter(|other| other.is_active(now));
        let mut urgent = active.filter(|other| other.priority < share.priority);
        urgent.any(|other| other.served + SERVED_MARGIN < share.served)
    }

    /// Returns the credit of each kind, for the state dump.
    pub(super) fn status(&self, now: Time) -> BTreeMap<String, KindShare> {
        let kinds = self.kinds.iter();
        kinds
            .map(|(kind, share)| {
                let status = KindShare {
                    credit: share.credit,
                    mean_run: share.mean_run,
                    started_ratio: f64::from(share.served) / f64::from(SERVED_SCALE),
                    is_order_limited: self.is_limited_by_order(now, share),
                    age: now - share.last_request_at,
                };
                (kind.to_string(), status)
            })
            .collect()
    }

    /// Records the run time of a request that ended.
    pub(super) fn record_end(&mut self, kind: &KindId, elapsed: Duration) {
        if let Some(share) = self.kinds.get_mut(kind) {
            share.update_mean(elapsed);
        }
    }
}
