//! Status of the feed for the state dump and metrics.

use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::Version;
use serde::Serialize;
use serde_json::json;

use super::Era;
use super::Feed;
use super::Revision;
use super::Section;
use super::SourceName;
use crate::DumpSection;
use crate::Kernel;

/// Where the configuration in effect comes from, and how old it may be.
#[derive(Clone, Copy, Debug)]
pub struct FeedView<'a> {
    /// Source that the node reads from; absent before its first read.
    pub source: Option<&'a SourceName>,
    /// Time since both sections were last proved to be up to date; absent if they never
    /// were.
    pub age: Option<Duration>,
    /// Revisions up to which the sections are complete.
    pub revisions: [Revision; Section::ALL.len()],
}

/// Status of the feed, for operators and metrics.
#[derive(Clone, Debug, Serialize)]
pub struct FeedStatus {
    /// Source that the node reads from: the store or a peer.
    pub source: Option<String>,
    /// Whether the node reads the store itself.
    pub is_reader: bool,
    /// Time from the store's latest confirmation of the data to the latest event.
    pub age: Option<Duration>,
    /// Version of the newest configuration in the catalog.
    pub version: Version,
    /// Revisions up to which the sections are complete.
    pub revisions: [Revision; Section::ALL.len()],
    /// Latest known era of the store.
    pub era: Era,
    /// Number of reads of the store since the start of the process.
    pub store_reads: u64,
    /// Number of other nodes that are known.
    pub peers: usize,
    /// Number of comparisons with other nodes since the start of the process.
    pub comparisons: u64,
    /// Whether the view may lack a change that is due.
    pub is_outdated: bool,
    /// Bound on the time until a change is in effect.
    pub bound: Duration,
    /// Number of peers' long polls that wait for a change.
    #[serde(rename = "questions")]
    pub pending_polls: usize,
    /// Number of removals that are not applied yet.
    #[serde(rename = "held")]
    pub deferred_removals: usize,
}

impl Feed {
    /// Returns where the configuration in effect comes from.
    #[must_use]
    pub fn view(&self, now: Time) -> FeedView<'_> {
        FeedView {
            source: self.source.as_ref(),
            age: self.age(now),
            revisions: Section::ALL.map(|section| self.catalog.revision(section)),
        }
    }

    /// Returns `true` if the store has not confirmed the data for so long that a newer
    /// configuration may be in effect elsewhere.
    #[must_use]
    pub fn is_outdated(&self, now: Time) -> bool {
        let age = self.age(now);
        age.is_some_and(|age| age > self.timing.max_view_age)
    }

    /// Returns the time since both sections were last proved to be up to date; absent if
    /// they never were.
    pub(super) fn age(&self, now: Time) -> Option<Duration> {
        self.freshness.confirmed_at().map(|at| now - at)
    }

    /// Returns the status after the latest event.
    #[must_use]
    pub fn status(&self) -> FeedStatus {
        FeedStatus {
            source: self.source.as_ref().map(ToString::to_string),
            is_reader: self.source == Some(SourceName::Store),
            age: self.age(self.last_event_at),
            version: self.catalog.version(),
            revisions: Section::ALL.map(|section| self.catalog.revision(section)),
            era: self.era,
            store_reads: self.store_reads,
            peers: self.peers.len(),
            comparisons: self.comparison_count,
            is_outdated: self.is_outdated(self.last_event_at),
            bound: self.cfg.bound.get(),
            pending_polls: self.pending_polls.len(),
            deferred_removals: self.deferred_removals.len(),
        }
    }

    /// Returns the version of the configuration in effect.
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
