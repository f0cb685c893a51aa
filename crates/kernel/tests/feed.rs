//! What a platform publishes: who reads it, who follows, and what is believed.

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
use celeryshore_kernel::Position;
use celeryshore_kernel::QuestionId;
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

/// Values are versions under `conf` and addresses elsewhere.
#[derive(Debug)]
struct Plain;

impl Adapter for Plain {
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
        let bad = |_| AdapterError::Malformed {
            field: "value".to_owned(),
            problem: "not of this test".to_owned(),
        };
        if item.key.as_str() == "conf" {
            let index = text.parse().map_err(bad)?;
            return Ok(Record::Configuration(Arc::new(configuration(index))));
        }
        let addr: SocketAddr = text.parse().map_err(|_| AdapterError::HistoryGone)?;
        Ok(Record::Upstream(UpstreamRecord {
            name: item.key.as_str().parse().expect("a name"),
            service: "ordering".parse().expect("a service"),
            zone: ZONE.parse().expect("a zone"),
            addr,
            slots: Slots::new(6),
            state: UpstreamState::Serving,
            life: Incarnation(1),
            cold_for: Duration::ZERO,
        }))
    }
}

fn configuration(index: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.version.index = Index(index);
    let service = Service {
        name: "ordering".parse().expect("a service"),
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
        health: None,
    };
    snapshot.services.insert(service.name.clone(), service);
    snapshot
}

/// One feed under test.
struct Node {
    feed: Feed,
    now: u64,
    actions: Vec<FeedAction>,
    snapshot: Option<Arc<Snapshot>>,
}

