//! What a platform publishes: read by a few nodes, passed on to the others.
//!
//! The platform's store can only be read, and each read has its price. In each
//! availability zone one node reads it, chosen by rank among the VMs that the
//! store itself lists, so nobody is elected. The others follow that node by
//! questions that wait for a change. A node whose source fails or grows old
//! moves on to the next in rank, in the end to the store.

mod adapter;
mod catalog;
mod compile;
mod event;
mod item;
mod message;
mod peers;
mod section_reader;
mod status;
mod step;
mod take;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use celeryshore_model::Incarnation;
use celeryshore_model::Now;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::VmName;
use celeryshore_model::Zone;
use celeryshore_model::ZoneName;

pub use self::adapter::Adapter;
pub use self::adapter::AdapterError;
pub use self::adapter::Platform;
pub use self::adapter::Record;
pub use self::adapter::UpstreamRecord;
pub use self::adapter::platform;
use self::catalog::Catalog;
pub use self::event::FeedAction;
pub use self::event::FeedEvent;
pub use self::event::FeedReport;
pub use self::event::FetchFailure;
pub use self::event::FetchId;
pub use self::event::PeerProblem;
pub use self::event::QuestionId;
pub use self::event::SourceName;
pub use self::item::Changes;
pub use self::item::Item;
pub use self::item::ItemKey;
pub use self::item::Page;
pub use self::item::Revision;
pub use self::item::Section;
pub use self::message::CatalogAnswer;
pub use self::message::CatalogRequest;
pub use self::message::Position;
use self::peers::Peers;
use self::section_reader::SectionReader;
pub use self::status::FeedStatus;

/// What a node knows of itself and its platform when it starts.
#[derive(Clone, Debug)]
pub struct FeedConfig {
    /// VM that the node runs on, named by its address.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Availability zones with their regions.
    pub zones: Vec<Zone>,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// Port at which the nodes of all VMs take exchanges.
    pub peer_port: u16,
    /// Nodes to ask while the store does not answer and no other is known.
    pub seeds: Vec<SocketAddr>,
    /// The platform's names and messages.
    pub adapter: Arc<dyn Adapter>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Decides where a node reads what the platform publishes, and makes one whole
/// configuration of it.
#[derive(Debug)]
pub struct Feed {
    cfg: FeedConfig,
    catalog: Catalog,
    readers: [SectionReader; Section::ALL.len()],
    peers: Peers,
    asking: Option<Asking>,
    questions: BTreeMap<QuestionId, Question>,
    held: BTreeMap<ItemKey, Held>,
    fetches: u64,
    confirmed_at: Option<Time>,
    returned_at: Option<Time>,
    source: Option<SourceName>,
    snapshot: Option<Arc<Snapshot>>,
    compiled: u64,
    own: Option<UpstreamRecord>,
    wake_at: Option<Time>,
    rng: fastrand::Rng,
    out: Vec<FeedAction>,
    /// Time of the latest event.
    latest: Time,
    store_reads: u64,
    /// Answers of the store.
    answers: u64,
    /// Since when the store may be away, if the latest read of it failed.
    lost_since: Option<Time>,
}

/// A question to a peer that is under way.
#[derive(Debug)]
struct Asking {
    fetch: FetchId,
    vm: Option<VmName>,
}

/// A peer's question that waits for a change.
#[derive(Debug)]
struct Question {
    request: CatalogRequest,
    until: Time,
}

/// A removal that is believed only after a while.
#[derive(Debug)]
struct Held {
    item: Item,
    until: Time,
}

impl Feed {
    /// Makes the feed of a process that starts now and knows nothing.
    #[must_use]
    pub fn new(cfg: FeedConfig) -> Self {
        Self {
            catalog: Catalog::new(cfg.adapter.clone()),
            readers: Section::ALL.map(SectionReader::new),
            peers: Peers::default(),
            asking: None,
            questions: BTreeMap::new(),
            held: BTreeMap::new(),
            fetches: 0,
            confirmed_at: None,
            returned_at: None,
            source: None,
            snapshot: None,
            compiled: 0,
            own: None,
            wake_at: None,
            rng: fastrand::Rng::with_seed(cfg.seed),
            out: Vec::new(),
            latest: Time::ZERO,
            store_reads: 0,
            answers: 0,
            lost_since: None,
            cfg,
        }
    }

    /// Takes one event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Now, event: FeedEvent, actions: &mut Vec<FeedAction>) {
        let now = now.mono;
        self.latest = now;
        match event {
            FeedEvent::Listed { fetch, page } => self.listed(now, fetch, page),
            FeedEvent::Watched { fetch, changes } => self.watched(now, fetch, changes),
            FeedEvent::Answered { fetch, answer } => self.answered(now, fetch, &answer),
            FeedEvent::Failed { fetch, failure } => self.failed(now, fetch, &failure),
            FeedEvent::Asked { question, request } => self.asked(now, question, request),
            FeedEvent::Withdrawn { question } => {
                self.questions.remove(&question);
            }
            FeedEvent::CatchUp { version, from } => self.catch_up(now, version, &from),
            FeedEvent::Tick => {}
        }
        self.step(now);
        actions.append(&mut self.out);
    }
}
