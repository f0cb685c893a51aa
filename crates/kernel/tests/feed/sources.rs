//! Tests of the feed: choice of the source, store outages and invalid items.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::Adapter;
use celeryshore_kernel::AdapterError;
use celeryshore_kernel::CatalogAnswer;
use celeryshore_kernel::CatalogRequest;
use celeryshore_kernel::Changes;
use celeryshore_kernel::Feed;
use celeryshore_kernel::FeedAction;
use celeryshore_kernel::FeedConfig;
use celeryshore_kernel::FeedEvent;
use celeryshore_kernel::FetchFailure;
use celeryshore_kernel::FetchId;
use celeryshore_kernel::Item;
use celeryshore_kernel::ItemKey;
use celeryshore_kernel::Page;
use celeryshore_kernel::PollId;
use celeryshore_kernel::Position;
use celeryshore_kernel::Record;
use celeryshore_kernel::StoreRevision;
use celeryshore_kernel::StoreSection;
use celeryshore_kernel::UpstreamRecord;
use celeryshore_model::ByteSize;
use celeryshore_model::Dialect;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_model::Index;
use celeryshore_model::Limits;
use celeryshore_model::Now;
use celeryshore_model::RetryPolicy;
use celeryshore_model::Service;
use celeryshore_model::Share;
use celeryshore_model::Slots;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::UpstreamState;
use celeryshore_model::VmName;

const ZONE: &str = "glasgow";
const VMS: [&str; 3] = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];

/// Adapter whose values are a configuration index under the key `conf`, and the
/// address of an upstream under any other key.
#[derive(Debug)]
struct TestAdapter;

impl Adapter for TestAdapter {
    fn dialect(&self) -> Dialect {
        Dialect::default()
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }

    fn list(&self, _: StoreSection, _: Option<&ItemKey>) -> HttpRequest {
        HttpRequest::default()
    }

    fn watch(&self, _: StoreSection, _: StoreRevision, _: Duration) -> HttpRequest {
        HttpRequest::default()
    }

    fn read_page(&self, _: &HttpResponse) -> Result<Page, AdapterError> {
        Ok(Page::default())
    }

    fn read_changes(&self, _: &HttpResponse) -> Result<Changes, AdapterError> {
        Ok(Changes::default())
    }

    fn decode(&self, item: &Item) -> Result<Record, AdapterError> {
        let value = item.value.as_deref().unwrap_or_default();
        let text = std::str::from_utf8(value).unwrap_or_default();
        let invalid = |_| AdapterError::Malformed {
            field: "value".to_owned(),
            problem: "is not a configuration index".to_owned(),
        };
        if item.key.as_str() == "conf" {
            let index = text.parse().map_err(invalid)?;
            return Ok(Record::Configuration(Arc::new(configuration(index))));
        }
        let addr: SocketAddr = text.parse().map_err(|_| AdapterError::HistoryGone)?;
        Ok(Record::Upstream(UpstreamRecord {
            name: item.key.as_str().parse().expect("valid name"),
            service: "ordering".parse().expect("valid service"),
            zone: ZONE.parse().expect("valid zone"),
            addr,
            slots: Slots::new(6),
            state: UpstreamState::Serving,
            incarnation: Incarnation(1),
            cold_remaining: Duration::ZERO,
        }))
    }
}

fn configuration(index: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.version.index = Index(index);
    let service = Service {
        name: "ordering".parse().expect("valid service"),
        limits: Limits {
            slots: Slots::default(),
            cold_slots: Slots::default(),
            cold_start: None,
            queue: Slots::default(),
            connections: Slots::new(10),
            body: ByteSize::new(1),
        },
        retry: RetryPolicy {
            attempts: 1,
            budget: Share::default(),
        },
        kinds: std::collections::BTreeMap::new(),
        upstreams: Vec::new(),
        health_path: None,
    };
    snapshot.services.insert(service.name.clone(), service);
    snapshot
}

/// Feed under test with its clock, its actions and its latest configuration.
struct Node {
    feed: Feed,
    /// Milliseconds on the monotonic clock.
    now: u64,
    /// Actions that the test has not handled yet.
    actions: Vec<FeedAction>,
    snapshot: Option<Arc<Snapshot>>,
}

