//! Part of a workspace's quota, at its owner.
//!
//! Load pattern: a workspace far above its quota, at many nodes. Each ask gets at most half
//! of what the bucket holds, so that the first node to ask doesn't take it all.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::Rate;
use celeryshore_model::Time;
use celeryshore_model::VmName;

use super::budget::Budget;
use super::credits::Credits;
use super::message::OPEN_TIME;
use super::message::QuotaAnswer;
use super::message::QuotaAsk;
use super::peak::Peak;

/// Interval that is stated if the part has no rate.
const MAX_INTERVAL: Duration = Duration::from_mins(1);

/// Credits that a node holds.
#[derive(Clone, Copy, Debug)]
struct Loan {
    count: u64,
    since: Time,
    /// Number of the ask.
    number: u64,
    /// Whether the node got fewer than it wanted.
    is_short: bool,
}

/// Credits that an earlier incarnation of the owner may have lent.
#[derive(Clone, Copy, Debug)]
struct FormerLoans {
    count: Credits,
    ends_at: Time,
}

/// Bucket of an owner, and the loans from it.
///
/// The credits in the bucket and those lent never exceed the depth of the part together,
/// so no more than the depth and what fills the bucket can be used in a window.
#[derive(Clone, Debug)]
pub(super) struct Part {
    budget: Budget,
    level: Credits,
    /// Time up to which `level` is filled; later than now before the part takes effect.
    filled_at: Time,
    /// Credits in the bucket and lent from it, over the last window.
    peak: Peak,
    loans: BTreeMap<VmName, Loan>,
    /// Credits of open calls, with the times at which they end.
    open: VecDeque<(Time, u64)>,
    /// Absent unless the process has restarted.
    former: Option<FormerLoans>,
    lent_total: u64,
}

/// What an owner lends to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Lent {
    /// Number of credits that the node may hold now.
    pub(super) count: u32,
    /// Time in which it can expect another credit, if it got fewer than it wanted.
    pub(super) interval: Option<Duration>,
}

impl Lent {
    /// Returns the answer to an ask.
    pub(super) fn answer(self, ask: &QuotaAsk) -> QuotaAnswer {
        QuotaAnswer {
            workspace: ask.workspace.clone(),
            number: ask.number,
            lent: self.count,
            interval: self.interval,
        }
    }
}

impl Part {
    /// Creates an empty bucket that fills from `start` on. `budget` is that of the part.
    ///
    /// As the bucket of an earlier owner may have been full, this one fills as slowly as a
    /// full one at first.
    pub(super) fn new(start: Time, budget: Budget) -> Self {
        Self {
            budget,
            level: Credits::default(),
            filled_at: start,
            peak: Peak::new(budget.window, start, budget.depth),
            loans: BTreeMap::new(),
            open: VecDeque::new(),
            former: None,
            lent_total: 0,
        }
    }

    /// Creates the bucket of a process that started at `started` and may have had an earlier
    /// incarnation.
    ///
    /// What that one lent stays usable for the lifetime of its credits, and for the time in
    /// which refused calls give credits back. It counts as lent for as long.
    pub(super) fn after_restart(now: Time, started: Time, budget: Budget) -> Self {
        let former = FormerLoans {
            count: budget.depth,
            ends_at: started + budget.lifetime + OPEN_TIME,
        };
        Self {
            former: Some(former),
            ..Self::new(now, budget)
        }
    }

    /// Applies a changed quota or a changed share of it.
    pub(super) fn set_budget(&mut self, now: Time, budget: Budget) {
        self.fill(now);
        self.budget = budget;
        self.level = self.level.min(budget.depth.minus(self.outstanding()));
        let former = self.former.filter(|f| now <= f.ends_at + budget.window);
        let former = former.map_or(Credits::default(), |f| f.count);
        self.peak.cap(budget.depth.plus(former));
    }

    /// Returns the rate at which the bucket fills.
    pub(super) fn rate(&self, now: Time) -> Rate {
        self.budget.fill_rate(self.peak.get(now))
    }

    /// Returns the credits that can be lent.
    pub(super) const fn level(&self) -> Credits {
        self.level
    }

    /// Returns the number of nodes that hold credits or wait for some.
    pub(super) fn borrowers(&self) -> usize {
        self.loans.len()
    }

    /// Returns the number of credits lent since the part was taken, without renewals.
    pub(super) const fn lent_total(&self) -> u64 {
        self.lent_total
    }

    /// Lends credits, and renews those that the node holds. Returns `None` for an ask that
    /// was overtaken by a later one.
    pub(super) fn lend(&mut self, now: Time, ask: &QuotaAsk) -> Option<Lent> {
        self.fill(now);
        let loan = self.loans.get(&ask.vm);
        if loan.is_some_and(|loan| loan.number >= ask.number) {
            return None;
        }
        let opened = loan.map_or(0, |loan| loan.count.min(ask.open.into()));
        if opened > 0 {
            self.open.push_back((now + OPEN_TIME, opened));
        }
        let renewed = loan.map_or(0, |loan| loan.count.min(ask.held.into()));
        let free = self.level.whole();
        let missing = u64::from(ask.wanted).saturating_sub(renewed);
        let added = missing.min(free.div_ceil(2));
        let is_short = added < missing;
        self.level = self.level.minus(Credits::new(added));
        self.lent_total += added;
        let loan = Loan {
            count: renewed + added,
            since: now,
            number: ask.number,
            is_short,
        };
        self.loans.insert(ask.vm.clone(), loan);
        Some(Lent {
            count: u32::try_from(loan.count).unwrap_or(u32::MAX),
            interval: is_short.then(|| self.interval(now)),
        })
    }

    /// Fills the bucket up to now, and drops the loans that have ended.
    fn fill(&mut self, now: Time) {
        let outstanding = self.outstanding();
        let accrued = Credits::accrued(self.rate(now), now - self.filled_at);
        if accrued > Credits::default() {
            let room = self.budget.depth.minus(outstanding);
            self.level = self.level.max(room.min(self.level.plus(accrued)));
            self.filled_at = now;
        }
        let lifetime = self.budget.lifetime;
        self.loans.retain(|_, loan| now - loan.since <= lifetime);
        while self
            .open
            .pop_front_if(|(ends_at, _)| *ends_at < now)
            .is_some()
        {}
        let former = self.former.filter(|f| now <= f.ends_at);
        let former = former.map_or(Credits::default(), |f| f.count);
        let lent = outstanding.plus(former);
        self.peak.observe(now, self.level.plus(lent));
    }

    /// Returns the credits that nodes may still use.
    fn outstanding(&self) -> Credits {
        let lent: u64 = self.loans.values().map(|loan| loan.count).sum();
        let open: u64 = self.open.iter().map(|(_, count)| count).sum();
        Credits::new(lent.saturating_add(open))
    }

    /// Returns the time in which each waiting node gets one credit.
    fn interval(&self, now: Time) -> Duration {
        let waiting = self.loans.values().filter(|loan| loan.is_short).count();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let interval = self.rate(now).interval().unwrap_or(MAX_INTERVAL);
        interval.saturating_mul(waiting.max(1)).min(MAX_INTERVAL)
    }
}
