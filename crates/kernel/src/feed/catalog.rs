//! Items of the store that a node knows, with their decoded values.

mod history;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use celeryshore_model::Snapshot;
use celeryshore_model::Version;
use celeryshore_model::ZoneName;

use super::Adapter;
use super::AdapterError;
use super::Item;
use super::ItemKey;
use super::Record;
use super::Revision;
use super::Section;
use super::UpstreamRecord;
use super::order;
use super::order::KnownItem;
use super::order::WriteOrder;

/// Sequence number of a change within one incarnation of a node.
pub(super) type Sequence = u64;

/// A revision of each section.
pub(super) type Revisions = [Revision; Section::ALL.len()];

/// Result of applying an item to the catalog.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ApplyOutcome {
    /// The item changed the catalog.
    Changed,
    /// The item is not newer than the known one, or its decoded value is the same.
    Unchanged,
    /// The value of the item cannot be decoded.
    Invalid(AdapterError),
}

/// Newest value of each item by key, and the order in which the items changed.
///
/// An item with the same decoded value as before does not count as a change.
/// Targets write heartbeats that only increment a counter, and those must not be
/// passed on to followers.
#[derive(Debug)]
pub(super) struct Catalog {
    adapter: Arc<dyn Adapter>,
    entries: BTreeMap<ItemKey, Entry>,
    by_sequence: BTreeMap<Sequence, ItemKey>,
    latest: Sequence,
    /// Tombstones up to this sequence number may have been pruned.
    pruned_to: Sequence,
    revisions: [Revision; Section::ALL.len()],
    /// Revisions after which the tombstones of all removed items are known.
    history: [Revision; Section::ALL.len()],
}

#[derive(Debug)]
struct Entry {
    section: Section,
    item: Item,
    record: Option<Record>,
    sequence: Sequence,
    /// Revision of the latest change of the content, which a heartbeat is not; absent if
    /// the section was known up to that revision already, so that a node may lack the
    /// change whatever its revision.
    changed: Option<Revision>,
    /// Latest registration under the key, also after its removal.
    written: Option<WriteOrder>,
    /// Revision number and value of an item without such an order before its removal.
    ended: Option<(u64, Bytes)>,
}

impl Entry {
    fn new(section: Section, item: Item, record: Option<Record>) -> Self {
        Self {
            section,
            changed: None,
            item,
            written: WriteOrder::of(record.as_ref()),
            record,
            sequence: 0,
            ended: None,
        }
    }

    fn as_known(&self, section: Revision) -> KnownItem<'_> {
        KnownItem {
            item: &self.item,
            record: self.record.as_ref(),
            written: self.written,
            ended: self.ended.as_ref(),
            section,
        }
    }

    /// Returns `true` if an item need not be decoded to see that it is not newer.
    fn is_settled(&self, item: &Item) -> bool {
        if self.item == *item {
            return true;
        }
        self.section == Section::Upstreams
            && self.item.revision.era == item.revision.era
            && self.item.revision > item.revision
    }

    /// Replaces the value. The revision never decreases.
    fn replace(&mut self, item: Item, record: Option<Record>) {
        let written = WriteOrder::of(record.as_ref());
        let removed = std::mem::replace(&mut self.item, item);
        self.item.revision = self.item.revision.max(removed.revision);
        if self.item.value.is_none() && self.written.is_none() {
            let ended = removed.value.map(|value| (removed.revision.number, value));
            self.ended = ended.or(self.ended.take());
        }
        self.written = written.or(self.written);
        self.record = record;
    }
}

impl Catalog {
    /// Creates an empty catalog.
    pub(super) fn new(adapter: Arc<dyn Adapter>) -> Self {
        Self {
            adapter,
            entries: BTreeMap::new(),
            by_sequence: BTreeMap::new(),
            latest: 0,
            pruned_to: 0,
            revisions: [Revision::default(); Section::ALL.len()],
            history: [Revision::default(); Section::ALL.len()],
        }
    }

    /// Returns the sequence number of the latest change.
    pub(super) const fn latest(&self) -> Sequence {
        self.latest
    }

    /// Returns the revision up to which the items of a section are complete.
    pub(super) const fn revision(&self, section: Section) -> Revision {
        self.revisions[section.index()]
    }

    /// Records that the items of a section are complete up to a revision.
    pub(super) fn advance(&mut self, section: Section, revision: Revision) {
        let known = &mut self.revisions[section.index()];
        *known = revision.max(*known);
    }

    /// Returns the revision of an item or of its tombstone.
    pub(super) fn item_revision(&self, key: &ItemKey) -> Option<Revision> {
        self.entries.get(key).map(|e| e.item.revision)
    }

