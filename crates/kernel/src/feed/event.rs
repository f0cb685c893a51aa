//! Events and actions of the feed.

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
use super::ItemKey;
use super::Page;
use super::Revision;
use super::Section;

/// A read of the store or of a peer; numbered by the feed.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FetchId(pub u64);

/// A question of a peer; numbered by the driver.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QuestionId(pub u64);

/// Why a read brought nothing.
#[derive(Clone, Debug, Display, From, PartialEq, Eq)]
pub enum FetchFailure {
    /// No whole answer came in time.
    #[display("no answer in time")]
    Timeout,
    /// The connection could not be opened, or it broke.
    #[display("connection failed")]
    Unreachable,
    /// The answer cannot be used.
    #[display("{_0}")]
    Refused(AdapterError),
}

/// What can happen to the feed.
#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// The store answered with a page of a section.
    Listed {
        /// Number of the read.
        fetch: FetchId,
        /// The page.
        page: Page,
    },
    /// The store answered with the changes of a section.
    Watched {
        /// Number of the read.
        fetch: FetchId,
        /// The changes.
        changes: Changes,
    },
    /// A peer answered.
    Answered {
        /// Number of the read.
        fetch: FetchId,
        /// What it knows.
        answer: Box<CatalogAnswer>,
    },
    /// A read brought nothing.
    Failed {
        /// Number of the read.
        fetch: FetchId,
        /// Why.
        failure: FetchFailure,
    },
    /// A peer asked.
    Asked {
        /// Number of the question.
        question: QuestionId,
        /// The question.
        request: CatalogRequest,
    },
    /// A peer no longer waits for its answer.
    Withdrawn {
        /// Number of the question.
        question: QuestionId,
    },
    /// A request came under a newer version than the one in force.
    CatchUp {
        /// The version.
        version: Version,
        /// VM whose node has it.
        from: VmName,
    },
    /// The time that was asked for has come.
    Tick,
}

/// What the feed wants done.
#[derive(Clone, Debug)]
pub enum FeedAction {
    /// Read a page of a section from the store.
    List {
        /// Number of the read.
        fetch: FetchId,
        /// The section.
        section: Section,
        /// Key before the page.
        after: Option<ItemKey>,
        /// When to give up.
        deadline: Time,
    },
    /// Read the changes of a section from the store.
    Watch {
        /// Number of the read.
        fetch: FetchId,
        /// The section.
        section: Section,
        /// Revision before the changes.
        after: Revision,
        /// How long the store may wait for a change.
        wait: Duration,
        /// When to give up.
        deadline: Time,
    },
    /// Ask a peer what it knows.
    Ask {
        /// Number of the read.
        fetch: FetchId,
        /// Where the peer takes exchanges.
        peer: SocketAddr,
        /// The question.
        request: CatalogRequest,
        /// When to give up.
        deadline: Time,
    },
    /// Answer a peer.
    Answer {
        /// Number of the question.
        question: QuestionId,
        /// The answer.
        answer: Box<CatalogAnswer>,
    },
    /// A configuration came into force.
    Configured(Arc<Snapshot>),
    /// The own target says how much longer it is in cold start.
    Cold(Duration),
    /// Something for the log.
    Report(FeedReport),
    /// Send [`FeedEvent::Tick`] at this time.
    WakeAt(Time),
}

/// What the log tells of the feed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FeedReport {
    /// The store answers again, or for the first time.
    #[display("store answers; {section} read at revision {revision}")]
    StoreRegained {
        /// Section that was read.
        section: Section,
        /// Revision that was read.
        revision: Revision,
    },
    /// The store stopped answering.
    #[display("store lost while reading {section}: {failure}")]
    StoreLost {
        /// Section that was read.
        section: Section,
        /// Why.
        failure: FetchFailure,
    },
    /// An item cannot be used; what was known before stays.
    #[display("item {key} at revision {revision} refused: {problem}")]
    Refused {
        /// Key of the item.
        key: ItemKey,
        /// Its revision.
        revision: Revision,
        /// What is wrong with it.
        problem: AdapterError,
    },
    /// This node reads the store from now on, or follows a peer.
    #[display("source is {source}")]
    Source {
        /// Where this node reads.
        source: SourceName,
    },
    /// A peer cannot be followed for now.
    #[display("peer {vm} not followed: {reason}")]
    PeerLeft {
        /// VM of the peer.
        vm: VmName,
        /// Why.
        reason: PeerProblem,
    },
}

/// Where a node reads.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SourceName {
    /// The store.
    #[display("store")]
    Store,
    /// A peer.
    #[display("peer {_0}")]
    Peer(VmName),
}

/// Why a peer is not followed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PeerProblem {
    /// It did not answer.
    #[display("{_0}")]
    Silent(FetchFailure),
    /// What it knows is too old.
    #[display("its view is {}ms old", _0.as_millis())]
    Stale(Duration),
    /// It knows nothing yet.
    #[display("it knows nothing yet")]
    Empty,
}