impl Node {
    fn new(vm: &str) -> Self {
        let cfg = FeedConfig {
            vm: vm.parse().expect("valid VM"),
            zone: ZONE.parse().expect("valid zone"),
            zones: Vec::new(),
            incarnation: Incarnation(7),
            peer_port: 7_000,
            seeds: vec!["10.0.0.9:7000".parse().expect("valid address")],
            adapter: Arc::new(TestAdapter),
            seed: 1,
        };
        let mut node = Self {
            feed: Feed::new(cfg),
            now: 1_000,
            actions: Vec::new(),
            snapshot: None,
        };
        node.send(FeedEvent::Tick);
        node
    }

    fn send(&mut self, event: FeedEvent) {
        let now = Now {
            mono: Time::from_micros(self.now * 1_000),
            ..Now::default()
        };
        let mut actions = Vec::new();
        self.feed.handle(now, event, &mut actions);
        for action in &actions {
            if let FeedAction::Configured(snapshot) = action {
                self.snapshot = Some(snapshot.clone());
            }
        }
        self.actions.extend(actions);
    }

    fn advance(&mut self, millis: u64) {
        self.now += millis;
        self.send(FeedEvent::Tick);
    }

    /// Removes the latest read of a section from the actions and returns it.
    fn take_read(&mut self, wanted: StoreSection) -> Option<FetchId> {
        let position = self.actions.iter().rposition(|action| match action {
            FeedAction::List { section, .. } | FeedAction::Watch { section, .. } => {
                *section == wanted
            }
            _ => false,
        })?;
        match self.actions.remove(position) {
            FeedAction::List { fetch, .. } | FeedAction::Watch { fetch, .. } => Some(fetch),
            _ => None,
        }
    }

    /// Removes all polls from the actions and returns the latest one.
    fn take_poll(&mut self) -> Option<(FetchId, SocketAddr)> {
        let mut polls = self.actions.iter().rev().filter_map(|action| match action {
            FeedAction::PollPeer { fetch, peer, .. } => Some((*fetch, *peer)),
            _ => None,
        });
        let last = polls.next();
        self.actions
            .retain(|a| !matches!(a, FeedAction::PollPeer { .. }));
        last
    }

    /// Completes the initial lists: a configuration and an upstream on each VM.
    fn complete_lists(&mut self, vms: &[&str]) {
        let fetch = self
            .take_read(StoreSection::Configuration)
            .expect("pending list");
        let page = Page {
            items: vec![item("conf", 1, "5")],
            has_more: false,
            revision: StoreRevision(10),
        };
        self.send(FeedEvent::PageReceived { fetch, page });
        let fetch = self
            .take_read(StoreSection::Upstreams)
            .expect("pending list");
        let items = vms.iter().map(|vm| item(&key(vm), 2, &format!("{vm}:80")));
        let page = Page {
            items: items.collect(),
            has_more: false,
            revision: StoreRevision(10),
        };
        self.send(FeedEvent::PageReceived { fetch, page });
    }

    /// Completes the initial lists of an empty store.
    fn complete_empty_lists(&mut self) {
        for section in StoreSection::ALL {
            let fetch = self.take_read(section).expect("pending list");
            let page = Page {
                items: Vec::new(),
                has_more: false,
                revision: StoreRevision(1),
            };
            self.send(FeedEvent::PageReceived { fetch, page });
        }
    }

    /// Completes the next read of a section with changes, after one second.
    fn send_changes(&mut self, section: StoreSection, items: Vec<Item>) {
        self.advance(1_000);
        let fetch = self.take_read(section).expect("pending read");
        let revision = items.iter().map(|i| i.revision).max().unwrap_or_default();
        let changes = Changes { items, revision };
        self.send(FeedEvent::ChangesReceived { fetch, changes });
    }

    fn fail_read(&mut self, section: StoreSection) {
        let fetch = self.take_read(section).expect("pending read");
        let failure = FetchFailure::Timeout;
        self.send(FeedEvent::FetchFailed { fetch, failure });
    }

    fn has_upstream_on(&self, vm: &str) -> bool {
        let vm: VmName = vm.parse().expect("valid VM");
        let snapshot = self.snapshot.as_ref();
        snapshot.is_some_and(|s| s.upstream_on(&vm).is_some())
    }
}

fn key(vm: &str) -> String {
    format!("i-{}", vm.replace('.', "-"))
}