    /// Applies an item, unless the catalog has the same or a newer value of it.
    pub(super) fn apply(&mut self, section: Section, item: Item) -> ApplyOutcome {
        let item = self.adapter.redact(item);
        let known = self.entries.get(&item.key);
        if known.is_some_and(|known| known.is_settled(&item)) {
            return ApplyOutcome::Unchanged;
        }
        let record = match &item.value {
            Some(_) => self.adapter.decode(&item).map(Some),
            None => Ok(None),
        };
        let (record, problem) = match record {
            Ok(record) => (record, None),
            Err(problem) => (None, Some(problem)),
        };
        let outcome = |changed| problem.map_or(changed, ApplyOutcome::Invalid);
        let complete_to = self.revisions[section.index()];
        let changed = Some(item.revision).filter(|revision| *revision > complete_to);
        let Some(known) = self.entries.get_mut(&item.key) else {
            let mut entry = Entry::new(section, item, record);
            entry.changed = changed;
            self.insert(entry);
            return outcome(ApplyOutcome::Changed);
        };
        let section = self.revisions[known.section.index()];
        if !known
            .as_known(section)
            .is_older_than(&item, record.as_ref())
        {
            return outcome(ApplyOutcome::Unchanged);
        }
        // Peers may keep an item of an earlier era for a while only, so that they have to
        // learn that it was written again. A configuration is kept without a limit.
        let era = known.item.revision.era;
        let is_confirmed =
            era < item.revision.era && !matches!(record, Some(Record::Configuration(_)));
        let is_changed =
            is_confirmed || !order::is_same_content(known.record.as_ref(), record.as_ref());
        known.replace(item, record);
        if is_changed || era < known.item.revision.era {
            known.changed = changed;
        }
        if !is_changed {
            return outcome(ApplyOutcome::Unchanged);
        }
        self.by_sequence.remove(&known.sequence);
        self.latest += 1;
        known.sequence = self.latest;
        self.by_sequence.insert(self.latest, known.item.key.clone());
        outcome(ApplyOutcome::Changed)
    }

    fn insert(&mut self, mut entry: Entry) {
        self.latest += 1;
        entry.sequence = self.latest;
        self.by_sequence.insert(self.latest, entry.item.key.clone());
        self.entries.insert(entry.item.key.clone(), entry);
    }

    /// Returns removals of the items of a section that are not in `listed`.
    ///
    /// Items newer than `revision`, the revision of the list, are kept.
    pub(super) fn removals(
        &self,
        section: Section,
        listed: &BTreeSet<ItemKey>,
        revision: Revision,
    ) -> Vec<Item> {
        let of_section = self.entries.values().filter(|e| e.section == section);
        let present = of_section.filter(|e| e.item.value.is_some());
        let missing = present.filter(|e| !listed.contains(&e.item.key));
        missing
            .filter(|e| e.item.revision <= revision)
            .map(|e| Item {
                key: e.item.key.clone(),
                revision,
                value: None,
            })
            .collect()
    }

    /// Returns `true` if an item of a section is known from an earlier era only.
    ///
    /// A peer may keep such an item for a while, and only a list says whether the store
    /// has it again.
    pub(super) fn has_unconfirmed(&self, section: Section) -> bool {
        let era = self.revision(section).era;
        let mut items = self.entries.values().filter(|e| e.section == section);
        items.any(|e| e.item.value.is_some() && e.item.revision.era < era)
    }

    /// Returns `true` if the catalog has the item or its tombstone.
    pub(super) fn contains(&self, key: &ItemKey) -> bool {
        self.entries.contains_key(key)
    }

    /// Returns all items without tombstones.
    pub(super) fn items(&self) -> Vec<(Section, Item)> {
        let present = self.entries.values().filter(|e| e.item.value.is_some());
        present.map(|e| (e.section, e.item.clone())).collect()
    }

    /// Returns the newest configuration.
    pub(super) fn configuration(&self) -> Option<&Arc<Snapshot>> {
        let all = self.records().filter_map(|record| match record {
            Record::Configuration(snapshot) => Some(snapshot),
            _ => None,
        });
        all.max_by_key(|snapshot| snapshot.version)
    }

    /// Returns the version of the newest configuration.
    pub(super) fn version(&self) -> Version {
        self.configuration().map(|s| s.version).unwrap_or_default()
    }

    /// Returns the availability zones that operators have taken out of service.
    pub(super) fn zones_out_of_service(&self) -> impl Iterator<Item = &ZoneName> {
        self.records().filter_map(|record| match record {
            Record::ZoneOutage(zone) => Some(zone),
            _ => None,
        })
    }

    /// Returns the registrations of targets with the revisions of their items.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = (&UpstreamRecord, Revision)> {
        let entries = self.entries.values();
        entries.filter_map(|entry| match &entry.record {
            Some(Record::Upstream(record)) => Some((record, entry.item.revision)),
            _ => None,
        })
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries
            .values()
            .filter_map(|entry| entry.record.as_ref())
    }
}
