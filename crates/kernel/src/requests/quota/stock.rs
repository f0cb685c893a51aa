//! Credits that a node holds from one owner.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::Time;

use super::message::OPEN_TIME;
use super::message::QuotaAnswer;
use super::owners::Owner;

/// Time within which an owner answers unless it is out of reach. A node with a tenth of a
/// core needs some tens of milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which an owner that did not answer is not asked.
const SKIP_TIME: Duration = Duration::from_secs(1);

/// Ask that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    number: u64,
    since: Time,
    held: u32,
    /// Credits used since, less those given back.
    used: u32,
}

/// Credits from one owner.
#[derive(Clone, Debug)]
pub(super) struct Stock {
    pub(super) owner: Owner,
    count: u32,
    ends_at: Time,
    /// Number of the latest ask.
    asked: u64,
    /// Credits of open calls that were taken since the latest ask.
    open: u32,
    /// Times at which credits end that were given back after a later ask.
    returned: VecDeque<Time>,
    pending: Option<PendingAsk>,
    skip_until: Time,
    interval: Option<Duration>,
}

impl Stock {
    /// Creates an empty stock.
    pub(super) const fn new(owner: Owner) -> Self {
        Self {
            owner,
            count: 0,
            ends_at: Time::ZERO,
            asked: 0,
            open: 0,
            returned: VecDeque::new(),
            pending: None,
            skip_until: Time::ZERO,
            interval: None,
        }
    }

    /// Returns the credits that can be used at a time.
    pub(super) fn usable(&self, at: Time) -> u32 {
        let returned = self.returned.iter().filter(|ends_at| at < **ends_at);
        let returned = u32::try_from(returned.count()).unwrap_or(u32::MAX);
        self.lent(at).saturating_add(returned)
    }

    fn lent(&self, at: Time) -> u32 {
        if at < self.ends_at { self.count } else { 0 }
    }

    /// Returns the time at which the credits end.
    pub(super) const fn ends_at(&self) -> Time {
        self.ends_at
    }

    /// Uses one credit, one that was given back if there is any.
    pub(super) fn take(&mut self, now: Time) {
        self.returned.retain(|ends_at| now < *ends_at);
        if self.returned.pop_front().is_some() {
            return;
        }
        self.count -= 1;
        self.open += 1;
        if let Some(ask) = &mut self.pending {
            ask.used += 1;
        }
    }

    /// Returns the number of the latest ask.
    pub(super) const fn asked(&self) -> u64 {
        self.asked
    }

    /// Settles a credit that was taken at `used_at` after the ask `asked`, and takes it back
    /// if its call did not run.
    ///
    /// An ask names the credits of open calls, which the owner then regards as lent for a
    /// short time. After that it may lend them again.
    pub(super) fn settle(&mut self, now: Time, asked: u64, used_at: Time, has_run: bool) {
        let is_latest = asked == self.asked;
        if is_latest {
            self.open = self.open.saturating_sub(1);
        }
        if has_run {
            return;
        }
        if !is_latest {
            let ends_at = used_at + OPEN_TIME;
            if now < ends_at {
                self.returned.push_back(ends_at);
            }
            return;
        }
        self.count += 1;
        if let Some(ask) = &mut self.pending {
            ask.used = ask.used.saturating_sub(1);
        }
    }

    /// Returns `true` if an ask has no answer yet.
    pub(super) const fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the time at which an ask without an answer is given up.
    pub(super) fn timeout(&self) -> Option<Time> {
        self.pending.map(|ask| ask.since + ANSWER_TIMEOUT)
    }

    /// Returns `true` if the owner may be asked.
    pub(super) fn can_ask(&self, now: Time) -> bool {
        now >= self.skip_until && self.pending.is_none()
    }

    /// Records an ask. Returns the credits that the node holds, and those of open calls.
    pub(super) fn ask(&mut self, now: Time, number: u64) -> (u32, u32) {
        let held = self.lent(now);
        let open = std::mem::take(&mut self.open);
        self.asked = number;
        self.pending = Some(PendingAsk {
            number,
            since: now,
            held,
            used: 0,
        });
        (held, open)
    }

    /// Gives up an ask that got no answer in time. Returns `false` if there is none.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let is_late = self.timeout().is_some_and(|at| at <= now);
        if is_late {
            self.pending = None;
            self.interval = None;
            self.skip_until = now + SKIP_TIME;
        }
        is_late
    }

    /// Takes what an owner lends. Returns `false` if the answer is not to the latest ask.
    ///
    /// The credits end one lifetime after the ask, however long the answer took. An owner
    /// that lends fewer than the node holds does not know of them, and they stay.
    pub(super) fn accept(&mut self, answer: &QuotaAnswer, lifetime: Duration) -> bool {
        let Some(ask) = self.pending.take_if(|ask| ask.number == answer.number) else {
            return false;
        };
        self.interval = answer.interval;
        self.skip_until = Time::ZERO;
        if answer.lent >= ask.held {
            self.count = answer.lent.saturating_sub(ask.used);
            self.ends_at = ask.since + lifetime;
        }
        true
    }

    /// Returns the time in which the owner expects to lend one more credit.
    pub(super) const fn interval(&self) -> Option<Duration> {
        self.interval
    }
}
