//! Items of a platform's store, as the store and the nodes transfer them.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::Serialize;

/// Number of times that a store was restored from an older copy of its data.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct Era(pub u64);

impl Era {
    /// Returns the era after the next restore.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Revision of a store; it increases with every change.
///
/// A restored store assigns the numbers after that of its copy again. Revisions are
/// therefore ordered by era first.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::StoreEra;
/// use celeryshore_kernel::StoreRevision;
///
/// let lost = StoreRevision::new(StoreEra(0), 50);
/// let rewritten = StoreRevision::new(StoreEra(1), 45);
/// assert!(rewritten > lost);
/// assert_eq!(rewritten.to_string(), "45 of era 1");
/// ```
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{number} of era {era}")]
pub struct Revision {
    /// Era in which the revision was assigned.
    pub era: Era,
    /// Number of the change; zero before the first change.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    #[must_use]
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

/// Creates a revision of a store that was never restored.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self::new(Era::default(), number)
    }
}

/// Part of the store that is listed and watched as a unit.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Section {
    /// Data that operators write: the configuration and the zones that are out of
    /// service.
    #[display("configuration")]
    Configuration,
    /// Registrations of targets.
    #[display("upstreams")]
    Upstreams,
}

impl Section {
    /// All sections.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Upstreams];

    /// Returns the index of the section in [`ALL`](Self::ALL).
    pub(super) const fn index(self) -> usize {
        match self {
            Self::Configuration => 0,
            Self::Upstreams => 1,
        }
    }
}

/// Key of an item in the store.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct ItemKey(Arc<str>);

impl ItemKey {
    /// Creates a key from text.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self(key.into())
    }

    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Key and value in the store, or the tombstone of a removed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key of the item.
    pub key: ItemKey,
    /// Revision of the latest change to the item.
    pub revision: Revision,
    /// Encoded value; absent if the item was removed.
    pub value: Option<Bytes>,
}

/// Page of the list of all items of a section.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items sorted by key.
    pub items: Vec<Item>,
    /// Whether more items follow.
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    pub revision: Revision,
    /// Era of the store, if it states one. The feed sets the era of all revisions of
    /// the page.
    pub era: Option<Era>,
}

/// Changes of a section after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Items that were written or removed, sorted by revision.
    pub items: Vec<Item>,
    /// Revision up to which the changes are complete.
    pub revision: Revision,
    /// Era of the store, if it states one. The feed sets the era of all revisions of
    /// the changes.
    pub era: Option<Era>,
}

impl Page {
    /// Sets the era of all revisions.
    pub(super) fn in_era(mut self, era: Era) -> Self {
        set_era(&mut self.items, era);
        self.revision.era = era;
        self
    }
}

impl Changes {
    /// Sets the era of all revisions.
    pub(super) fn in_era(mut self, era: Era) -> Self {
        set_era(&mut self.items, era);
        self.revision.era = era;
        self
    }
}

fn set_era(items: &mut [Item], era: Era) {
    for item in items {
        item.revision.era = era;
    }
}