fn item(key: &str, revision: u64, value: &str) -> Item {
    Item {
        key: ItemKey::new(key),
        revision: StoreRevision(revision),
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
    }
}

fn removed(vm: &str, revision: u64) -> Item {
    Item {
        value: None,
        ..item(&key(vm), revision, "")
    }
}

/// Returns the one node among all VMs that reads the store.
fn reader() -> Node {
    let nodes = VMS.map(|vm| {
        let mut node = Node::new(vm);
        node.complete_lists(&VMS);
        node
    });
    let reads = |node: &Node| node.feed.status().is_reader;
    let mut readers: Vec<_> = nodes.into_iter().filter(reads).collect();
    assert_eq!(readers.len(), 1, "one node of a zone reads the store");
    readers.remove(0)
}

/// Returns a follower with its pending poll: identifier and address of the peer.
fn follower() -> (Node, FetchId, SocketAddr) {
    let nodes = VMS.into_iter().map(|vm| {
        let mut node = Node::new(vm);
        node.complete_lists(&VMS);
        node
    });
    let mut followers = nodes.filter(|node| !node.feed.status().is_reader);
    let mut node = followers.next().expect("follower");
    let (fetch, peer) = node.take_poll().expect("pending poll");
    (node, fetch, peer)
}

#[test]
fn one_reader() {
    let _ = reader();
    let (_, _, peer) = follower();
    assert!(VMS.contains(&peer.ip().to_string().as_str()));
}

#[test]
fn unreachable_reader() {
    let (mut node, fetch, first) = follower();
    let failure = FetchFailure::Unreachable;
    node.send(FeedEvent::FetchFailed { fetch, failure });
    let next = node.take_poll().map(|(_, peer)| peer);
    assert_ne!(
        next,
        Some(first),
        "the node switches to another source at once"
    );
    assert!(next.is_some() || node.feed.status().is_reader);
}

#[test]
fn stale_reader() {
    let (mut node, fetch, first) = follower();
    let answer = CatalogAnswer {
        position: Position {
            incarnation: Incarnation(3),
            sequence: 0,
        },
        age: Some(Duration::from_secs(4)),
        version: configuration(5).version,
        revisions: [StoreRevision(9); 2],
        is_whole: false,
        items: Vec::new(),
    };
    let answer = Box::new(answer);
    node.send(FeedEvent::PeerAnswered { fetch, answer });
    assert_ne!(node.take_poll().map(|(_, peer)| peer), Some(first));
}

#[test]
fn older_peer() {
    let (mut node, fetch, _) = follower();
    let answer = CatalogAnswer {
        position: Position {
            incarnation: Incarnation(3),
            sequence: 4,
        },
        age: Some(Duration::ZERO),
        version: configuration(4).version,
        revisions: [StoreRevision(9); 2],
        is_whole: true,
        items: vec![
            (StoreSection::Configuration, item("conf", 1, "4")),
            (StoreSection::Upstreams, item("i-gone", 1, "10.0.0.8:80")),
        ],
    };
    let answer = Box::new(answer);
    node.send(FeedEvent::PeerAnswered { fetch, answer });
    assert!(
        VMS.iter().all(|vm| node.has_upstream_on(vm)),
        "an older view removes nothing"
    );
    assert!(
        !node.has_upstream_on("10.0.0.8"),
        "an older view restores no removed upstream"
    );
}

#[test]
fn expired_entry() {
    let mut node = reader();
    let other = VMS
        .iter()
        .find(|vm| node.has_upstream_on(vm))
        .expect("known upstream");
    node.advance(1_000);
    node.fail_read(StoreSection::Upstreams);
    node.send_changes(StoreSection::Upstreams, vec![removed(other, 20)]);
    node.advance(1_000);
    assert!(node.has_upstream_on(other), "the removal is deferred");
    node.advance(1_500);
    assert!(
        !node.has_upstream_on(other),
        "the removal is applied after the grace period"
    );
}

#[test]
fn returned_entry() {
    let mut node = reader();
    node.advance(1_000);
    node.fail_read(StoreSection::Upstreams);
    node.send_changes(StoreSection::Upstreams, vec![removed(VMS[2], 20)]);
    let back = item(&key(VMS[2]), 21, &format!("{}:80", VMS[2]));
    node.send_changes(StoreSection::Upstreams, vec![back]);
    node.advance(3_000);
    assert!(node.has_upstream_on(VMS[2]));
}

