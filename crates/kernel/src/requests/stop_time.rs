//! Time that is left to a process that was told to stop.
//!
//! Load pattern: nodes that are stopped while their callers have no other node, because
//! most of the zone stops as well. A node then serves what can be answered before the
//! platform kills it, and refuses the rest at once.

use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Time;
use derive_more::Display;

use super::longest_times::LongestTimes;

/// Result of a comparison with the time left.
pub(super) type Result<T> = std::result::Result<T, Shortfall>;

/// Divisor of the grace period: the part before its end in which answers are written.
const ANSWER_RESERVE_DIVISOR: u32 = 40;
/// Usual time from the end of a process until the next one of its node serves.
const RESTART_TIME: Duration = Duration::from_millis(700);

/// End of a process that was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StopTime {
    /// When the platform kills the process.
    killed_at: Time,
    /// When the requests that are still open are answered.
    answers_at: Time,
    /// Time for writing the last answers.
    answer_reserve: Duration,
    /// Whether the callers that still come have no other node.
    are_callers_bound: bool,
}

/// What an expected time is derived from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExpectedFrom {
    /// Times of earlier requests of the kind.
    #[display("earlier requests")]
    EarlierRequests,
    /// The time left until the deadline, because no request of the kind was seen or all
    /// may take longer.
    #[display("the deadline")]
    Deadline,
}

/// A request that can't be answered before the platform kills the process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{left:?} left, {expected:?} expected by {from}")]
pub struct Shortfall {
    /// Time left until the last answers are written.
    pub left: Duration,
    /// Time that the request is expected to take at most.
    pub expected: Duration,
    /// What the expected time is derived from.
    pub from: ExpectedFrom,
}

impl StopTime {
    /// Returns the end of a process that was told to stop now.
    pub(super) fn new(now: Time, grace: Duration) -> Self {
        let answer_reserve = grace / ANSWER_RESERVE_DIVISOR;
        Self {
            killed_at: now + grace,
            answers_at: now + grace.saturating_sub(answer_reserve),
            answer_reserve,
            are_callers_bound: false,
        }
    }

    /// Returns when the requests that are still open are answered.
    pub(super) const fn answers_at(&self) -> Time {
        self.answers_at
    }

    /// Records whether the platform would have sent the callers elsewhere by now if there
    /// was another node for them.
    pub(super) const fn set_callers_bound(&mut self, are_bound: bool) {
        self.are_callers_bound = are_bound;
    }

    /// Returns when the next process serves, as the delay after which a refused caller may
    /// retry; `None` if the caller may find another node before.
    pub(super) fn retry_after(&self, now: Time) -> Option<Duration> {
        let delay = self.killed_at - now + RESTART_TIME;
        self.are_callers_bound.then_some(delay)
    }

    /// Compares the time left with the time that a request may take: until its deadline, or
    /// as long as earlier requests of its kind took at most, and then `transfer` for the
    /// answer's way over the link. Returns the time for which it may wait beyond that;
    /// `None` if its deadline ends it in time.
    ///
    /// # Errors
    ///
    /// Fails if the request may take longer than the time left.
    pub(super) fn spare_time(
        &self,
        now: Time,
        times: &LongestTimes,
        kind: &KindId,
        deadline: Time,
        transfer: Duration,
    ) -> Result<Option<Duration>> {
        let left = self.answers_at - now;
        let until_deadline = deadline - now;
        let ends_before = |time: Duration| time + transfer + self.answer_reserve <= left;
        if ends_before(until_deadline) {
            return Ok(None);
        }
        let seen = times.upper(kind).filter(|upper| *upper < until_deadline);
        let (expected, from) = match seen {
            Some(upper) => (upper, ExpectedFrom::EarlierRequests),
            None => (until_deadline, ExpectedFrom::Deadline),
        };
        let expected = expected + transfer;
        match left.checked_sub(expected + self.answer_reserve) {
            Some(spare) => Ok(Some(spare)),
            None => Err(Shortfall {
                left,
                expected,
                from,
            }),
        }
    }
}
