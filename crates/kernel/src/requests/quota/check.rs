//! Check of a quota without a call.
//!
//! Load pattern: callers of a workspace that are refused, while operators look for the
//! cause. The check works on a copy, so that it neither takes a credit nor asks an owner.

use celeryshore_model::Time;
use celeryshore_model::WorkspaceName;

use super::Quotas;
use super::Result;
use super::limit::Limit;
use super::usage::Usage;

impl Quotas {
    /// Checks whether a call of a workspace would be admitted now, without taking a credit.
    ///
    /// # Errors
    ///
    /// Returns the time in which the caller may retry if the node has no credit.
    pub(in crate::requests) fn check(&self, now: Time, workspace: &WorkspaceName) -> Result<()> {
        let Some(limit) = self.limits.get(workspace) else {
            return Ok(());
        };
        let usage = self.usages.get(workspace).cloned();
        let mut copy = usage.unwrap_or_else(|| self.new_usage(limit));
        if copy.take(now).is_some() || self.has_own_credit(now, workspace, &mut copy) {
            return Ok(());
        }
        Err(copy.retry_after(now, limit.quota.rate))
    }

    /// Returns `true` if this node owns a part of the quota and would lend itself a credit.
    fn has_own_credit(&self, now: Time, workspace: &WorkspaceName, usage: &mut Usage) -> bool {
        let Some(mut part) = self.parts.get(workspace).cloned() else {
            return false;
        };
        let Some(ask) = usage.next_ask(now, self.last_number + 1) else {
            return false;
        };
        if ask.owner.vm != self.vm {
            return false;
        }
        let ask = self.message(workspace, &ask);
        if let Some(lent) = part.lend(now, &ask) {
            usage.accept(now, &lent.answer(&ask));
        }
        usage.take_waiting(now).is_some()
    }

    /// Returns the state of a workspace that has had no callers here.
    pub(super) fn new_usage(&self, limit: &Limit) -> Usage {
        let owners = self.asking_order(&limit.owners);
        let mut usage = Usage::new(owners, limit.budget.lifetime);
        usage.set_spare(limit.spare_from, self.terms.window);
        usage
    }
}
