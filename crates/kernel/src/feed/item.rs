//! Items of a platform's store, as they travel from the store to every node.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::Serialize;

/// Point in the history of a store; it grows with each change.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Revision(pub u64);

/// Part of the store that is listed and watched as a whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Section {
    /// What operators decide: the configuration and the zones that are out.
    #[display("configuration")]
    Configuration,
    /// What the targets say of themselves.
    #[display("upstreams")]
    Upstreams,
}

impl Section {
    /// All sections.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Upstreams];

    /// Returns the place of the section in a list of all.
    pub(super) const fn place(self) -> usize {
        match self {
            Self::Configuration => 0,
            Self::Upstreams => 1,
        }
    }
}

/// Key of an item.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct ItemKey(Arc<str>);

impl ItemKey {
    /// Makes a key.
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

/// One value of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: ItemKey,
    /// Revision of its latest change.
    pub revision: Revision,
    /// Its value; absent once it was removed.
    pub value: Option<Bytes>,
}

/// Part of a list of all items of a section.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether more items follow.
    pub has_more: bool,
    /// Revision of the store when the page was made.
    pub revision: Revision,
}

/// Changes of a section after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Items that were written or removed, in the order of their revisions.
    pub items: Vec<Item>,
    /// Revision up to which the changes are complete.
    pub revision: Revision,
}
