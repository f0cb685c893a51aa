//! Changes of the catalog that other nodes lack, and the tombstones kept for them.

use super::Catalog;
use super::Entry;
use super::Revisions;
use super::Sequence;
use crate::feed::Item;
use crate::feed::ItemKey;
use crate::feed::Revision;
use crate::feed::Section;

/// Maximum number of tombstones that are kept for followers.
const MAX_TOMBSTONES: usize = 256;

impl Catalog {
    /// Returns `true` if the changes after a sequence number are known.
    pub(in crate::feed) const fn has_changes_since(&self, sequence: Sequence) -> bool {
        sequence >= self.pruned_to && sequence <= self.latest
    }

    /// Returns `true` if the changes after some revisions are known.
    ///
    /// Revisions of another era say nothing about the changes of this one.
    pub(in crate::feed) fn has_changes_after(&self, known: &Revisions) -> bool {
        Section::ALL.into_iter().all(|section| {
            let known = known[section.index()];
            known.era == self.revision(section).era && known >= self.history[section.index()]
        })
    }

    /// Returns the changes after a sequence number without those that a node with the
    /// revisions `known` has.
    ///
    /// What is kept from an earlier era has no place in the order of the later one, so a
    /// node may lack it whatever its revision.
    pub(in crate::feed) fn since(
        &self,
        sequence: Sequence,
        known: Option<&Revisions>,
    ) -> impl Iterator<Item = (Section, &Item)> {
        let keys = self.by_sequence.range(sequence + 1..).map(|(_, key)| key);
        let entries = keys.filter_map(|key| self.entries.get(key));
        let is_new = move |e: &&Entry| {
            known.is_none_or(|known| {
                let known = known[e.section.index()];
                e.changed
                    .is_none_or(|changed| changed > known || changed.era < known.era)
            })
        };
        entries.filter(is_new).map(|e| (e.section, &e.item))
    }

    /// Returns the revisions after which the tombstones of all removed items are known.
    pub(in crate::feed) const fn history(&self) -> Revisions {
        self.history
    }

    /// Records that tombstones up to a revision may be missing.
    pub(in crate::feed) fn limit_history(&mut self, section: Section, revision: Revision) {
        let history = &mut self.history[section.index()];
        *history = revision.max(*history);
    }

    /// Removes the oldest tombstones beyond [`MAX_TOMBSTONES`].
    pub(in crate::feed) fn prune(&mut self) {
        let is_removed = |key: &&ItemKey| {
            let entry = self.entries.get(*key);
            entry.is_some_and(|e| e.item.value.is_none())
        };
        let removed = self.by_sequence.values().filter(is_removed).count();
        let excess = removed.saturating_sub(MAX_TOMBSTONES);
        let oldest: Vec<_> = self
            .by_sequence
            .values()
            .filter(is_removed)
            .take(excess)
            .cloned()
            .collect();
        for key in oldest {
            if let Some(entry) = self.entries.remove(&key) {
                self.by_sequence.remove(&entry.sequence);
                self.pruned_to = self.pruned_to.max(entry.sequence);
                self.limit_history(entry.section, entry.item.revision);
            }
        }
    }
}
