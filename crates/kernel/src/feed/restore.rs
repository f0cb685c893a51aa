//! Restores of the store from an older copy of its data.
//!
//! A restored store has lost its latest changes and assigns their revisions again.
//! Operators and targets then write again what was lost. Until they have, what a node
//! knows goes before the copy: `order` keeps newer values, and what the copy lacks is
//! removed only after the time in which it can be written again.

use std::time::Duration;

use celeryshore_model::Time;

use super::DeferredRemoval;
use super::Era;
use super::Feed;
use super::FeedAction;
use super::FeedReport;
use super::Item;
use super::ItemKey;
use super::Revision;
use super::Section;
use super::responses::EXPIRY_GRACE;

/// Time after a restore within which operators write their lost changes again.
const REWRITE_GRACE: Duration = Duration::from_secs(30);

impl Feed {
    /// Returns the era of a response of the store, or `None` if the response is from
    /// an earlier era and must be ignored.
    ///
    /// A response without an era belongs to the latest known one. If the store never
    /// states its era and the revision of a response is lower than one that was known
    /// when the read started, the store has been restored since.
    pub(super) fn response_era(
        &mut self,
        now: Time,
        index: usize,
        stated: Option<Era>,
        number: u64,
    ) -> Option<Era> {
        let reader = &self.readers[index];
        let (section, expected) = (reader.section(), reader.known_at_start());
        let has_regressed = expected.era == self.era && number < expected.number;
        let era = match stated {
            Some(era) => era,
            None if has_regressed && !self.states_era => self.era.next(),
            None => self.era,
        };
        self.states_era |= stated.is_some();
        if era < self.era {
            let report = FeedReport::OutdatedResponse {
                section,
                era,
                known: self.era,
            };
            self.actions.push(FeedAction::Report(report));
            self.readers[index].require_list(now);
            return None;
        }
        self.observe_era(now, era);
        Some(era)
    }

    /// Records the era of data from the store or from a peer.
    pub(super) fn observe_era(&mut self, now: Time, era: Era) {
        if era <= self.era {
            return;
        }
        let known = std::mem::replace(&mut self.era, era);
        if self.catalog.latest() == 0 {
            return;
        }
        self.restored_at = Some(now);
        self.store_recovered_at = Some(now);
        for reader in &mut self.readers {
            reader.invalidate(now);
        }
        let report = FeedReport::StoreRestored { known, era };
        self.actions.push(FeedAction::Report(report));
    }

    /// Returns `true` if an item that is missing from a list may have been lost in a
    /// restore of the store.
    pub(super) fn is_lost_in_restore(&self, now: Time, missing: &Item) -> bool {
        let known = self.catalog.item_revision(&missing.key);
        known.is_some_and(|known| known.era < missing.revision.era)
            && self.restored_at.is_some_and(|at| now - at < REWRITE_GRACE)
    }

    /// Handles the removal of an item that may have been lost in a restore.
    ///
    /// What operators wrote stays in effect until the time in which they write it again
    /// is over.
    pub(super) fn defer_lost_item(&mut self, now: Time, section: Section, missing: Item) {
        if section == Section::Upstreams {
            self.apply_from_store(now, section, missing);
            return;
        }
        let report = FeedReport::ItemKept {
            key: missing.key.clone(),
        };
        self.actions.push(FeedAction::Report(report));
        let until = self.restored_at.unwrap_or(now) + REWRITE_GRACE;
        self.defer_removal(section, missing, until);
    }

    /// Limits the time for which an item that a peer keeps from an earlier era stays,
    /// unless it is written again after `revision`.
    pub(super) fn keep_lost_item(
        &mut self,
        now: Time,
        section: Section,
        key: &ItemKey,
        revision: Revision,
    ) {
        let grace = match section {
            Section::Configuration => REWRITE_GRACE,
            Section::Upstreams => EXPIRY_GRACE,
        };
        let removal = Item {
            key: key.clone(),
            revision,
            value: None,
        };
        self.defer_removal(section, removal, now + grace);
    }

    /// Schedules a removal, in place of an earlier one of the same item.
    pub(super) fn defer_removal(&mut self, section: Section, item: Item, until: Time) {
        let key = item.key.clone();
        let removal = DeferredRemoval {
            section,
            item,
            until,
        };
        self.deferred_removals.insert(key, removal);
    }
}
