//! Longest times by request kind, from which follows whether a request can still end in time.
//!
//! Load pattern: nodes that are stopped one after the other, with targets that take many
//! times as long for a few requests. The mean says nothing of these, so the longest time
//! that was seen counts, with a reserve that is larger the more they differ and the fewer
//! were seen. A node that has just started has seen few, so nodes tell each other their
//! longest runs on replies.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Time;

/// Period over which the longest time is kept. A time counts in this period and the next.
const PERIOD: Duration = Duration::from_secs(30);
/// Maximum number of kinds whose times are kept.
const MAX_KINDS: usize = 4_096;
/// Reserve over the longest time, as an inverse share of it.
const RESERVE_DIVISOR: u32 = 4;
/// Further reserve, as a multiple of the span of the times, divided by their number.
const FEW_SEEN_RESERVE: u32 = 24;
/// Number of times from which they say how long a request may take.
const MIN_COUNT: u32 = 4;

/// Longest and shortest of some times, and their number.
#[derive(Clone, Copy, Debug, Default)]
struct Span {
    longest: Duration,
    shortest: Duration,
    count: u32,
}

impl Span {
    fn record(&mut self, time: Duration) {
        self.longest = self.longest.max(time);
        self.shortest = if self.count == 0 {
            time
        } else {
            self.shortest.min(time)
        };
        self.count = self.count.saturating_add(1);
    }

    /// Returns the span of the times of both.
    fn with(self, other: Self) -> Self {
        let spans = [self, other].into_iter().filter(|span| span.count > 0);
        Self {
            longest: self.longest.max(other.longest),
            shortest: spans.map(|span| span.shortest).min().unwrap_or_default(),
            count: self.count.saturating_add(other.count),
        }
    }
}

#[derive(Debug)]
struct KindTimes {
    period_start: Time,
    in_period: Span,
    in_previous_period: Span,
}

impl KindTimes {
    fn record(&mut self, now: Time, time: Duration) {
        let elapsed = now - self.period_start;
        if elapsed >= PERIOD {
            let is_next = elapsed < PERIOD * 2;
            self.in_previous_period = Some(self.in_period).filter(|_| is_next).unwrap_or_default();
            self.in_period = Span::default();
            self.period_start = now;
        }
        self.in_period.record(time);
    }

    fn span(&self) -> Span {
        self.in_period.with(self.in_previous_period)
    }

    /// Returns the longest time with its reserve; `None` if too few were seen.
    fn upper(&self) -> Option<Duration> {
        let Span {
            longest,
            shortest,
            count,
        } = self.span();
        let span = longest.saturating_sub(shortest);
        let upper = longest + longest / RESERVE_DIVISOR + span * FEW_SEEN_RESERVE / count.max(1);
        (count >= MIN_COUNT).then_some(upper)
    }
}

/// Longest times by request kind.
#[derive(Debug, Default)]
pub(super) struct LongestTimes {
    kinds: BTreeMap<KindId, KindTimes>,
}

impl LongestTimes {
    /// Records the time that a request took, or took at least.
    pub(super) fn record(&mut self, now: Time, kind: &KindId, time: Duration) {
        if let Some(times) = self.kinds.get_mut(kind) {
            times.record(now, time);
        } else if self.kinds.len() < MAX_KINDS {
            let mut times = KindTimes {
                period_start: now,
                in_period: Span::default(),
                in_previous_period: Span::default(),
            };
            times.record(now, time);
            self.kinds.insert(kind.clone(), times);
        }
    }

    /// Records the longest time that another node has seen. It raises that of a kind that was
    /// seen here, but doesn't count as a further time.
    pub(super) fn raise(&mut self, kind: &KindId, time: Duration) {
        if let Some(times) = self.kinds.get_mut(kind) {
            times.in_period.longest = times.in_period.longest.max(time);
        }
    }

    /// Returns the longest time of a kind; `None` if none was seen.
    pub(super) fn longest(&self, kind: &KindId) -> Option<Duration> {
        self.kinds.get(kind).map(|times| times.span().longest)
    }

    /// Returns the time that a request of a kind takes at most, as far as can be told;
    /// `None` if too few were seen.
    pub(super) fn upper(&self, kind: &KindId) -> Option<Duration> {
        self.kinds.get(kind)?.upper()
    }
}
