//! Messages by which nodes pass on what they know.

use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::Version;

use super::Item;
use super::Revision;
use super::Section;

/// How much of another node's catalog a node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Life of the other node's process.
    pub incarnation: Incarnation,
    /// Number of the latest change that was taken over from it.
    pub sequence: u64,
}

/// Question for what another node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatalogRequest {
    /// What the asking node has of this one's catalog, if anything.
    pub position: Option<Position>,
    /// How long the answer may wait for a change.
    pub wait: Duration,
}

/// What a node knows, or what changed since the position asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogAnswer {
    /// Position after this answer.
    pub position: Position,
    /// Time since the store confirmed what the answering node knows; absent if
    /// it never did.
    pub age: Option<Duration>,
    /// Version of the configuration in force there.
    pub version: Version,
    /// Revisions up to which each section is complete.
    pub revisions: [Revision; Section::ALL.len()],
    /// Whether the items are all that there are.
    pub is_whole: bool,
    /// Items that changed, or all of them.
    pub items: Vec<(Section, Item)>,
}
