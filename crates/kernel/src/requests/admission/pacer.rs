//! Pace of requests to a target that bears a rate while it is in cold start.
//!
//! Load pattern: targets that restart, alone or a whole zone together, while the
//! full load of their callers goes on. A cold target falls over under more than
//! its rate, and every fall begins its cold start anew.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::ColdStart;
use celeryshore_model::Time;

use crate::Health;
use crate::Phase;

/// Span in which the requests to a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Parts of the window over which the requests are spread, so that urgent ones
/// soon find room and the target is not given all of them at once.
const PARTS: usize = 4;
/// Length of a part.
const PART: Duration = Duration::from_millis(250);
/// Time between two examinations of a target of which nothing certain is known.
/// A process takes longer than this to start.
const EXAMINE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two examinations of a target that stays down.
const MAX_EXAMINE_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It may have started again; it counts as cold until it was examined.
    Unsure,
    /// It is in cold start until this time.
    Cold(Time),
    /// It bears its full load.
    Warm,
    /// It accepts no connection.
    Down,
}

/// Requests that a target in cold start got lately.
#[derive(Debug)]
pub(super) struct Pacer {
    allowed: usize,
    span: Duration,
    standing: Standing,
    /// Times of the requests within the latest window.
    sent: VecDeque<Time>,
    examine_at: Option<Time>,
    is_examining: bool,
    interval: Duration,
}

impl Pacer {
    /// Makes the pacer of a process that starts now.
    ///
    /// An earlier life of the process may have sent as much as the pace allows
    /// until this moment; in each part of the next window that much runs out.
    pub(super) fn new(now: Time, cold: ColdStart, allowed: usize) -> Self {
        let in_part = allowed.div_ceil(PARTS);
        let parts_ago = (0..allowed).rev().map(|n| n / in_part);
        let sent = parts_ago.map(|parts| before(now, parts)).collect();
        Self {
            allowed,
            span: cold.duration,
            standing: Standing::Unsure,
            sent,
            examine_at: Some(now),
            is_examining: false,
            interval: EXAMINE_INTERVAL,
        }
    }

    /// Takes a changed bound.
    pub(super) fn configure(&mut self, cold: ColdStart, allowed: usize) {
        self.span = cold.duration;
        self.allowed = allowed;
    }

    /// Returns the phase of the target.
    pub(super) fn phase(&self, now: Time) -> Phase {
        match self.standing {
            Standing::Cold(until) if until <= now => Phase::Warm,
            Standing::Unsure | Standing::Cold(_) => Phase::Cold,
            Standing::Warm => Phase::Warm,
            Standing::Down => Phase::Down,
        }
    }

    /// Tells whether the target may get one more request now.
    pub(super) fn admits(&self, now: Time) -> bool {
        match self.standing {
            Standing::Warm => true,
            Standing::Cold(until) if until <= now => true,
            Standing::Cold(_) | Standing::Unsure => {
                self.sent_within(now, WINDOW) < self.allowed
                    && self.sent_within(now, PART) < self.allowed_in_part()
            }
            Standing::Down => false,
        }
    }

    /// Returns when a target that is paced may get its next request.
    pub(super) fn next_at(&self, now: Time) -> Option<Time> {
        match self.standing {
            Standing::Warm | Standing::Down => None,
            Standing::Cold(until) if until <= now => None,
            Standing::Cold(_) | Standing::Unsure => {
                let whole = self.frees_at(self.allowed, WINDOW);
                let part = self.frees_at(self.allowed_in_part(), PART);
                let at = [whole, part];
                at.into_iter().flatten().max().filter(|at| *at > now)
            }
        }
    }

    /// Returns the time until a paced target has had `ahead` more requests.
    pub(super) fn wait(&self, now: Time, ahead: usize) -> Duration {
        if matches!(self.standing, Standing::Warm) || self.admits(now) {
            return Duration::ZERO;
        }
        let next = self.next_at(now).map_or(PART, |at| at - now);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let allowed = u32::try_from(self.allowed).unwrap_or(u32::MAX);
        next + WINDOW.saturating_mul(ahead) / allowed
    }

