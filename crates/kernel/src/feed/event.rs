//! Events that the feed handles and actions that it requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use derive_more::Display;
use derive_more::From;

use super::AdapterError;
use super::CatalogAnswer;
use super::CatalogRequest;
use super::Changes;
use super::Era;
use super::ItemKey;
use super::Page;
use super::Revision;
use super::Section;

/// Identifier of a read of the store or a poll of a peer, assigned by the feed.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FetchId(pub u64);

/// Identifier of a long poll received from a peer, assigned by the driver.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PollId(pub u64);

/// Reason why a read of the store or a poll of a peer failed.
#[derive(Clone, Debug, Display, From, PartialEq, Eq)]
pub enum FetchFailure {
    /// No complete response arrived before the deadline.
    #[display("no answer in time")]
    Timeout,
    /// The connection could not be opened, or it broke.
    #[display("connection failed")]
    Unreachable,
    /// The response cannot be used.
    #[display("{_0}")]
    Invalid(AdapterError),
}

/// Input of the feed.
#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// The store returned a page of a section.
    PageReceived {
        /// Identifier of the read.
        fetch: FetchId,
        /// Items of the page.
        page: Page,
    },
    /// The store returned changes of a section.
    ChangesReceived {
        /// Identifier of the read.
        fetch: FetchId,
        /// Changed items.
        changes: Changes,
    },
    /// A peer answered a poll.
    PeerAnswered {
        /// Identifier of the poll.
        fetch: FetchId,
        /// Answer of the peer.
        answer: Box<CatalogAnswer>,
    },
    /// A read of the store or a poll of a peer failed.
    FetchFailed {
        /// Identifier of the read or poll.
        fetch: FetchId,
        /// Reason of the failure.
        failure: FetchFailure,
    },
    /// A peer sent a long poll.
    PollReceived {
        /// Identifier of the long poll.
        poll: PollId,
        /// Position of the polling node and its longest wait.
        request: CatalogRequest,
    },
    /// A peer stopped waiting for the answer to its long poll.
    PollCancelled {
        /// Identifier of the long poll.
        poll: PollId,
    },
    /// A request was routed under a newer version than the one in effect.
    CatchUp {
        /// Version that the request was routed under.
        version: Version,
        /// VM of the node that has this version.
        from: VmName,
    },
    /// The time requested by [`FeedAction::WakeAt`] was reached.
    Tick,
}

/// Output of the feed, executed by its driver.
#[derive(Clone, Debug)]
pub enum FeedAction {
    /// Read a page of a section from the store.
    List {
        /// Identifier of the read.
        fetch: FetchId,
        /// Section to read.
        section: Section,
        /// Last key of the previous page; absent for the first page.
        after: Option<ItemKey>,
        /// Time by which the response has to begin.
        deadline: Time,
    },
    /// Read the changes of a section from the store.
    Watch {
        /// Identifier of the read.
        fetch: FetchId,
        /// Section to read.
        section: Section,
        /// Revision after which changes are requested.
        after: Revision,
        /// Longest time for which the store may hold the request until a change.
        wait: Duration,
        /// Time by which the response has to begin.
        deadline: Time,
    },
    /// Poll a peer for changes.
    PollPeer {
        /// Identifier of the poll.
        fetch: FetchId,
        /// Address on which the peer accepts exchanges.
        peer: SocketAddr,
        /// Position of the polling node and its longest wait.
        request: CatalogRequest,
        /// Time by which the response has to begin.
        deadline: Time,
    },
    /// Answer a long poll of a peer.
    AnswerPoll {
        /// Identifier of the long poll.
        poll: PollId,
        /// Answer to send.
        answer: Box<CatalogAnswer>,
    },
    /// A configuration takes effect.
    Configured(Arc<Snapshot>),
    /// The local target registered its remaining time in cold start.
    ColdStart(Duration),
    /// Write a line to the log.
    Report(FeedReport),
    /// Send [`FeedEvent::Tick`] at this time.
    WakeAt(Time),
}

/// Event of the feed that is written to the log.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FeedReport {
    /// The store responded for the first time or after an outage.
    #[display("store available; {section} read at revision {revision}")]
    StoreRecovered {
        /// Section that was read.
        section: Section,
        /// Revision up to which the section is complete.
        revision: Revision,
    },
    /// A read of a section failed; further failures are not reported until a read
    /// of the section succeeds.
    #[display("store unavailable: reading {section} failed: {failure}")]
    StoreFailed {
        /// Section that was read.
        section: Section,
        /// Reason of the failure.
        failure: FetchFailure,
    },
    /// The store was restored from an older copy of its data.
    #[display("store restored from an older copy: era {era} after era {known}")]
    StoreRestored {
        /// Era that was known before.
        known: Era,
        /// Era of the restored store.
        era: Era,
    },
    /// A response of the store is from an era before the latest known one.
    #[display("{section} read from era {era} ignored: era {known} is known")]
    OutdatedResponse {
        /// Section that was read.
        section: Section,
        /// Era of the response.
        era: Era,
        /// Latest known era.
        known: Era,
    },
    /// An item is missing from a restored store and stays in effect.
    #[display("item {key} kept: it may have been lost in the restore of the store")]
    ItemKept {
        /// Key of the item.
        key: ItemKey,
    },
    /// A configuration has kinds whose semantics the adapter doesn't know.
    #[display("kinds with unknown semantics {semantics:?} run at most once")]
    UnknownSemantics {
        /// The word that the platform uses.
        semantics: String,
    },
    /// An item cannot be decoded. A previous configuration stays in effect; any other
    /// previous value is no longer used.
    #[display("item {key} at revision {revision} refused: {problem}")]
    ItemRefused {
        /// Key of the item.
        key: ItemKey,
        /// Revision of the item.
        revision: Revision,
        /// What is wrong with the item.
        problem: AdapterError,
    },
    /// The node switched to another source.
    #[display("source is {source}")]
    Source {
        /// New source.
        source: SourceName,
    },
    /// A peer is not followed until its backoff ends.
    #[display("peer {vm} not followed: {reason}")]
    PeerSkipped {
        /// VM of the peer.
        vm: VmName,
        /// Why the peer cannot be followed.
        reason: PeerProblem,
    },
}

/// Source of a node's data.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SourceName {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another node, by its VM.
    #[display("peer {_0}")]
    Peer(VmName),
}

/// Reason why a peer is not followed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PeerProblem {
    /// The poll of the peer failed.
    #[display("{_0}")]
    Unreachable(FetchFailure),
    /// The store last confirmed the peer's data too long ago.
    #[display("its view is {}ms old", _0.as_millis())]
    Stale(Duration),
    /// The store has never confirmed the peer's data.
    #[display("it knows nothing yet")]
    Empty,
    /// The peer does not know yet that the store was restored.
    #[display("its view is from before the restore of the store")]
    Behind,
}
