//! Quotas of the configuration in effect.

use std::collections::BTreeMap;

use celeryshore_model::Quota;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::WorkspaceName;

use super::Quotas;
use super::budget::Budget;
use super::owners::Candidates;
use super::owners::Owner;
use super::part::Part;

/// Quota of one workspace in the configuration in effect.
#[derive(Debug)]
pub(super) struct Limit {
    pub(super) quota: Quota,
    pub(super) budget: Budget,
    pub(super) owners: Vec<Owner>,
    /// Time from which this node has a spare credit; absent if it has none. The node that had
    /// it before may have used it in the window before that.
    pub(super) spare_from: Option<Time>,
}

impl Quotas {
    /// Applies the quotas and the list of upstreams of a configuration.
    pub fn configure(&mut self, now: Time, snapshot: &Snapshot) {
        let quotas: BTreeMap<_, _> = snapshot
            .workspaces
            .values()
            .filter_map(|w| Some((w.name.clone(), w.quota?)))
            .collect();
        let candidates = if quotas.is_empty() {
            Candidates::default()
        } else {
            Candidates::of(snapshot)
        };
        let is_listed_anew = candidates != self.candidates;
        self.candidates = candidates;
        self.limits.retain(|name, _| quotas.contains_key(name));
        self.parts.retain(|name, _| quotas.contains_key(name));
        self.usages.retain(|name, _| quotas.contains_key(name));
        for (name, quota) in quotas {
            let old = self.limits.get(&name);
            if is_listed_anew || old.is_none_or(|limit| limit.quota != quota) {
                self.set_limit(now, name, quota);
            }
        }
        self.is_configured = true;
    }

    fn set_limit(&mut self, now: Time, name: WorkspaceName, quota: Quota) {
        let budget = Budget::new(self.terms, quota);
        let owners = self.candidates.owners(&name, budget.owners);
        let has_spare = self.candidates.has_spare(&name, &self.vm, budget.spare);
        let own = owners.iter().find(|owner| owner.vm == self.vm);
        match own.map(|owner| owner.part) {
            None => {
                self.parts.remove(&name);
            }
            Some(size) => {
                let is_new = !self.limits.contains_key(&name);
                // Nodes with the older list may still borrow from the former owner.
                let part = self.parts.entry(name.clone());
                let owned = budget.part(size);
                part.and_modify(|part| part.set_budget(now, owned))
                    .or_insert_with(|| match (is_new, self.is_configured) {
                        (true, true) => Part::new(now, owned),
                        (true, false) => Part::after_restart(now, self.started, owned),
                        (false, _) => Part::new(now + self.terms.window, owned),
                    });
            }
        }
        let old_spare = self.limits.get(&name).and_then(|limit| limit.spare_from);
        let first_spare = if self.is_configured {
            now + self.terms.window
        } else {
            self.started + self.terms.window
        };
        let limit = Limit {
            quota,
            budget,
            owners,
            spare_from: has_spare.then(|| old_spare.unwrap_or(first_spare)),
        };
        let order = self.asking_order(&limit.owners);
        if let Some(usage) = self.usages.get_mut(&name) {
            usage.set_owners(order, budget.lifetime);
            usage.set_spare(limit.spare_from, self.terms.window);
        }
        self.limits.insert(name, limit);
    }

    /// Returns the owners in the order in which this node asks them: itself, those of its
    /// zone, and the others. Different nodes start with different owners.
    pub(super) fn asking_order(&self, owners: &[Owner]) -> Vec<Owner> {
        let mut order = owners.to_vec();
        let shift = self.candidates.position(&self.vm) % owners.len().max(1);
        order.rotate_left(shift);
        order.sort_by_key(|owner| (owner.vm != self.vm, owner.zone != self.zone));
        order
    }
}
