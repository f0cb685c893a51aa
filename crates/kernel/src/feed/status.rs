//! Summary of the feed.

use std::time::Duration;

use celeryshore_model::Version;
use serde::Serialize;
use serde_json::json;

use super::Feed;
use super::Revision;
use super::Section;
use super::SourceName;
use crate::Kernel;
use crate::Section as DumpSection;

/// Summary of the feed, for people and metrics.
#[derive(Clone, Debug, Serialize)]
pub struct FeedStatus {
    /// Where this node reads.
    pub source: Option<String>,
    /// Whether it reads the store itself.
    pub is_reader: bool,
    /// Time from the store's latest confirmation to the latest event.
    pub age: Option<Duration>,
    /// Version in force.
    pub version: Version,
    /// Revisions up to which the sections are complete.
    pub revisions: [Revision; Section::ALL.len()],
    /// Reads of the store so far.
    pub store_reads: u64,
    /// Other nodes that are known.
    pub peers: usize,
    /// Peers' questions that wait for a change.
    pub questions: usize,
    /// Removals that are not believed yet.
    pub held: usize,
}

impl Feed {
    /// Returns a summary.
    #[must_use]
    pub fn status(&self) -> FeedStatus {
        FeedStatus {
            source: self.source.as_ref().map(ToString::to_string),
            is_reader: self.source == Some(SourceName::Store),
            age: self.confirmed_at.map(|at| self.latest - at),
            version: self.catalog.version(),
            revisions: Section::ALL.map(|section| self.catalog.revision(section)),
            store_reads: self.store_reads,
            peers: self.peers.len(),
            questions: self.questions.len(),
            held: self.held.len(),
        }
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.snapshot
            .as_ref()
            .map(|s| s.version)
            .unwrap_or_default()
    }
}

inventory::submit! {
    DumpSection {
        name: "feed",
        render: |kernel: &Kernel| json!(kernel.feed.as_ref().map(Feed::status)),
    }
}
