//! Requests of one workspace at this node, and the credits for them.
//!
//! `rounds` decides which owners are asked and when.

mod rounds;

use std::time::Duration;

use celeryshore_model::Rate;
use celeryshore_model::Time;
use celeryshore_model::VmName;

use super::demand::Demand;
use super::owners::Owner;
use super::stock::Stock;

/// Factor on the interval of credits: most of them are left to callers who come for the first
/// time.
const NEW_CALLERS: u32 = 3;
/// Number of nodes that are assumed to share the rate while no owner has stated how soon it
/// lends more.
const ASSUMED_NODES: u32 = 4;
/// Least time of a retry, in which a node without credits asks again.
const MIN_RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Credit of an admitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Credit {
    /// Owner that lent it; absent for a spare credit.
    owner: Option<VmName>,
    /// Number of the owner's latest ask when the credit was used.
    asked: u64,
    used_at: Time,
}

/// Ask that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ask {
    pub(super) owner: Owner,
    pub(super) number: u64,
    pub(super) wanted: u32,
    pub(super) held: u32,
    pub(super) open: u32,
}

/// Spare credit of a node, usable once in a window.
#[derive(Clone, Copy, Debug)]
struct Spare {
    usable_from: Time,
    window: Duration,
}

/// State of one workspace at a node with callers of it.
#[derive(Clone, Debug)]
pub(super) struct Usage {
    stocks: Vec<Stock>,
    lifetime: Duration,
    spare: Option<Spare>,
    demand: Demand,
    last_request_at: Option<Time>,
    /// Index of the owner that is asked next.
    next: usize,
    /// Number of owners that the round of asks may still try; none between rounds.
    left_in_round: usize,
    round_ended_at: Time,
    /// Whether the latest round ended without the credits that are wanted. The rounds after
    /// it ask fewer owners.
    is_short: bool,
    next_retry_at: Time,
    /// Requests that wait for a credit.
    waiting: u32,
    /// Requests admitted since the process started.
    pub(super) admitted: u64,
    /// Requests refused since the process started.
    pub(super) refused: u64,
}

impl Usage {
    /// Creates the state of a node without credits. The owners are asked in this order.
    pub(super) fn new(owners: Vec<Owner>, lifetime: Duration) -> Self {
        Self {
            stocks: owners.into_iter().map(Stock::new).collect(),
            lifetime,
            spare: None,
            demand: Demand::default(),
            last_request_at: None,
            next: 0,
            left_in_round: 0,
            round_ended_at: Time::ZERO,
            is_short: false,
            next_retry_at: Time::ZERO,
            waiting: 0,
            admitted: 0,
            refused: 0,
        }
    }

    /// Applies a changed list of owners. Credits of former owners stay usable until they
    /// end only if the owner is still listed.
    pub(super) fn set_owners(&mut self, owners: Vec<Owner>, lifetime: Duration) {
        let mut old = std::mem::take(&mut self.stocks);
        let keep = |owner: Owner| {
            let i = old.iter().position(|s| s.owner.vm == owner.vm);
            i.map(|i| old.swap_remove(i)).map_or_else(
                || Stock::new(owner.clone()),
                |mut stock| {
                    stock.owner = owner.clone();
                    stock
                },
            )
        };
        self.stocks = owners.into_iter().map(keep).collect();
        self.lifetime = lifetime;
        self.next = 0;
        self.left_in_round = 0;
    }

    /// Sets the time from which the node has a spare credit, if it has one.
    pub(super) fn set_spare(&mut self, from: Option<Time>, window: Duration) {
        let next = self.spare.map(|spare| spare.usable_from);
        self.spare = from.map(|from| Spare {
            usable_from: next.unwrap_or(from),
            window,
        });
    }

