//! Which of two values of an item is newer.
//!
//! Within an era of the store the revision decides. It does not across eras: a restored
//! store holds older values under a later era, and what was written to it again may have
//! a lower number than what it lost. There the contents decide, so that all nodes end
//! with the same value, in whatever order and from whomever they learned the others. A
//! configuration is ordered by its version, a registration by the target's own count of
//! its heartbeats. An outage of a zone has no order of its own.

use bytes::Bytes;
use celeryshore_model::Incarnation;
use celeryshore_model::UpstreamState;

use super::Heartbeat;
use super::Item;
use super::Record;
use super::Revision;
use super::UpstreamRecord;

/// Order in which a target wrote its registrations. A target that leaves never serves
/// again in the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WriteOrder {
    incarnation: Incarnation,
    heartbeat: Heartbeat,
    is_leaving: bool,
}

impl WriteOrder {
    /// Returns the order of a registration, or `None` for any other record.
    pub(super) fn of(record: Option<&Record>) -> Option<Self> {
        match record {
            Some(Record::Upstream(record)) => Some(Self {
                incarnation: record.incarnation,
                heartbeat: record.heartbeat,
                is_leaving: record.state == UpstreamState::Leaving,
            }),
            _ => None,
        }
    }
}

/// What a node knows of an item.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownItem<'a> {
    pub(super) item: &'a Item,
    /// Decoded value; absent if the item was removed or cannot be decoded.
    pub(super) record: Option<&'a Record>,
    /// Latest registration under the key, also after its removal.
    pub(super) written: Option<WriteOrder>,
    /// Revision number and value of an item without such an order before its removal.
    pub(super) ended: Option<&'a (u64, Bytes)>,
    /// Revision up to which the section of the item is complete.
    pub(super) section: Revision,
}

impl KnownItem<'_> {
    /// Returns `true` if `item`, with its decoded value, is newer than what is known.
    pub(super) fn is_older_than(&self, item: &Item, record: Option<&Record>) -> bool {
        match (self.record, record) {
            (Some(Record::Configuration(known)), Some(Record::Configuration(new))) => {
                (new.version, item.revision) > (known.version, self.item.revision)
            }
            // A configuration that was removed or cannot be read stays in effect.
            (Some(Record::Configuration(_)), _) => false,
            (None, Some(Record::Configuration(_))) => true,
            _ => self.is_before(item, record),
        }
    }

    fn is_before(&self, item: &Item, record: Option<&Record>) -> bool {
        let known = self.item.revision;
        let written = WriteOrder::of(record);
        if known.era == item.revision.era {
            return known < item.revision || (known == item.revision && self.written < written);
        }
        let is_later_era = known.era < item.revision.era;
        if item.value.is_none() || self.is_written_since(item) {
            return is_later_era;
        }
        let is_removed = self.item.value.is_none();
        match written {
            Some(_) if is_removed => is_later_era && self.written < written,
            Some(_) if is_later_era => self.written <= written,
            Some(_) => self.written < written,
            None if self.written.is_some() => is_later_era && known.number < item.revision.number,
            None => is_later_era && !(is_removed && self.is_copy(item)),
        }
    }

    /// Returns `true` if an item was written after the section was read in its era.
    fn is_written_since(&self, item: &Item) -> bool {
        self.section.era == item.revision.era && self.section < item.revision
    }

    /// Returns `true` if an item of a restored store is the one that was removed before.
    fn is_copy(&self, item: &Item) -> bool {
        self.ended.is_some_and(|(number, value)| {
            *number == item.revision.number && item.value.as_ref() == Some(value)
        })
    }
}

/// Returns `true` if two decoded values differ in nothing but the heartbeat.
pub(super) fn is_same_content(known: Option<&Record>, new: Option<&Record>) -> bool {
    match (known, new) {
        (Some(Record::Upstream(known)), Some(Record::Upstream(new))) => {
            let heartbeat = known.heartbeat;
            *known
                == UpstreamRecord {
                    heartbeat,
                    ..new.clone()
                }
        }
        (known, new) => known == new,
    }
}
