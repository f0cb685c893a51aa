//! Every item that a node knows, with its meaning.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

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

/// Removed items that are remembered for followers.
const MAX_REMOVED: usize = 256;

/// Number of a change within one node's life.
pub(super) type Sequence = u64;

/// What became of an item that was taken in.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// It changed what the node knows.
    New,
    /// It changed nothing.
    Known,
    /// Its value cannot be used.
    Refused(AdapterError),
}

/// Items by key, newest revision each, and the order in which they changed.
///
/// An item whose meaning is as before changes nothing, so heartbeats that only
/// count up are not passed on.
#[derive(Debug)]
pub(super) struct Catalog {
    adapter: Arc<dyn Adapter>,
    entries: BTreeMap<ItemKey, Entry>,
    order: BTreeMap<Sequence, ItemKey>,
    latest: Sequence,
    /// Changes up to this one may have been forgotten.
    forgotten: Sequence,
    revisions: [Revision; Section::ALL.len()],
}

#[derive(Debug)]
struct Entry {
    section: Section,
    item: Item,
    record: Option<Record>,
    sequence: Sequence,
}

impl Catalog {
    /// Makes an empty catalog.
    pub(super) fn new(adapter: Arc<dyn Adapter>) -> Self {
        Self {
            adapter,
            entries: BTreeMap::new(),
            order: BTreeMap::new(),
            latest: 0,
            forgotten: 0,
            revisions: [Revision::default(); Section::ALL.len()],
        }
    }

    /// Returns the number of the latest change.
    pub(super) const fn latest(&self) -> Sequence {
        self.latest
    }

    /// Returns the revision up to which a section is complete.
    pub(super) const fn revision(&self, section: Section) -> Revision {
        self.revisions[section.place()]
    }

    /// Notes that a section is complete up to a revision.
    pub(super) fn advance(&mut self, section: Section, revision: Revision) {
        let known = &mut self.revisions[section.place()];
        *known = revision.max(*known);
    }

    /// Takes in an item, unless a newer one is known.
    pub(super) fn take(&mut self, section: Section, item: Item) -> Taken {
        let known = self.entries.get_mut(&item.key);
        if known
            .as_ref()
            .is_some_and(|k| k.item.revision >= item.revision)
        {
            return Taken::Known;
        }
        let record = match &item.value {
            Some(_) => self.adapter.decode(&item).map(Some),
            None => Ok(None),
        };
        let (record, problem) = match record {
            Ok(record) => (record, None),
            Err(problem) => (None, Some(problem)),
        };
        if let Some(known) = known {
            if keeps(known.record.as_ref(), record.as_ref(), section) {
                known.item.revision = item.revision;
                return problem.map_or(Taken::Known, Taken::Refused);
            }
            self.order.remove(&known.sequence);
        }
        self.latest += 1;
        self.order.insert(self.latest, item.key.clone());
        let entry = Entry {
            section,
            item,
            record,
            sequence: self.latest,
        };
        self.entries.insert(entry.item.key.clone(), entry);
        problem.map_or(Taken::New, Taken::Refused)
    }

    /// Returns the present items of a section that are not among `listed`, up to
    /// the revision of the list.
    pub(super) fn missing(
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

    /// Returns the changes after a number, or nothing if some were forgotten.
    pub(super) fn since(&self, sequence: Sequence) -> Option<Vec<(Section, Item)>> {
        if sequence < self.forgotten || sequence > self.latest {
            return None;
        }
        let keys = self.order.range(sequence + 1..).map(|(_, key)| key);
        let entries = keys.filter_map(|key| self.entries.get(key));
        Some(entries.map(|e| (e.section, e.item.clone())).collect())
    }

    /// Tells whether an item, present or removed, is known.
    pub(super) fn knows(&self, key: &ItemKey) -> bool {
        self.entries.contains_key(key)
    }

    /// Returns all present items.
    pub(super) fn whole(&self) -> Vec<(Section, Item)> {
        let present = self.entries.values().filter(|e| e.item.value.is_some());
        present.map(|e| (e.section, e.item.clone())).collect()
    }

    /// Forgets the oldest removed items beyond a fixed number.
    pub(super) fn prune(&mut self) {
        let is_removed = |key: &&ItemKey| {
            let entry = self.entries.get(*key);
            entry.is_some_and(|e| e.item.value.is_none())
        };
        let removed = self.order.values().filter(is_removed).count();
        let excess = removed.saturating_sub(MAX_REMOVED);
        let oldest: Vec<_> = self
            .order
            .values()
            .filter(is_removed)
            .take(excess)
            .cloned()
            .collect();
        for key in oldest {
            if let Some(entry) = self.entries.remove(&key) {
                self.order.remove(&entry.sequence);
                self.forgotten = self.forgotten.max(entry.sequence);
            }
        }
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

    /// Returns the zones that operators have taken out of service.
    pub(super) fn zones_out(&self) -> impl Iterator<Item = &ZoneName> {
        self.records().filter_map(|record| match record {
            Record::ZoneOut(zone) => Some(zone),
            _ => None,
        })
    }

    /// Returns what the targets say of themselves, each with its item's revision.
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

/// Tells whether an item's meaning stays as it was.
///
/// A configuration never goes back, and one that cannot be read or was removed
/// leaves the one before it in force.
fn keeps(known: Option<&Record>, new: Option<&Record>, section: Section) -> bool {
    match (known, new) {
        (Some(Record::Configuration(known)), Some(Record::Configuration(new))) => {
            new.version <= known.version
        }
        (Some(Record::Configuration(_)), _) => section == Section::Configuration,
        (known, new) => known == new,
    }
}
