//! Rounds of asks for the credits of one workspace.
//!
//! Load pattern: demand that jumps from one second to the next. The node asks as soon as
//! half of the credits that it wants are used, and goes from owner to owner until it has
//! them.

use std::time::Duration;

use celeryshore_model::Time;

use super::Ask;
use super::Usage;
use crate::requests::quota::message::QuotaAnswer;
use crate::requests::quota::stock::Stock;

/// Time after the latest request for which a node keeps credits. A caller with a request in
/// some seconds finds one.
const KEEP_TIME: Duration = Duration::from_secs(30);
/// Least time between two rounds of asks.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// The same if all owners lent fewer than wanted and the node has no credit left.
const SHORT_ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// The same if it has some left.
const FULLER_ROUND_INTERVAL: Duration = Duration::from_millis(800);
/// Owners that are asked in each round after such a one.
const SHORT_ROUND: usize = 2;
/// Divisor of the lifetime of credits: those that end within this part of it are renewed.
const RENEWAL_DIVISOR: u32 = 8;
/// Divisor of the requests of a second: the credits that are wanted for them.
const STOCK_DIVISOR: u32 = 2;

impl Usage {
    /// Returns the next ask, if one is due. `number` is that of the ask.
    pub(in crate::requests::quota) fn next_ask(&mut self, now: Time, number: u64) -> Option<Ask> {
        if self.stocks.iter().any(Stock::is_pending) || !self.is_active(now) {
            return None;
        }
        if self.left_in_round == 0 {
            if !self.needs_credits(now) || now < self.next_round_at(now) {
                return None;
            }
            let all = self.stocks.len();
            self.left_in_round = if self.is_short {
                SHORT_ROUND.min(all)
            } else {
                all
            };
        }
        let Some(i) = self.expiring(now).or_else(|| self.next_in_round(now)) else {
            self.end_round(now);
            return None;
        };
        let lasting_elsewhere = self.lasting(now) - self.lasting_of(now, i);
        let wanted = self.wanted(now).saturating_sub(lasting_elsewhere);
        let stock = self.stocks.get_mut(i)?;
        let (held, open) = stock.ask(now, number);
        Some(Ask {
            owner: stock.owner.clone(),
            number,
            wanted: held.max(wanted),
            held,
            open,
        })
    }

    /// Takes an owner's answer, which ends the round if the node has what it wants.
    pub(in crate::requests::quota) fn accept(&mut self, now: Time, answer: &QuotaAnswer) {
        let lifetime = self.lifetime;
        let mut stocks = self.stocks.iter_mut();
        let Some(i) = stocks.position(|s| s.accept(answer, lifetime)) else {
            return;
        };
        if self.lasting(now) >= self.wanted(now) {
            self.left_in_round = 0;
            self.is_short = false;
            self.round_ended_at = now;
        } else {
            self.next = (i + 1) % self.stocks.len();
            self.continue_round(now);
        }
    }

    /// Gives up asks without an answer.
    pub(in crate::requests::quota) fn expire(&mut self, now: Time) {
        let mut stocks = self.stocks.iter_mut();
        if let Some(i) = stocks.position(|s| s.expire(now)) {
            self.next = (i + 1) % self.stocks.len();
            self.continue_round(now);
        }
    }

    /// Returns the time at which the next ask is due, if no request comes before.
    pub(in crate::requests::quota) fn next_due(&self, now: Time) -> Option<Time> {
        if let Some(at) = self.stocks.iter().find_map(Stock::timeout) {
            return Some(at);
        }
        if !self.is_active(now) {
            return None;
        }
        let at = if self.needs_credits(now) {
            now
        } else {
            let margin = self.lifetime / RENEWAL_DIVISOR;
            let stocks = self.stocks.iter().filter(|s| s.usable(now) > 0);
            let earliest = stocks.map(Stock::ends_at).filter(|at| now + margin < *at);
            let lasting = earliest.min()?;
            now + (lasting - (now + margin))
        };
        Some(at.max(self.next_round_at(now)))
    }

    /// Returns the time before which no further round starts.
    fn next_round_at(&self, now: Time) -> Time {
        let interval = if !self.is_short {
            ROUND_INTERVAL
        } else if self.lasting(now) == 0 {
            SHORT_ROUND_INTERVAL
        } else {
            FULLER_ROUND_INTERVAL
        };
        self.round_ended_at + interval
    }

    fn is_active(&self, now: Time) -> bool {
        self.last_request_at.is_some_and(|at| now - at <= KEEP_TIME)
    }

    /// Returns the credits that the node wants to hold: those of waiting requests, and some
    /// for the next ones if they come often. An idle credit is missing at other nodes.
    fn wanted(&self, now: Time) -> u32 {
        self.waiting + self.demand(now) / STOCK_DIVISOR
    }

    fn needs_credits(&self, now: Time) -> bool {
        let wanted = self.wanted(now);
        let lasting = self.lasting(now);
        let is_low = wanted > 0 && lasting <= wanted / 2;
        is_low || lasting < wanted && self.expiring(now).is_some()
    }

    /// Returns the credits that need no renewal yet.
    fn lasting(&self, now: Time) -> u32 {
        self.usable(now + self.lifetime / RENEWAL_DIVISOR)
    }

    fn lasting_of(&self, now: Time, i: usize) -> u32 {
        let at = now + self.lifetime / RENEWAL_DIVISOR;
        self.stocks.get(i).map_or(0, |s| s.usable(at))
    }

    /// Returns the first owner whose credits need a renewal.
    fn expiring(&self, now: Time) -> Option<usize> {
        let at = now + self.lifetime / RENEWAL_DIVISOR;
        let mut stocks = self.stocks.iter();
        stocks.position(|s| s.usable(now) > 0 && s.usable(at) == 0 && s.can_ask(now))
    }

    fn next_in_round(&mut self, now: Time) -> Option<usize> {
        while self.left_in_round > 0 {
            let i = self.next;
            if self.stocks.get(i)?.can_ask(now) {
                return Some(i);
            }
            self.next = (i + 1) % self.stocks.len();
            self.left_in_round -= 1;
        }
        None
    }

    fn continue_round(&mut self, now: Time) {
        self.left_in_round = self.left_in_round.saturating_sub(1);
        if self.left_in_round == 0 {
            self.end_round(now);
        }
    }

    fn end_round(&mut self, now: Time) {
        self.left_in_round = 0;
        self.is_short = true;
        self.round_ended_at = now;
    }
}
