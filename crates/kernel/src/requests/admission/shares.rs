//! Least share of the target's time that each kind of work gets.
//!
//! Load pattern: urgent work that asks for all slots for longer than a queue can
//! bridge, as after the loss of most targets. By rank alone, all other kinds would
//! get nothing while it lasts. Half of the target's time is given out in equal
//! parts to the kinds that ask for it, the rest by rank.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Priority;
use celeryshore_model::Time;

/// Part of the target's time that is given out whatever the rank, as a divisor.
const LEAST_PART_DIVISOR: u32 = 2;
/// Time after its latest request for which a kind gets a part.
const ASKING: Duration = Duration::from_secs(1);
/// Runs that a kind saves time for before it begins to spend it, so that two calls
/// that come together start together.
const BATCH: u32 = 2;
/// Most runs that a kind saves time for; so many starts in a row hold the more urgent
/// work up for a part of one run only.
const MAX_RUNS: u32 = 4;
/// Time of a run before any was seen.
const ASSUMED_RUN: Duration = Duration::from_millis(20);
/// Weight of the latest run in the usual time of a run, as a divisor.
const SMOOTHING: u32 = 8;
/// Weight of the latest request in the share of served ones, as a divisor: some
/// seconds of a kind that asks seldom.
const SERVED_SMOOTHING: u32 = 64;
/// Scale of the share of served requests.
const WHOLE: u32 = 1_000_000;
/// How much more often than a more urgent kind a kind may be served and still get a
/// part: 5 in 100, beyond which a platform counts them as served in wrong order, and
/// the standard error of a share of 64 requests, 3 in 100.
const MARGIN: u32 = WHOLE / 100 * 8;
/// Kinds that are kept apart; a target serves a few.
const MAX_KINDS: usize = 64;

/// What one kind may start whatever its rank.
#[derive(Debug)]
struct Share {
    saved: Duration,
    usual_run: Duration,
    asked_at: Time,
    priority: Priority,
    /// Share of its requests lately that were started, in parts of [`WHOLE`].
    served: u32,
    is_open: bool,
}

impl Share {
    const fn new(now: Time, priority: Priority) -> Self {
        Self {
            saved: Duration::ZERO,
            usual_run: ASSUMED_RUN,
            asked_at: now,
            priority,
            served: WHOLE,
            is_open: false,
        }
    }

    fn is_asking(&self, now: Time) -> bool {
        now - self.asked_at < ASKING
    }

    fn ask(&mut self, now: Time, priority: Priority) {
        self.asked_at = now;
        self.priority = priority;
        self.served -= self.served / SERVED_SMOOTHING;
    }

    fn add(&mut self, time: Duration) {
        self.saved = (self.saved + time).min(self.usual_run * MAX_RUNS);
        self.is_open |= self.saved >= self.usual_run * BATCH;
    }

    fn start(&mut self) {
        self.served = (self.served + WHOLE / SERVED_SMOOTHING).min(WHOLE);
        self.saved = self.saved.saturating_sub(self.usual_run);
        self.is_open &= self.saved >= self.usual_run;
    }

    fn learn(&mut self, elapsed: Duration) {
        self.usual_run = (self.usual_run * (SMOOTHING - 1) + elapsed) / SMOOTHING;
    }

    fn runs(&self) -> usize {
        if !self.is_open {
            return 0;
        }
        let runs = self.saved.as_micros() / self.usual_run.as_micros().max(1);
        usize::try_from(runs).unwrap_or(usize::MAX)
    }
}

/// What each kind may start whatever its rank.
#[derive(Debug, Default)]
pub(super) struct Shares {
    kinds: BTreeMap<KindId, Share>,
}

impl Shares {
    /// Notes that a kind asks for a slot.
    pub(super) fn ask(&mut self, now: Time, kind: &KindId, priority: Priority) {
        if let Some(share) = self.kinds.get_mut(kind) {
            share.ask(now, priority);
        } else if self.kinds.len() < MAX_KINDS {
            self.kinds.insert(kind.clone(), Share::new(now, priority));
        }
    }

    /// Returns how many requests of a kind may start whatever its rank.
    pub(super) fn due(&self, kind: &KindId) -> usize {
        self.kinds.get(kind).map_or(0, Share::runs)
    }

    /// Notes that a request of a kind starts, and gives out a part of the time that it
    /// takes; returns that time.
    pub(super) fn start(&mut self, now: Time, kind: &KindId) -> Duration {
        let Some(share) = self.kinds.get_mut(kind) else {
            return ASSUMED_RUN;
        };
        share.start();
        let run = share.usual_run;
        let given_out = run / LEAST_PART_DIVISOR;
        let takers: Vec<_> = self.takers(now).cloned().collect();
        let part = given_out / u32::try_from(takers.len()).unwrap_or(u32::MAX).max(1);
        for kind in takers {
            if let Some(share) = self.kinds.get_mut(&kind) {
                share.add(part);
            }
        }
        run
    }

    /// Returns the kinds that get a part: those that ask, have not saved enough, and
    /// are not served more often than a more urgent kind.
    fn takers(&self, now: Time) -> impl Iterator<Item = &KindId> {
        let asking = move || self.kinds.iter().filter(move |(_, s)| s.is_asking(now));
        asking()
            .filter(|(_, share)| share.saved < share.usual_run * MAX_RUNS)
            .filter(move |(_, share)| {
                let mut urgent = asking().filter(|(_, other)| other.priority < share.priority);
                urgent.all(|(_, other)| other.served + MARGIN >= share.served)
            })
            .map(|(kind, _)| kind)
    }

    /// Learns from the end of a run.
    pub(super) fn ended(&mut self, kind: &KindId, elapsed: Duration) {
        if let Some(share) = self.kinds.get_mut(kind) {
            share.learn(elapsed);
        }
    }
}