/// Guards against deferring removals because of an old store outage. A node fails to
/// read the store, follows a peer, and reads the store again much later. It must not
/// treat that read as the end of an outage (found by `hunt`, hronec-mesh scale-2,
/// seed 220673733256).
#[test]
fn earlier_outage() {
    let (mut node, fetch, _) = follower();
    let failure = FetchFailure::Unreachable;
    node.send(FeedEvent::FetchFailed { fetch, failure });
    while !node.feed.status().is_reader {
        let (fetch, _) = node.take_poll().expect("pending poll");
        let failure = FetchFailure::Unreachable;
        node.send(FeedEvent::FetchFailed { fetch, failure });
    }
    node.advance(800);
    node.fail_read(StoreSection::Upstreams);
    node.advance(10_000);
    assert!(!node.feed.status().is_reader, "peers are polled again");
    let mut attempts = 0;
    while !node.feed.status().is_reader {
        let (fetch, _) = node.take_poll().expect("pending poll");
        let failure = FetchFailure::Unreachable;
        node.send(FeedEvent::FetchFailed { fetch, failure });
        attempts += 1;
        assert!(
            attempts < 5,
            "the node reads the store once all peers failed"
        );
    }
    let fetch = node
        .take_read(StoreSection::Upstreams)
        .expect("pending read");
    let changes = Changes {
        items: vec![removed(VMS[2], 20)],
        revision: StoreRevision(20),
    };
    node.send(FeedEvent::ChangesReceived { fetch, changes });
    assert!(
        !node.has_upstream_on(VMS[2]),
        "the removal is applied at once"
    );
}

#[test]
fn monotonic_version() {
    let mut node = reader();
    let index = |node: &Node| node.snapshot.as_ref().map(|s| s.version.index);
    for (revision, version) in [(20, "9"), (21, "7"), (22, "nonsense")] {
        let conf = item("conf", revision, version);
        node.send_changes(StoreSection::Configuration, vec![conf]);
        assert_eq!(index(&node), Some(Index(9)));
    }
}

#[test]
fn invalid_entry() {
    let mut node = reader();
    let items = vec![
        item(&key(VMS[1]), 20, "nonsense"),
        item("i-new", 21, "10.0.0.7:80"),
    ];
    node.send_changes(StoreSection::Upstreams, items);
    assert!(
        !node.has_upstream_on(VMS[1]),
        "the invalid registration is not used"
    );
    assert!(
        node.has_upstream_on(VMS[0])
            && node.has_upstream_on(VMS[2])
            && node.has_upstream_on("10.0.0.7")
    );
    let reports = node.actions.iter();
    assert_eq!(
        reports
            .filter(|a| matches!(a, FeedAction::Report(r) if r.to_string().contains("refused")))
            .count(),
        1
    );
}

#[test]
fn ignored_heartbeats() {
    let mut node = reader();
    let poll = PollId(1);
    let position = Some(Position {
        incarnation: Incarnation(7),
        sequence: 4,
    });
    let wait = Duration::from_secs(30);
    let request = CatalogRequest { position, wait };
    node.send(FeedEvent::PollReceived { poll, request });
    let is_answered = |node: &Node| {
        let mut actions = node.actions.iter();
        actions.any(|a| matches!(a, FeedAction::AnswerPoll { .. }))
    };
    let heartbeat = item(&key(VMS[1]), 20, &format!("{}:80", VMS[1]));
    node.send_changes(StoreSection::Upstreams, vec![heartbeat]);
    assert!(!is_answered(&node), "a heartbeat is not a change");
    node.send_changes(StoreSection::Upstreams, vec![removed(VMS[1], 21)]);
    assert!(is_answered(&node), "a removal is a change");
}

#[test]
fn lost_history() {
    let mut node = reader();
    node.advance(1_000);
    let fetch = node
        .take_read(StoreSection::Upstreams)
        .expect("pending read");
    let failure = FetchFailure::Invalid(AdapterError::HistoryGone);
    node.send(FeedEvent::FetchFailed { fetch, failure });
    let is_list = |a: &FeedAction| matches!(a, FeedAction::List { .. });
    assert!(
        node.actions.iter().any(is_list),
        "the complete list is read again"
    );
}

