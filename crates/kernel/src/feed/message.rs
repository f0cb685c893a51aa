//! Messages by which nodes poll each other's catalogs.

use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::Version;

use super::Item;
use super::Revision;
use super::Section;

/// Position in the change history of another node's catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Incarnation of the other node's process; a position is only valid for it.
    pub incarnation: Incarnation,
    /// Sequence number of the latest change received from the other node.
    pub sequence: u64,
}

/// Long poll for changes of another node's catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatalogRequest {
    /// Position of the polling node in the polled node's catalog; absent if it has
    /// received nothing yet.
    pub position: Option<Position>,
    /// Longest time for which the answer may be held until there is a change.
    pub wait: Duration,
    /// Revisions up to which the polling node has applied all changes; absent if it
    /// compares by position only. Items that did not change since are not transferred.
    pub known: Option<[Revision; Section::ALL.len()]>,
}

/// What a node's catalog has of the change history of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Revisions up to which all changes are applied, none of them deferred.
    pub settled: [Revision; Section::ALL.len()],
    /// Revisions after which the tombstones of all removed items are known.
    pub history: [Revision; Section::ALL.len()],
}

/// All items of a node's catalog, or the changes since the requested position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogAnswer {
    /// Position after this answer.
    pub position: Position,
    /// Time since both sections of the answering node's data were last confirmed by the
    /// store; absent if they never were.
    pub age: Option<Duration>,
    /// Version of the newest configuration in the answering node's catalog.
    pub version: Version,
    /// Revisions up to which the sections are complete.
    pub revisions: [Revision; Section::ALL.len()],
    /// Progress by which the polling node may ask other nodes; absent if the answering node
    /// doesn't state it.
    pub progress: Option<Progress>,
    /// Whether `items` is the complete catalog rather than the changes.
    pub is_whole: bool,
    /// All items, or the changed items with tombstones.
    pub items: Vec<(Section, Item)>,
}
