//! Items of a platform's store, as the store and the nodes transfer them.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::Serialize;

/// Revision of a store; it increases with every change.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Revision(pub u64);

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
}

/// Changes of a section after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Items that were written or removed, sorted by revision.
    pub items: Vec<Item>,
    /// Revision up to which the changes are complete.
    pub revision: Revision,
}