    /// Uses a credit for a request, the one that ends first.
    pub(super) fn take(&mut self, now: Time) -> Option<Credit> {
        self.demand.observe(now);
        self.last_request_at = Some(now);
        let credit = self.take_lent(now).or_else(|| self.take_spare(now));
        if credit.is_some() {
            self.admitted += 1;
        } else {
            self.refused += 1;
            self.waiting += 1;
        }
        credit
    }

    /// Uses a credit for a request that was counted as refused before.
    pub(super) fn take_waiting(&mut self, now: Time) -> Option<Credit> {
        let credit = self.take_lent(now)?;
        self.stop_waiting();
        self.refused -= 1;
        self.admitted += 1;
        Some(credit)
    }

    /// Records that a request without a credit no longer waits for one.
    pub(super) fn stop_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns `true` if an owner was asked and has not answered.
    pub(super) fn is_asking(&self) -> bool {
        self.stocks.iter().any(Stock::is_pending)
    }

    fn take_lent(&mut self, now: Time) -> Option<Credit> {
        let stocks = self.stocks.iter_mut().filter(|s| s.usable(now) > 0);
        let stock = stocks.min_by_key(|s| s.ends_at())?;
        stock.take(now);
        Some(Credit {
            owner: Some(stock.owner.vm.clone()),
            asked: stock.asked(),
            used_at: now,
        })
    }

    fn take_spare(&mut self, now: Time) -> Option<Credit> {
        let spare = self.spare.as_mut()?;
        if now < spare.usable_from {
            return None;
        }
        spare.usable_from = now + spare.window;
        Some(Credit {
            owner: None,
            asked: 0,
            used_at: now,
        })
    }

    /// Settles the credit of a request, and takes it back if the request did not run.
    pub(super) fn settle(&mut self, now: Time, credit: &Credit, has_run: bool) {
        let stock = self
            .stocks
            .iter_mut()
            .find(|s| credit.owner.as_ref() == Some(&s.owner.vm));
        match stock {
            Some(stock) => stock.settle(now, credit.asked, credit.used_at, has_run),
            None if has_run => {}
            None => self.give_back_spare(now, credit),
        }
    }

    fn give_back_spare(&mut self, now: Time, credit: &Credit) {
        let spare = self.spare.as_mut().filter(|_| credit.owner.is_none());
        if let Some(spare) = spare.filter(|s| s.usable_from == credit.used_at + s.window) {
            spare.usable_from = now;
        }
    }

    /// Returns the time in which a refused caller finds a credit. Each refused caller gets
    /// a time of its own, one credit's interval after the one before. `rate` is that of the
    /// quota.
    pub(super) fn retry_after(&mut self, now: Time, rate: Rate) -> Duration {
        let interval = match self.credit_interval() {
            Some(interval) => interval * NEW_CALLERS,
            None => rate.interval().unwrap_or(MAX_RETRY) * ASSUMED_NODES,
        };
        let earliest = self.next_retry_at.max(now) + interval;
        let at = earliest.min(now + MAX_RETRY);
        self.next_retry_at = at;
        (at - now).max(MIN_RETRY)
    }

    /// Returns the time in which this node gets one credit from all owners together.
    pub(super) fn credit_interval(&self) -> Option<Duration> {
        let stated: Vec<_> = self.stocks.iter().filter_map(Stock::interval).collect();
        let known = u32::try_from(stated.len()).ok().filter(|n| *n > 0)?;
        let owners = u32::try_from(self.stocks.len()).ok()?;
        let mean = stated.into_iter().sum::<Duration>() / known;
        Some(mean / owners)
    }

    /// Returns the recent requests per second.
    pub(super) fn demand(&self, now: Time) -> u32 {
        self.demand.per_second(now)
    }

    /// Returns the usable credits.
    pub(super) fn usable(&self, at: Time) -> u32 {
        self.stocks.iter().map(|s| s.usable(at)).sum()
    }

    /// Returns the VMs of the owners.
    pub(super) fn owners(&self) -> impl Iterator<Item = &VmName> {
        self.stocks.iter().map(|s| &s.owner.vm)
    }
}