#[test]
fn seed_poll() {
    let mut node = Node::new(VMS[0]);
    node.fail_read(StoreSection::Configuration);
    let (_, peer) = node.take_poll().expect("pending poll");
    assert_eq!(peer, "10.0.0.9:7000".parse().expect("valid address"));
}

/// Guards against all nodes reading the store when they start before the platform
/// lists any target: a node follows a seed whose VM name sorts before its own.
#[test]
fn no_targets_yet() {
    let watches = |node: &Node| {
        let reads = node.actions.iter();
        reads
            .filter(|a| matches!(a, FeedAction::Watch { .. }))
            .count()
    };
    let mut last = Node::new("10.0.0.99");
    last.complete_empty_lists();
    let (_, peer) = last.take_poll().expect("pending poll");
    assert_eq!(peer, "10.0.0.9:7000".parse().expect("valid address"));
    assert_eq!(watches(&last), 0);
    let mut first = Node::new("10.0.0.1");
    first.complete_empty_lists();
    assert!(
        first.take_poll().is_none(),
        "no seed sorts before the first node"
    );
    first.advance(1_000);
    assert_eq!(watches(&first), 2);
}

/// Guards against following a peer whose link fails repeatedly: the backoff grows with
/// every failure, even if the peer answers in between.
#[test]
fn flapping_peer() {
    let (mut node, fetch, first) = follower();
    let mut failed = fetch;
    let mut backoffs = Vec::new();
    for _ in 0..3 {
        let failure = FetchFailure::Unreachable;
        node.send(FeedEvent::FetchFailed {
            fetch: failed,
            failure,
        });
        let failed_at = node.now;
        failed = loop {
            match node.take_poll() {
                Some((fetch, peer)) if peer == first => break fetch,
                Some((fetch, _)) => {
                    let failure = FetchFailure::Unreachable;
                    node.send(FeedEvent::FetchFailed { fetch, failure });
                }
                None => node.advance(100),
            }
            assert!(node.now < failed_at + 30_000, "the peer is followed again");
        };
        backoffs.push(node.now - failed_at);
    }
    assert!(backoffs[0] < 2_000, "{backoffs:?}");
    assert!(backoffs[2] >= 2 * backoffs[0], "{backoffs:?}");
}

/// Guards against treating a broken connection to the store as an outage. A removal
/// after it is a target that leaves, and must be applied at once (incident inc-5d96).
#[test]
fn broken_read() {
    let mut node = reader();
    let other = VMS
        .iter()
        .find(|vm| node.has_upstream_on(vm))
        .expect("known upstream");
    node.advance(1_000);
    let fetch = node
        .take_read(StoreSection::Upstreams)
        .expect("pending read");
    let failure = FetchFailure::Unreachable;
    node.send(FeedEvent::FetchFailed { fetch, failure });
    node.advance(300);
    let fetch = node
        .take_read(StoreSection::Upstreams)
        .expect("pending read");
    let changes = Changes {
        items: vec![removed(other, 20)],
        revision: StoreRevision(20),
    };
    node.send(FeedEvent::ChangesReceived { fetch, changes });
    assert!(!node.has_upstream_on(other));
}

/// A store that comes back from an older copy gives its revisions out again. What is
/// written to it then has to take effect, and what the older copy holds must not.
#[test]
fn restored_store() {
    let mut node = reader();
    let index = |node: &Node| node.snapshot.as_ref().map(|s| s.version.index);
    node.send_changes(StoreSection::Configuration, vec![item("conf", 50, "7")]);
    node.advance(1_000);
    let fetch = node
        .take_read(StoreSection::Configuration)
        .expect("pending read");
    let failure = FetchFailure::Invalid(AdapterError::HistoryGone);
    node.send(FeedEvent::FetchFailed { fetch, failure });
    node.advance(1_000);
    let fetch = node
        .take_read(StoreSection::Configuration)
        .expect("pending list");
    let page = Page {
        items: vec![item("conf", 38, "5")],
        has_more: false,
        revision: StoreRevision(40),
    };
    node.send(FeedEvent::PageReceived { fetch, page });
    assert_eq!(index(&node), Some(Index(7)));
    node.send_changes(StoreSection::Configuration, vec![item("conf", 45, "9")]);
    assert_eq!(index(&node), Some(Index(9)));
}