impl Node {
    fn new(vm: &str) -> Self {
        let cfg = FeedConfig {
            vm: vm.parse().expect("a VM"),
            zone: ZONE.parse().expect("a zone"),
            zones: Vec::new(),
            incarnation: Incarnation(7),
            peer_port: 7_000,
            seeds: vec!["10.0.0.9:7000".parse().expect("an address")],
            adapter: Arc::new(Plain),
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

    /// Takes the latest read of a section out of what the feed asked for.
    fn read(&mut self, wanted: StoreSection) -> Option<FetchId> {
        let place = self.actions.iter().rposition(|action| match action {
            FeedAction::List { section, .. } | FeedAction::Watch { section, .. } => {
                *section == wanted
            }
            _ => false,
        })?;
        match self.actions.remove(place) {
            FeedAction::List { fetch, .. } | FeedAction::Watch { fetch, .. } => Some(fetch),
            _ => None,
        }
    }

    fn asked(&mut self) -> Option<(FetchId, SocketAddr)> {
        let mut asks = self.actions.iter().rev().filter_map(|action| match action {
            FeedAction::Ask { fetch, peer, .. } => Some((*fetch, *peer)),
            _ => None,
        });
        let last = asks.next();
        self.actions
            .retain(|a| !matches!(a, FeedAction::Ask { .. }));
        last
    }

    /// Answers the lists that a feed begins with.
    fn list(&mut self, vms: &[&str]) {
        let fetch = self.read(StoreSection::Configuration).expect("a list");
        let page = Page {
            items: vec![item("conf", 1, "5")],
            has_more: false,
            revision: StoreRevision(10),
        };
        self.send(FeedEvent::Listed { fetch, page });
        let fetch = self.read(StoreSection::Upstreams).expect("a list");
        let items = vms.iter().map(|vm| item(&key(vm), 2, &format!("{vm}:80")));
        let page = Page {
            items: items.collect(),
            has_more: false,
            revision: StoreRevision(10),
        };
        self.send(FeedEvent::Listed { fetch, page });
    }

    /// Answers the lists of a store that holds nothing yet.
    fn list_nothing(&mut self) {
        for section in StoreSection::ALL {
            let fetch = self.read(section).expect("a list");
            let page = Page {
                items: Vec::new(),
                has_more: false,
                revision: StoreRevision(1),
            };
            self.send(FeedEvent::Listed { fetch, page });
        }
    }

    fn change(&mut self, section: StoreSection, items: Vec<Item>) {
        self.advance(1_000);
        let fetch = self.read(section).expect("a read");
        let revision = items.iter().map(|i| i.revision).max().unwrap_or_default();
        let changes = Changes { items, revision };
        self.send(FeedEvent::Watched { fetch, changes });
    }

    fn fail(&mut self, section: StoreSection) {
        let fetch = self.read(section).expect("a read");
        let failure = FetchFailure::Timeout;
        self.send(FeedEvent::Failed { fetch, failure });
    }

    fn has(&self, vm: &str) -> bool {
        let vm: VmName = vm.parse().expect("a VM");
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

/// Returns a node that reads the store, among all VMs.
fn reader() -> Node {
    let nodes = VMS.map(|vm| {
        let mut node = Node::new(vm);
        node.list(&VMS);
        node
    });
    let reads = |node: &Node| node.feed.status().is_reader;
    let mut readers: Vec<_> = nodes.into_iter().filter(reads).collect();
    assert_eq!(readers.len(), 1, "one node of a zone reads the store");
    readers.remove(0)
}

/// Returns a node that follows another, with its question.
fn follower() -> (Node, FetchId, SocketAddr) {
    let nodes = VMS.into_iter().map(|vm| {
        let mut node = Node::new(vm);
        node.list(&VMS);
        node
    });
    let mut followers = nodes.filter(|node| !node.feed.status().is_reader);
    let mut node = followers.next().expect("a follower");
    let (fetch, peer) = node.asked().expect("a question");
    (node, fetch, peer)
}

#[test]
fn one_reader() {
    let _ = reader();
    let (_, _, peer) = follower();
    assert!(VMS.contains(&peer.ip().to_string().as_str()));
}

#[test]
fn lost_reader() {
    let (mut node, fetch, first) = follower();
    let failure = FetchFailure::Unreachable;
    node.send(FeedEvent::Failed { fetch, failure });
    let next = node.asked().map(|(_, peer)| peer);
    assert_ne!(next, Some(first), "another source takes its place at once");
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
    node.send(FeedEvent::Answered { fetch, answer });
    assert_ne!(node.asked().map(|(_, peer)| peer), Some(first));
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
    node.send(FeedEvent::Answered { fetch, answer });
    assert!(
        VMS.iter().all(|vm| node.has(vm)),
        "an older view removes nothing"
    );
    assert!(!node.has("10.0.0.8"), "nor does it bring back what is gone");
}

#[test]
fn lapsed_entry() {
    let mut node = reader();
    let other = VMS.iter().find(|vm| node.has(vm)).expect("an upstream");
    node.advance(1_000);
    node.fail(StoreSection::Upstreams);
    node.change(StoreSection::Upstreams, vec![removed(other, 20)]);
    node.advance(1_000);
    assert!(node.has(other), "its target may come back");
    node.advance(1_500);
    assert!(!node.has(other), "it did not come back");
}

#[test]
fn returned_entry() {
    let mut node = reader();
    node.advance(1_000);
    node.fail(StoreSection::Upstreams);
    node.change(StoreSection::Upstreams, vec![removed(VMS[2], 20)]);
    let back = item(&key(VMS[2]), 21, &format!("{}:80", VMS[2]));
    node.change(StoreSection::Upstreams, vec![back]);
    node.advance(3_000);
    assert!(node.has(VMS[2]));
}

/// A node that lost the store, followed a peer and reads again long after has
/// not seen the store return (`hunt`, hronec-mesh scale-2, seed 220673733256).
#[test]
fn old_loss() {
    let (mut node, fetch, _) = follower();
    let failure = FetchFailure::Unreachable;
    node.send(FeedEvent::Failed { fetch, failure });
    while !node.feed.status().is_reader {
        let (fetch, _) = node.asked().expect("a question");
        let failure = FetchFailure::Unreachable;
        node.send(FeedEvent::Failed { fetch, failure });
    }
    node.advance(800);
    node.fail(StoreSection::Upstreams);
    node.advance(10_000);
    assert!(!node.feed.status().is_reader, "peers are tried again");
    let mut tries = 0;
    while !node.feed.status().is_reader {
        let (fetch, _) = node.asked().expect("a question");
        let failure = FetchFailure::Unreachable;
        node.send(FeedEvent::Failed { fetch, failure });
        tries += 1;
        assert!(tries < 5, "all peers were tried");
    }
    let fetch = node.read(StoreSection::Upstreams).expect("a read");
    let changes = Changes {
        items: vec![removed(VMS[2], 20)],
        revision: StoreRevision(20),
    };
    node.send(FeedEvent::Watched { fetch, changes });
    assert!(!node.has(VMS[2]), "a removal counts at once");
}

#[test]
fn never_back() {
    let mut node = reader();
    let index = |node: &Node| node.snapshot.as_ref().map(|s| s.version.index);
    for (revision, version) in [(20, "9"), (21, "7"), (22, "nonsense")] {
        let conf = item("conf", revision, version);
        node.change(StoreSection::Configuration, vec![conf]);
        assert_eq!(index(&node), Some(Index(9)));
    }
}

#[test]
fn bad_entry() {
    let mut node = reader();
    let items = vec![
        item(&key(VMS[1]), 20, "nonsense"),
        item("i-new", 21, "10.0.0.7:80"),
    ];
    node.change(StoreSection::Upstreams, items);
    assert!(!node.has(VMS[1]), "it names no upstream to use");
    assert!(node.has(VMS[0]) && node.has(VMS[2]) && node.has("10.0.0.7"));
    let reports = node.actions.iter();
    assert_eq!(
        reports
            .filter(|a| matches!(a, FeedAction::Report(r) if r.to_string().contains("refused")))
            .count(),
        1
    );
}

#[test]
fn quiet_heartbeats() {
    let mut node = reader();
    let question = QuestionId(1);
    let position = Some(Position {
        incarnation: Incarnation(7),
        sequence: 4,
    });
    let wait = Duration::from_secs(30);
    let request = CatalogRequest { position, wait };
    node.send(FeedEvent::Asked { question, request });
    let is_answered = |node: &Node| {
        let mut actions = node.actions.iter();
        actions.any(|a| matches!(a, FeedAction::Answer { .. }))
    };
    let beat = item(&key(VMS[1]), 20, &format!("{}:80", VMS[1]));
    node.change(StoreSection::Upstreams, vec![beat]);
    assert!(!is_answered(&node), "a heartbeat changes nothing");
    node.change(StoreSection::Upstreams, vec![removed(VMS[1], 21)]);
    assert!(is_answered(&node), "a removal does");
}

#[test]
fn lost_history() {
    let mut node = reader();
    node.advance(1_000);
    let fetch = node.read(StoreSection::Upstreams).expect("a read");
    let failure = FetchFailure::Refused(AdapterError::HistoryGone);
    node.send(FeedEvent::Failed { fetch, failure });
    let is_list = |a: &FeedAction| matches!(a, FeedAction::List { .. });
    assert!(
        node.actions.iter().any(is_list),
        "the whole list is read again"
    );
}

#[test]
fn first_seed() {
    let mut node = Node::new(VMS[0]);
    node.fail(StoreSection::Configuration);
    let (_, peer) = node.asked().expect("a question");
    assert_eq!(peer, "10.0.0.9:7000".parse().expect("an address"));
}

/// Nodes that start before any target is listed don't all read the store.
#[test]
fn no_targets_yet() {
    let watches = |node: &Node| {
        let reads = node.actions.iter();
        reads
            .filter(|a| matches!(a, FeedAction::Watch { .. }))
            .count()
    };
    let mut later = Node::new("10.0.0.99");
    later.list_nothing();
    let (_, peer) = later.asked().expect("a question");
    assert_eq!(peer, "10.0.0.9:7000".parse().expect("an address"));
    assert_eq!(watches(&later), 0);
    let mut earlier = Node::new("10.0.0.1");
    earlier.list_nothing();
    assert!(earlier.asked().is_none(), "nobody comes before it");
    earlier.advance(1_000);
    assert_eq!(watches(&earlier), 2);
}

/// A peer that fails again and again, with successes between, is not followed for
/// longer and longer.
#[test]
fn flapping_peer() {
    let (mut node, fetch, first) = follower();
    let mut failed = fetch;
    let mut times = Vec::new();
    for _ in 0..3 {
        let failure = FetchFailure::Unreachable;
        node.send(FeedEvent::Failed {
            fetch: failed,
            failure,
        });
        let begun = node.now;
        failed = loop {
            match node.asked() {
                Some((fetch, peer)) if peer == first => break fetch,
                Some((fetch, _)) => {
                    let failure = FetchFailure::Unreachable;
                    node.send(FeedEvent::Failed { fetch, failure });
                }
                None => node.advance(100),
            }
            assert!(node.now < begun + 30_000, "it is followed again at last");
        };
        times.push(node.now - begun);
    }
    assert!(times[0] < 2_000, "{times:?}");
    assert!(times[2] >= 2 * times[0], "{times:?}");
}

/// A store whose connections break every second was not away: a removal after such
/// a break is a target that leaves (incident inc-5d96).
#[test]
fn broken_read() {
    let mut node = reader();
    let other = VMS.iter().find(|vm| node.has(vm)).expect("an upstream");
    node.advance(1_000);
    let fetch = node.read(StoreSection::Upstreams).expect("a read");
    let failure = FetchFailure::Unreachable;
    node.send(FeedEvent::Failed { fetch, failure });
    node.advance(300);
    let fetch = node.read(StoreSection::Upstreams).expect("a read");
    let changes = Changes {
        items: vec![removed(other, 20)],
        revision: StoreRevision(20),
    };
    node.send(FeedEvent::Watched { fetch, changes });
    assert!(!node.has(other));
}
