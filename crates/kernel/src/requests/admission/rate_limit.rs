//! Rate limit that the target states in its responses.
//!
//! Load pattern: a target in need lowers the rate that it takes, while all forwarding
//! nodes go on with the full load and callers come back. Every request to the target
//! passes this node, so one limiter bounds the sum over all forwarding nodes.

use std::cmp::Ordering;
use std::time::Duration;

use celeryshore_model::Rate;
use celeryshore_model::Time;

use crate::StatedRate;

/// Time after the latest statement of a limit in which no response raises or lifts it.
/// Responses on several connections are read out of order, and some lack the field.
const HOLD_TIME: Duration = Duration::from_secs(1);
/// Longest interval between two requests. Only a response can show that a limit of zero,
/// or of nearly zero, was lifted.
const MAX_INTERVAL: Duration = Duration::from_secs(4);
/// Span of the limit whose requests may be sent at once after a pause.
const BURST_SPAN: Duration = Duration::from_millis(250);

/// Change of the limit that a response causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RateChange {
    /// Nothing changes.
    None,
    /// The limit now has this rate.
    Limited(Rate),
    /// There is no limit any more.
    Lifted,
    /// The stated limit can't be read; the one before it stays.
    Unreadable,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: Rate,
    /// Time of the latest response that stated this rate or a lower one.
    stated_at: Time,
}

/// Limiter that spreads requests evenly over time, by the generic cell rate algorithm.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    limit: Option<Limit>,
    /// Time at which the next request is due if all are spread evenly. Requests may run
    /// ahead of it by [`burst_tolerance`].
    due: Time,
}

impl RateLimit {
    /// Returns the rate, if there is a limit.
    pub(super) fn get(&self) -> Option<Rate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Forgets the limit, because it was stated by another incarnation of the target.
    pub(super) fn clear(&mut self) {
        self.limit = None;
    }

    /// Records what a response states.
    pub(super) fn observe(&mut self, now: Time, stated: StatedRate) -> RateChange {
        let Some(limit) = &mut self.limit else {
            return match stated {
                StatedRate::Limit(rate) => {
                    self.set(now, rate, now);
                    RateChange::Limited(rate)
                }
                StatedRate::Unreadable => RateChange::Unreadable,
                StatedRate::Absent => RateChange::None,
            };
        };
        let is_held = now - limit.stated_at < HOLD_TIME;
        match stated {
            StatedRate::Limit(rate) if rate > limit.rate && is_held => RateChange::None,
            StatedRate::Limit(rate) => {
                let is_changed = rate != limit.rate;
                limit.stated_at = now;
                limit.rate = rate;
                self.due = self.due.min(latest_due(now, rate));
                if is_changed {
                    RateChange::Limited(rate)
                } else {
                    RateChange::None
                }
            }
            StatedRate::Unreadable => {
                limit.stated_at = now;
                RateChange::Unreadable
            }
            StatedRate::Absent if is_held => RateChange::None,
            StatedRate::Absent => {
                self.limit = None;
                RateChange::Lifted
            }
        }
    }

    /// Takes over a limit that another node knows from the target's responses. Returns
    /// `true` if it replaces the one that is known here.
    ///
    /// The later limit counts, and the lower one of those that were stated before this
    /// process started, whose order its clock can't tell.
    pub(super) fn adopt(&mut self, now: Time, rate: Rate, stated_at: Time) -> bool {
        let is_adopted = self
            .limit
            .is_none_or(|known| match stated_at.cmp(&known.stated_at) {
                Ordering::Less => false,
                Ordering::Equal => rate < known.rate,
                Ordering::Greater => rate != known.rate,
            });
        if is_adopted {
            self.set(now, rate, stated_at);
        }
        is_adopted
    }

    /// Sets a limit. The target may just have got requests beyond it, so the next one
    /// waits for a whole interval.
    fn set(&mut self, now: Time, rate: Rate, stated_at: Time) {
        self.limit = Some(Limit { rate, stated_at });
        self.due = latest_due(now, rate);
    }

    /// Returns `true` if the target may get one more request now.
    pub(super) fn admits(&self, now: Time) -> bool {
        self.next_at().is_none_or(|at| at <= now)
    }

    /// Records that a request is sent to the target.
    pub(super) fn record_sent(&mut self, now: Time) {
        if let Some(limit) = self.limit {
            self.due = self.due.max(now) + interval(limit.rate);
        }
    }

    /// Returns when the target may get its next request, if there is a limit.
    pub(super) fn next_at(&self) -> Option<Time> {
        let limit = self.limit?;
        let earliest = self.due - Time::ZERO;
        Some(Time::ZERO + earliest.saturating_sub(burst_tolerance(limit.rate)))
    }

    /// Returns how long the limit delays a request that has `ahead` others before it.
    pub(super) fn wait(&self, now: Time, ahead: usize) -> Duration {
        let Some(limit) = self.limit else {
            return Duration::ZERO;
        };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let next = self.next_at().unwrap_or(now);
        let last = next + interval(limit.rate).saturating_mul(ahead);
        last - now
    }
}

/// Returns the time between two requests at this rate.
fn interval(rate: Rate) -> Duration {
    let interval = rate.interval().unwrap_or(MAX_INTERVAL);
    interval.min(MAX_INTERVAL)
}

/// Returns how far requests may run ahead of an even spread.
fn burst_tolerance(rate: Rate) -> Duration {
    BURST_SPAN.saturating_sub(interval(rate))
}

/// Returns the time at which a request is due if the next one has to wait for a whole
/// interval.
fn latest_due(now: Time, rate: Rate) -> Time {
    now + interval(rate) + burst_tolerance(rate)
}
