//! Slots that long runs leave to more urgent kinds.
//!
//! Load pattern: a burst of a less urgent kind with long runs takes all slots. Requests of
//! more urgent kinds go first in the queue, but they wait for the end of a run, which is
//! longer than their target latency allows. The less urgent kind therefore leaves as many
//! slots free as the measured load of the more urgent kinds needs. Without such kinds
//! nothing is left free.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Priority;
use celeryshore_model::Time;
use serde::Serialize;

/// Divisor of the target latency: a longer run makes a request late that waits for its
/// end.
const LONG_RUN_DIVISOR: u32 = 2;
/// Divisor of the target latency: the wait for a slot that an urgent request may have.
const URGENT_WAIT_DIVISOR: u32 = 4;
/// Divisor of the slots: the part that less urgent kinds may always use.
const FLOOR_DIVISOR: u32 = 4;
/// Requests that arrive together. Calls come in pairs.
const BATCH: f64 = 2.0;
/// Standard deviations of the urgent load for which slots are left free.
const MARGIN_DEVIATIONS: f64 = 2.0;
/// Time constant of the rate of arrivals. Requests arrive in bursts of some ten
/// milliseconds, since many nodes choose a target by the same reports.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Inverse weight of the latest run in the mean run time.
const SMOOTHING: u32 = 16;
/// Mean gaps without a request after which a kind has no load. A gap between random
/// arrivals of pairs exceeds it once in a hundred times.
const IDLE_GAPS: u32 = 10;
/// Divisor of the target latency: the time without a request after which a kind has no
/// load, whatever its mean gap.
const MAX_IDLE_DIVISOR: u32 = 2;
/// Maximum number of kinds that are tracked. A target serves a few.
const MAX_KINDS: usize = 64;

/// Measured load of one kind.
#[derive(Debug)]
struct KindLoad {
    priority: Priority,
    target_latency: Option<Duration>,
    last_request_at: Time,
    /// Recent requests at the time of the latest one, each weighted by its age.
    recent: f64,
    /// Absent before the first run has ended.
    mean_run: Option<Duration>,
    running: u32,
}

impl KindLoad {
    /// Returns when the kind has no load any more, unless another request arrives.
    fn idle_at(&self) -> Time {
        let gap = RATE_WINDOW.div_f64(self.recent.max(1.0));
        let max_idle_time = self.target_latency.unwrap_or_default() / MAX_IDLE_DIVISOR;
        self.last_request_at + (gap * IDLE_GAPS).min(max_idle_time)
    }

    /// Returns the weighted number of requests within about [`RATE_WINDOW`].
    fn recent(&self, now: Time) -> f64 {
        let windows = (now - self.last_request_at).div_duration_f64(RATE_WINDOW);
        self.recent * (-windows).exp()
    }

    /// Returns the mean number of slots that the kind needs.
    fn slots(&self, now: Time) -> f64 {
        let run = self.mean_run.unwrap_or_default();
        self.recent(now) * run.div_duration_f64(RATE_WINDOW)
    }

    /// Returns `true` if a run of this kind makes a waiting request of the other late.
    fn is_long_beside(&self, other: &Self) -> bool {
        let target_latency = other
            .target_latency
            .filter(|_| other.priority < self.priority);
        target_latency
            .zip(self.mean_run)
            .is_some_and(|(latency, run)| run > latency / LONG_RUN_DIVISOR)
    }
}

/// Slots of a target, and how many are taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotUse {
    pub(super) slots: u32,
    pub(super) running: u32,
}

/// Measured load of one kind, and the slots that it leaves free, for the state dump.
#[derive(Debug, Serialize)]
pub(in crate::requests) struct KindSlots {
    /// Slots that it needs on average.
    needed: f64,
    mean_run: Option<Duration>,
    running: u32,
    /// Slots that it leaves to more urgent kinds.
    left: u32,
    /// Time since its latest request.
    age: Duration,
}

/// Slots that long kinds leave to the more urgent kinds of the target.
#[derive(Debug, Default)]
pub(super) struct UrgentSlots {
    is_enabled: bool,
    kinds: BTreeMap<KindId, KindLoad>,
}

