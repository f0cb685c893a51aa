//! Slots that the scheduler leaves to urgent kinds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Time;

use super::Scheduler;
use crate::requests::admission::decision::SlotLimits;
use crate::requests::admission::shares::KindShare;
use crate::requests::admission::urgent_slots::KindSlots;
use crate::requests::admission::urgent_slots::SlotUse;

impl Scheduler {
    /// Sets whether long runs leave slots to more urgent kinds.
    pub(in super::super) const fn set_urgent_slots(&mut self, is_enabled: bool) {
        self.urgent_slots.set_enabled(is_enabled);
    }

    /// Returns `true` if runs of a kind can make requests of a more urgent kind late.
    pub(in super::super) fn has_long_kinds(&self) -> bool {
        self.urgent_slots.has_long_kinds()
    }

    /// Returns the kinds that may take no further slot now.
    pub(super) fn held_kinds(&self, now: Time) -> BTreeSet<&KindId> {
        self.urgent_slots.held_kinds(now, self.slot_use())
    }

    pub(super) fn slot_use(&self) -> SlotUse {
        SlotUse {
            slots: self.limiter.get(),
            running: self.running(),
        }
    }

    /// Returns what limits the starts of a kind beside the number of slots.
    pub(in super::super) fn slot_limits(&self, now: Time, kind: &KindId) -> SlotLimits {
        SlotLimits {
            is_held: self.admits(now) && self.held_kinds(now).contains(kind),
            is_due: self.shares.guaranteed_starts(kind, false) > 0,
            is_order_limited: self.shares.is_order_limited(now, kind),
        }
    }

    /// Returns the credit of each kind for starts regardless of rank.
    pub(in super::super) fn kind_shares(&self, now: Time) -> BTreeMap<String, KindShare> {
        self.shares.status(now)
    }

    /// Returns the measured load of each kind, and the slots that it leaves free.
    pub(in super::super) fn kind_slots(&self, now: Time) -> BTreeMap<String, KindSlots> {
        self.urgent_slots.status(now, self.limiter.get())
    }

    /// Returns when queued requests may get slots because an urgent load has ended.
    pub(super) fn next_release_at(&self, now: Time) -> Option<Time> {
        let is_holding = !self.queue.is_empty() && !self.held_kinds(now).is_empty();
        is_holding.then(|| self.urgent_slots.next_idle_at(now))?
    }

    /// Returns the expected wait of a kind at a position in the queue. A kind that leaves
    /// slots to others waits for its own runs to end.
    pub(super) fn expected_wait_of(&self, now: Time, kind: &KindId, position: usize) -> Duration {
        let wait = self.expected_wait(now, position);
        let slots = self.limiter.get();
        let left = self.urgent_slots.left_by(now, kind, slots);
        if left == 0 {
            return wait;
        }
        let run = self.urgent_slots.mean_run(kind).unwrap_or_default();
        let rounds = u32::try_from(position)
            .unwrap_or(u32::MAX)
            .saturating_add(1);
        wait.max(run.saturating_mul(rounds) / (slots - left).max(1))
    }
}