    /// Notes that the target gets a request.
    pub(super) fn sent(&mut self, now: Time) {
        while self.sent.front().is_some_and(|at| now - *at > WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Takes the time for which the target says, by way of the platform, that it
    /// stays cold. Statements lag, so one of warmth does not end a doubt.
    pub(super) fn told(&mut self, now: Time, cold_for: Duration) {
        if !cold_for.is_zero() && self.standing != Standing::Down {
            self.standing = self.colder(now + cold_for);
        }
    }

    /// Notes a sign that the target may have started again. The examination that
    /// is under way, if one is, settles this doubt too.
    pub(super) fn doubt(&mut self, now: Time) {
        if self.standing == Standing::Down {
            return;
        }
        self.standing = Standing::Unsure;
        if !self.is_examining {
            self.examine_at.get_or_insert(now);
        }
    }

    /// Begins with another life of the target, or with one back in service:
    /// nothing holds that was known before, also not that it was down.
    pub(super) fn reset(&mut self, now: Time) {
        self.standing = Standing::Unsure;
        self.interval = EXAMINE_INTERVAL;
        self.examine_at = Some(now);
    }

    /// Notes that the target accepts no connection.
    pub(super) fn refused(&mut self, now: Time) {
        if self.standing != Standing::Down {
            self.standing = Standing::Down;
            self.interval = EXAMINE_INTERVAL;
            self.examine_at = Some(now + self.interval);
        }
    }

    /// Takes what an examination of the target showed.
    pub(super) fn examined(&mut self, now: Time, health: Health) {
        self.examine_at = None;
        self.is_examining = false;
        self.interval = match health {
            Health::Good { .. } => EXAMINE_INTERVAL,
            Health::Bad | Health::Unreachable => (self.interval * 2).min(MAX_EXAMINE_INTERVAL),
        };
        self.standing = match health {
            Health::Good { cold_for } if cold_for.is_zero() => Standing::Warm,
            Health::Good { cold_for } => Standing::Cold(now + cold_for),
            Health::Bad if self.standing == Standing::Down => Standing::Unsure,
            Health::Bad => self.standing,
            Health::Unreachable => Standing::Down,
        };
        if matches!(self.standing, Standing::Unsure | Standing::Down) {
            self.examine_at = Some(now + self.interval);
        }
    }

    /// Returns when the target is to be examined.
    pub(super) const fn examine_at(&self) -> Option<Time> {
        self.examine_at
    }

    /// Notes that an examination is under way.
    pub(super) const fn begin_examination(&mut self) {
        self.examine_at = None;
        self.is_examining = true;
    }

    /// Notes that there is no target to examine at present.
    pub(super) fn postpone_examination(&mut self, now: Time) {
        self.is_examining = false;
        self.examine_at = Some(now + MAX_EXAMINE_INTERVAL);
    }

    fn colder(&self, until: Time) -> Standing {
        match self.standing {
            Standing::Cold(known) => Standing::Cold(known.max(until)),
            Standing::Unsure | Standing::Warm | Standing::Down => Standing::Cold(until),
        }
    }

    fn allowed_in_part(&self) -> usize {
        self.allowed.div_ceil(PARTS)
    }

    fn sent_within(&self, now: Time, span: Duration) -> usize {
        self.sent.iter().filter(|at| now - **at <= span).count()
    }

    /// Returns when fewer than `most` requests lie within a span.
    fn frees_at(&self, most: usize, span: Duration) -> Option<Time> {
        let oldest = self.sent.len().checked_sub(most)?;
        self.sent.get(oldest).map(|at| *at + span)
    }
}

/// Returns the time that lies some parts of the window before another.
fn before(now: Time, parts: usize) -> Time {
    let parts = u32::try_from(parts).unwrap_or(u32::MAX);
    let micros = PART.saturating_mul(parts).as_micros();
    Time::from_micros(
        now.as_micros()
            .saturating_sub(u64::try_from(micros).unwrap_or(u64::MAX)),
    )
}
