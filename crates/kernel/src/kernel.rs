//! One node's decisions, joined.

use celeryshore_model::Now;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use derive_more::From;

use crate::Feed;
use crate::FeedAction;
use crate::FeedConfig;
use crate::FeedEvent;
use crate::Fleet;
use crate::FleetAction;
use crate::FleetConfig;
use crate::FleetEvent;
use crate::RequestAction;
use crate::RequestEvent;
use crate::Requests;
use crate::RequestsConfig;

/// What a node knows when it starts.
#[derive(Clone, Debug)]
pub struct KernelConfig {
    /// For membership and configuration.
    pub fleet: FleetConfig,
    /// For what the platform publishes, where it takes the place of the fleet.
    pub feed: Option<FeedConfig>,
    /// For requests.
    pub requests: RequestsConfig,
}

/// What can happen to a node.
#[derive(Clone, Debug, From)]
pub enum Event {
    /// To membership and configuration.
    Fleet(FleetEvent),
    /// To what the platform publishes.
    Feed(FeedEvent),
    /// To requests.
    Request(RequestEvent),
}

/// What a node is to do.
#[derive(Clone, Debug, From)]
pub enum Action {
    /// For membership and configuration.
    Fleet(FleetAction),
    /// For what the platform publishes.
    Feed(FeedAction),
    /// For requests.
    Request(RequestAction),
}

/// Decisions of one node: fleet and requests.
///
/// A configuration that comes into force and changes of members go from the
/// fleet to the requests, and a request under a newer version makes the fleet
/// catch up, without help of the driver.
#[derive(Debug)]
pub struct Kernel {
    /// Membership and configuration.
    pub fleet: Fleet,
    /// What the platform publishes; the fleet is idle where it is present.
    pub feed: Option<Feed>,
    /// Requests.
    pub requests: Requests,
    feed_buf: Vec<FeedAction>,
    fleet_buf: Vec<FleetAction>,
    request_buf: Vec<RequestAction>,
}

impl Kernel {
    /// Makes the decisions of a process that starts now and knows nothing.
    ///
    /// The driver sends one tick to each part at once, and then when asked.
    #[must_use]
    pub fn new(cfg: KernelConfig, now: Now) -> Self {
        Self {
            fleet: Fleet::new(cfg.fleet, now),
            feed: cfg.feed.map(Feed::new),
            requests: Requests::new(cfg.requests, now),
            feed_buf: Vec::new(),
            fleet_buf: Vec::new(),
            request_buf: Vec::new(),
        }
    }

    /// Takes one event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        if self.feed.is_none() {
            self.fleet.observe(now, &mut self.fleet_buf);
        }
        match event {
            Event::Fleet(event) => self.fleet.handle(now, event, &mut self.fleet_buf),
            Event::Feed(event) => self.on_feed(now, event),
            Event::Request(event) => self.on_request(now, event),
        }
        self.settle(now, actions);
    }

    fn on_feed(&mut self, now: Now, event: FeedEvent) {
        if let Some(feed) = &mut self.feed {
            feed.handle(now, event, &mut self.feed_buf);
        }
    }

    fn on_request(&mut self, now: Now, event: RequestEvent) {
        if matches!(event, RequestEvent::Drain) && self.feed.is_none() {
            self.fleet
                .handle(now, FleetEvent::Drain, &mut self.fleet_buf);
        }
        self.requests.handle(now, event, &mut self.request_buf);
    }

    /// Carries actions of each part that are events of the other.
    fn settle(&mut self, now: Now, actions: &mut Vec<Action>) {
        while !self.is_settled() {
            for action in std::mem::take(&mut self.fleet_buf) {
                if let Some(event) = request_event(&action) {
                    self.requests.handle(now, event, &mut self.request_buf);
                }
                actions.push(action.into());
            }
            for action in std::mem::take(&mut self.feed_buf) {
                if let Some(event) = feed_request_event(&action) {
                    self.requests.handle(now, event, &mut self.request_buf);
                }
                actions.push(action.into());
            }
            for action in std::mem::take(&mut self.request_buf) {
                match action {
                    RequestAction::CatchUp { version, from } => self.catch_up(now, version, from),
                    action => actions.push(action.into()),
                }
            }
        }
    }

    fn is_settled(&self) -> bool {
        self.fleet_buf.is_empty() && self.feed_buf.is_empty() && self.request_buf.is_empty()
    }

    fn catch_up(&mut self, now: Now, version: Version, from: VmName) {
        if self.feed.is_some() {
            self.on_feed(now, FeedEvent::CatchUp { version, from });
        } else {
            let event = FleetEvent::CatchUp { version, from };
            self.fleet.handle(now, event, &mut self.fleet_buf);
        }
    }
}

fn feed_request_event(action: &FeedAction) -> Option<RequestEvent> {
    match action {
        FeedAction::Configured(snapshot) => Some(RequestEvent::Configured(snapshot.clone())),
        FeedAction::ColdStart(cold_for) => Some(RequestEvent::Cold {
            cold_for: *cold_for,
        }),
        _ => None,
    }
}

fn request_event(action: &FleetAction) -> Option<RequestEvent> {
    match action {
        FleetAction::Configured(snapshot) => Some(RequestEvent::Configured(snapshot.clone())),
        FleetAction::Member { vm, state } => Some(RequestEvent::Member {
            vm: vm.clone(),
            state: *state,
        }),
        _ => None,
    }
}
