//! Rate limit for a target in cold start.
//!
//! Load pattern: targets restart, alone or a whole zone at once, while their callers go
//! on with the full load. A cold target fails under more than its rate, and each failure
//! starts its cold start anew.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::ColdStart;
use celeryshore_model::Time;

use crate::Health;
use crate::Phase;

/// Sliding window in which the requests to a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Number of slices over which the requests of a window are spread evenly, so that urgent
/// requests soon find capacity and the target doesn't get the requests of a whole window
/// at once.
const SLICES: usize = 4;
/// Length of a slice.
const SLICE: Duration = Duration::from_millis(250);
/// Initial interval between health checks of a target in an unknown state. A process
/// takes longer than this to start.
const MIN_HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum interval between health checks of a target that stays down.
const MAX_HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// State of the target, as far as this node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetState {
    /// It may have restarted. It counts as cold until a health check.
    Unknown,
    /// It is in cold start until this time.
    Cold(Time),
    /// It takes its full load.
    Warm,
    /// It accepts no connections.
    Down,
}

/// Rate limiter of a target, with the times of its latest requests.
#[derive(Debug)]
pub(super) struct Pacer {
    /// Maximum number of requests in a window to a cold target.
    max_per_window: usize,
    cold_duration: Duration,
    state: TargetState,
    /// Times of the requests in the current window.
    sent: VecDeque<Time>,
    health_check_at: Option<Time>,
    is_checking_health: bool,
    health_check_interval: Duration,
}

impl Pacer {
    /// Creates the pacer of a process that starts now.
    ///
    /// The previous incarnation of the process may have sent as many requests as the
    /// rate allows until now. The pacer counts them as sent, one part in each slice, so
    /// they leave the window slice by slice.
    pub(super) fn new(now: Time, cold: ColdStart, allowed: usize) -> Self {
        let per_slice = allowed.div_ceil(SLICES);
        let slices_ago = (0..allowed).rev().map(|n| n / per_slice);
        let sent = slices_ago
            .map(|slices| slices_before(now, slices))
            .collect();
        Self {
            max_per_window: allowed,
            cold_duration: cold.duration,
            state: TargetState::Unknown,
            sent,
            health_check_at: Some(now),
            is_checking_health: false,
            health_check_interval: MIN_HEALTH_CHECK_INTERVAL,
        }
    }

    /// Applies a changed rate.
    pub(super) fn configure(&mut self, cold: ColdStart, allowed: usize) {
        self.cold_duration = cold.duration;
        self.max_per_window = allowed;
    }

    pub(super) fn phase(&self, now: Time) -> Phase {
        match self.state {
            TargetState::Cold(until) if until <= now => Phase::Warm,
            TargetState::Unknown | TargetState::Cold(_) => Phase::Cold,
            TargetState::Warm => Phase::Warm,
            TargetState::Down => Phase::Down,
        }
    }

    /// Returns `true` if the target may get one more request now.
    pub(super) fn admits(&self, now: Time) -> bool {
        match self.state {
            TargetState::Warm => true,
            TargetState::Cold(until) if until <= now => true,
            TargetState::Cold(_) | TargetState::Unknown => {
                self.sent_within(now, WINDOW) < self.max_per_window
                    && self.sent_within(now, SLICE) < self.max_per_slice()
            }
            TargetState::Down => false,
        }
    }

    /// Returns when a cold target may get its next request, if that isn't now.
    pub(super) fn next_at(&self, now: Time) -> Option<Time> {
        match self.state {
            TargetState::Warm | TargetState::Down => None,
            TargetState::Cold(until) if until <= now => None,
            TargetState::Cold(_) | TargetState::Unknown => {
                let window = self.below_at(self.max_per_window, WINDOW);
                let slice = self.below_at(self.max_per_slice(), SLICE);
                let at = [window, slice];
                at.into_iter().flatten().max().filter(|at| *at > now)
            }
        }
    }

    /// Returns the expected wait of a request with `ahead` others before it.
    pub(super) fn wait(&self, now: Time, ahead: usize) -> Duration {
        if matches!(self.state, TargetState::Warm) || self.admits(now) {
            return Duration::ZERO;
        }
        let next = self.next_at(now).map_or(SLICE, |at| at - now);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let rate = u32::try_from(self.max_per_window).unwrap_or(u32::MAX);
        next + WINDOW.saturating_mul(ahead) / rate
    }

