//! Reads the configuration and the upstreams from a platform's store and
//! distributes them between nodes.
//!
//! The platform's store is read-only, and every read of it has a cost. In each
//! availability zone one node, the reader, reads the store. It is the node with
//! the lowest rank among the VMs listed in the store, so no election is needed.
//! The other nodes are followers: they long-poll the reader for changes. A node
//! whose source fails or becomes stale moves on to the node with the next rank, and
//! finally to the store itself.
//!
//! [`Feed`] is the state machine. `responses` handles what the store and peers
//! send, and `step` runs after every event: it builds a changed configuration,
//! answers polls and starts reads. `section_reader` schedules the reads of one
//! section of the store, and `peers` selects the peers to follow and to ask. `comparison`
//! polls peers, also of other zones, and `answers` answers their polls. `timing` derives
//! all limits from the bound on a change, and `freshness` says when the view was last proved.
//! `catalog` holds
//! the newest value of every item, `order` says which of two values is newer, `restore`
//! decides what stays in effect after the store was restored from an older copy, and
//! `compile` builds one [`Snapshot`] from
//! it. An [`Adapter`] translates between a platform's wire format and these types.

mod adapter;
mod answers;
mod catalog;
mod comparison;
mod compile;
mod event;
mod freshness;
mod item;
mod message;
mod order;
mod peers;
mod responses;
mod restore;
mod section_reader;
mod status;
mod step;
mod timing;

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
pub use self::adapter::AdapterPlugin;
pub use self::adapter::Heartbeat;
pub use self::adapter::Record;
pub use self::adapter::UpstreamRecord;
pub use self::adapter::find_adapter;
use self::catalog::Catalog;
use self::catalog::Sequence;
pub use self::event::FeedAction;
pub use self::event::FeedEvent;
pub use self::event::FeedReport;
pub use self::event::FetchFailure;
pub use self::event::FetchId;
pub use self::event::PeerProblem;
pub use self::event::PollId;
pub use self::event::SourceName;
use self::freshness::Freshness;
pub use self::item::Changes;
pub use self::item::Era;
pub use self::item::Item;
pub use self::item::ItemKey;
pub use self::item::Page;
pub use self::item::Revision;
pub use self::item::Section;
pub use self::message::CatalogAnswer;
pub use self::message::CatalogRequest;
pub use self::message::Position;
pub use self::message::Progress;
use self::peers::Peers;
use self::section_reader::SectionReader;
pub use self::status::FeedStatus;
pub use self::status::FeedView;
pub use self::timing::ChangeBound;
pub use self::timing::FeedTiming;