impl UrgentSlots {
    pub(super) const fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
    }

    /// Records that a request of a kind asks for a slot.
    pub(super) fn record_request(
        &mut self,
        now: Time,
        kind: &KindId,
        priority: Priority,
        target_latency: Option<Duration>,
    ) {
        if let Some(load) = self.kinds.get_mut(kind) {
            load.recent = load.recent(now) + 1.0;
            load.last_request_at = now;
            load.priority = priority;
            load.target_latency = target_latency;
        } else if self.kinds.len() < MAX_KINDS {
            let load = KindLoad {
                priority,
                target_latency,
                last_request_at: now,
                recent: 1.0,
                mean_run: None,
                running: 0,
            };
            self.kinds.insert(kind.clone(), load);
        }
    }

    /// Records that a request of a kind takes a slot.
    pub(super) fn record_start(&mut self, kind: &KindId) {
        if let Some(load) = self.kinds.get_mut(kind) {
            load.running += 1;
        }
    }

    /// Records that a run of a kind ended, and its run time if its end shows it.
    pub(super) fn record_end(&mut self, kind: &KindId, elapsed: Option<Duration>) {
        if let Some(load) = self.kinds.get_mut(kind) {
            load.running = load.running.saturating_sub(1);
            if let Some(elapsed) = elapsed {
                load.mean_run = Some(load.mean_run.map_or(elapsed, |run| mean(run, elapsed)));
            }
        }
    }

    /// Returns `true` if runs of a kind can make requests of a more urgent kind late.
    pub(super) fn has_long_kinds(&self) -> bool {
        let loads = || self.kinds.values();
        self.is_enabled && loads().any(|load| loads().any(|other| load.is_long_beside(other)))
    }

    /// Returns the kinds that may take no further slot now, because the free ones are left
    /// to more urgent kinds.
    pub(super) fn held_kinds(&self, now: Time, slot_use: SlotUse) -> BTreeSet<&KindId> {
        if !self.is_enabled {
            return BTreeSet::new();
        }
        let kinds = self.kinds.iter();
        kinds
            .filter(|(_, load)| self.is_held(now, load, slot_use))
            .map(|(kind, _)| kind)
            .collect()
    }

    /// Returns the number of slots that a kind leaves to more urgent kinds.
    pub(super) fn left_by(&self, now: Time, kind: &KindId, slots: u32) -> u32 {
        let load = self.kinds.get(kind).filter(|_| self.is_enabled);
        load.map_or(0, |load| self.left_free(now, load, slots))
    }

    /// Returns the measured loads, while slots may be left free.
    pub(super) fn status(&self, now: Time, slots: u32) -> BTreeMap<String, KindSlots> {
        let kinds = self.kinds.iter().filter(|_| self.is_enabled);
        kinds
            .map(|(kind, load)| {
                let status = KindSlots {
                    needed: load.slots(now),
                    mean_run: load.mean_run,
                    running: load.running,
                    left: self.left_free(now, load, slots),
                    age: now - load.last_request_at,
                };
                (kind.to_string(), status)
            })
            .collect()
    }

    /// Returns the mean run time of a kind.
    pub(super) fn mean_run(&self, kind: &KindId) -> Option<Duration> {
        self.kinds.get(kind)?.mean_run
    }

    /// Returns when the load of a kind next ends, so that slots may be used by others.
    pub(super) fn next_idle_at(&self, now: Time) -> Option<Time> {
        let loads = self.kinds.values().filter(|_| self.is_enabled);
        loads.map(KindLoad::idle_at).filter(|at| *at > now).min()
    }

    fn is_held(&self, now: Time, load: &KindLoad, slot_use: SlotUse) -> bool {
        let urgent: u32 = self.urgent_beside(now, load).map(|u| u.running).sum();
        let others = slot_use.running.saturating_sub(urgent);
        let left = self.left_free(now, load, slot_use.slots);
        let free = slot_use.slots.saturating_sub(slot_use.running);
        others >= slot_use.slots.div_ceil(FLOOR_DIVISOR) && free <= left.saturating_sub(urgent)
    }

    /// Returns the number of slots that a kind leaves to more urgent kinds, whether these
    /// use them or not.
    ///
    /// The slots that long runs give back within the wait that an urgent request may have
    /// need not be left free.
    fn left_free(&self, now: Time, load: &KindLoad, slots: u32) -> u32 {
        let latencies = self
            .urgent_beside(now, load)
            .filter_map(|u| u.target_latency);
        let Some((latency, run)) = latencies.min().zip(load.mean_run) else {
            return 0;
        };
        let needed: f64 = self.urgent_beside(now, load).map(|u| u.slots(now)).sum();
        let needed = needed + MARGIN_DEVIATIONS * (needed * BATCH).sqrt();
        let wait = latency / URGENT_WAIT_DIVISOR;
        let returned = wait.as_secs_f64() / run.as_secs_f64();
        let left = (needed - f64::from(slots) * returned) / (1.0 - returned);
        whole_slots(left, slots - slots.div_ceil(FLOOR_DIVISOR))
    }

    /// Returns the more urgent kinds with load that a run of a kind makes late.
    fn urgent_beside(&self, now: Time, load: &KindLoad) -> impl Iterator<Item = &KindLoad> {
        let others = self.kinds.values();
        others.filter(move |u| load.is_long_beside(u) && now < u.idle_at())
    }
}

/// Rounds a number of slots up, to at most `max`.
fn whole_slots(slots: f64, max: u32) -> u32 {
    (0..max).find(|n| f64::from(*n) >= slots).unwrap_or(max)
}

fn mean(mean: Duration, latest: Duration) -> Duration {
    (mean * (SMOOTHING - 1) + latest) / SMOOTHING
}