    /// Records that a request is sent to the target.
    pub(super) fn record_sent(&mut self, now: Time) {
        while self.sent.front().is_some_and(|at| now - *at > WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Records the remaining cold start time that the target reports through the
    /// platform. These reports lag, so a report that the target is warm doesn't resolve
    /// an unknown state.
    pub(super) fn report_cold_start(&mut self, now: Time, cold_for: Duration) {
        if !cold_for.is_zero() && self.state != TargetState::Down {
            self.state = self.later_cold_end(now + cold_for);
        }
    }

    /// Records a sign that the target may have restarted. A health check that is already
    /// in progress resolves this unknown state too.
    pub(super) fn mark_unknown(&mut self, now: Time) {
        if self.state == TargetState::Down {
            return;
        }
        self.state = TargetState::Unknown;
        if !self.is_checking_health {
            self.health_check_at.get_or_insert(now);
        }
    }

    /// Discards what is known of the target, also that it was down: it has a new
    /// incarnation, or is back in service.
    pub(super) fn reset(&mut self, now: Time) {
        self.state = TargetState::Unknown;
        self.health_check_interval = MIN_HEALTH_CHECK_INTERVAL;
        self.health_check_at = Some(now);
    }

    /// Records that the target accepts no connections.
    pub(super) fn mark_down(&mut self, now: Time) {
        if self.state != TargetState::Down {
            self.state = TargetState::Down;
            self.health_check_interval = MIN_HEALTH_CHECK_INTERVAL;
            self.health_check_at = Some(now + self.health_check_interval);
        }
    }

    /// Records the result of a health check.
    pub(super) fn record_health(&mut self, now: Time, health: Health) {
        self.health_check_at = None;
        self.is_checking_health = false;
        self.health_check_interval = match health {
            Health::Good { .. } => MIN_HEALTH_CHECK_INTERVAL,
            Health::Bad | Health::Unreachable => {
                (self.health_check_interval * 2).min(MAX_HEALTH_CHECK_INTERVAL)
            }
        };
        self.state = match health {
            Health::Good { cold_for } if cold_for.is_zero() => TargetState::Warm,
            Health::Good { cold_for } => TargetState::Cold(now + cold_for),
            Health::Bad if self.state == TargetState::Down => TargetState::Unknown,
            Health::Bad => self.state,
            Health::Unreachable => TargetState::Down,
        };
        if matches!(self.state, TargetState::Unknown | TargetState::Down) {
            self.health_check_at = Some(now + self.health_check_interval);
        }
    }

    /// Returns when the next health check is due.
    pub(super) const fn health_check_at(&self) -> Option<Time> {
        self.health_check_at
    }

    /// Records that a health check is in progress.
    pub(super) const fn begin_health_check(&mut self) {
        self.health_check_at = None;
        self.is_checking_health = true;
    }

    /// Delays the next health check, because there is no target to check.
    pub(super) fn postpone_health_check(&mut self, now: Time) {
        self.is_checking_health = false;
        self.health_check_at = Some(now + MAX_HEALTH_CHECK_INTERVAL);
    }

    fn later_cold_end(&self, until: Time) -> TargetState {
        match self.state {
            TargetState::Cold(known) => TargetState::Cold(known.max(until)),
            TargetState::Unknown | TargetState::Warm | TargetState::Down => {
                TargetState::Cold(until)
            }
        }
    }

    fn max_per_slice(&self) -> usize {
        self.max_per_window.div_ceil(SLICES)
    }

    fn sent_within(&self, now: Time, span: Duration) -> usize {
        self.sent.iter().filter(|at| now - **at <= span).count()
    }

    /// Returns the time from which the preceding `span` holds fewer than `max` requests.
    fn below_at(&self, max: usize, span: Duration) -> Option<Time> {
        let oldest = self.sent.len().checked_sub(max)?;
        self.sent.get(oldest).map(|at| *at + span)
    }
}

/// Returns the time that lies `slices` slices before `now`.
fn slices_before(now: Time, slices: usize) -> Time {
    let slices = u32::try_from(slices).unwrap_or(u32::MAX);
    let micros = SLICE.saturating_mul(slices).as_micros();
    Time::from_micros(
        now.as_micros()
            .saturating_sub(u64::try_from(micros).unwrap_or(u64::MAX)),
    )
}