/// Configuration of a node's feed at startup.
#[derive(Clone, Debug)]
pub struct FeedConfig {
    /// VM that the node runs on, named by its IP address.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// All availability zones with their regions.
    pub zones: Vec<Zone>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Port on which the nodes of all VMs accept exchanges.
    pub peer_port: u16,
    /// Nodes to poll while the store is unavailable and no other node is known.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time. Its nodes then ask the seeds
    /// before they read the store.
    pub is_first_start: bool,
    /// Adapter of the platform.
    pub adapter: Arc<dyn Adapter>,
    /// Time within which a change has to take effect.
    pub bound: ChangeBound,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// State machine that decides where a node reads the platform's data, and builds
/// one complete configuration from it.
#[derive(Debug)]
pub struct Feed {
    cfg: FeedConfig,
    timing: FeedTiming,
    catalog: Catalog,
    /// Read schedule of each section, used while this node is the reader.
    readers: [SectionReader; Section::ALL.len()],
    peers: Peers,
    outgoing_poll: Option<OutgoingPoll>,
    /// Comparisons with other nodes that are in flight.
    comparisons: BTreeMap<FetchId, VmName>,
    /// Number of comparisons so far.
    comparison_count: u64,
    /// Time of the next comparison.
    next_comparison_at: Time,
    /// Whether the followed source failed since its last fresh answer.
    is_source_lost: bool,
    pending_polls: BTreeMap<PollId, PendingPoll>,
    deferred_removals: BTreeMap<ItemKey, DeferredRemoval>,
    /// Number of the latest [`FetchId`].
    last_fetch: u64,
    freshness: Freshness,
    /// End of the latest store outage, or time at which a restore was noticed.
    store_recovered_at: Option<Time>,
    /// Latest known era of the store.
    era: Era,
    /// Time at which the latest restore of the store was noticed.
    restored_at: Option<Time>,
    /// Whether the store has stated its era in any response.
    states_era: bool,
    /// Whether a peer with confirmed data has answered since the start of the process.
    has_peer_answer: bool,
    /// Time of the latest poll of a random peer.
    last_any_poll_at: Time,
    source: Option<SourceName>,
    /// Configuration in effect.
    snapshot: Option<Arc<Snapshot>>,
    /// Sequence number of the catalog when it was last compiled.
    compiled_sequence: u64,
    /// Registration of the local target.
    own_record: Option<UpstreamRecord>,
    wake_at: Option<Time>,
    rng: fastrand::Rng,
    actions: Vec<FeedAction>,
    /// Time of the latest event.
    last_event_at: Time,
    store_reads: u64,
    /// Successful responses of the store.
    store_responses: u64,
    /// Earliest possible start of the current store outage; set if the latest
    /// read of the store failed.
    store_down_since: Option<Time>,
}

/// Poll of a peer that is in flight.
#[derive(Debug)]
struct OutgoingPoll {
    fetch: FetchId,
    /// VM of the peer; absent if the poll went to a seed.
    vm: Option<VmName>,
}

/// Long poll of a peer that waits for a change.
#[derive(Debug)]
struct PendingPoll {
    request: CatalogRequest,
    until: Time,
    /// Time of the last proof of the view when the poll arrived.
    confirmed_at: Option<Time>,
    /// Sequence number up to which no change concerns the polling node.
    checked: Option<Sequence>,
}

/// Removal that is applied only after a grace period, unless the item comes back.
#[derive(Debug)]
struct DeferredRemoval {
    section: Section,
    item: Item,
    until: Time,
}

impl Feed {
    /// Creates a feed with an empty catalog.
    #[must_use]
    pub fn new(cfg: FeedConfig) -> Self {
        let timing = FeedTiming::derive(cfg.bound);
        Self {
            timing,
            catalog: Catalog::new(cfg.adapter.clone()),
            readers: Section::ALL.map(|section| SectionReader::new(section, timing)),
            peers: Peers::new(timing),
            outgoing_poll: None,
            comparisons: BTreeMap::new(),
            comparison_count: 0,
            next_comparison_at: Time::ZERO,
            is_source_lost: false,
            pending_polls: BTreeMap::new(),
            deferred_removals: BTreeMap::new(),
            last_fetch: 0,
            freshness: Freshness::default(),
            store_recovered_at: None,
            era: Era::default(),
            restored_at: None,
            states_era: false,
            has_peer_answer: false,
            last_any_poll_at: Time::ZERO,
            source: None,
            snapshot: None,
            compiled_sequence: 0,
            own_record: None,
            wake_at: None,
            rng: fastrand::Rng::with_seed(cfg.seed),
            actions: Vec::new(),
            last_event_at: Time::ZERO,
            store_reads: 0,
            store_responses: 0,
            store_down_since: None,
            cfg,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Now, event: FeedEvent, actions: &mut Vec<FeedAction>) {
        let now = now.mono;
        self.last_event_at = now;
        match event {
            FeedEvent::PageReceived { fetch, page } => self.on_page(now, fetch, page),
            FeedEvent::ChangesReceived { fetch, changes } => self.on_changes(now, fetch, changes),
            FeedEvent::PeerAnswered { fetch, answer } => self.on_answer(now, fetch, &answer),
            FeedEvent::FetchFailed { fetch, failure } => self.on_failure(now, fetch, &failure),
            FeedEvent::PollReceived { poll, request } => self.on_poll(now, poll, request),
            FeedEvent::PollCancelled { poll } => {
                self.pending_polls.remove(&poll);
            }
            FeedEvent::CatchUp { version, from } => self.catch_up(now, version, &from),
            FeedEvent::Tick => {}
        }
        self.step(now);
        actions.append(&mut self.actions);
    }
}
