//! State machine of one node, composed of the fleet, the feed and the requests.

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

/// Configuration of a node's state machines at startup.
#[derive(Clone, Debug)]
pub struct KernelConfig {
    /// Configuration of the fleet.
    pub fleet: FleetConfig,
    /// Configuration of the feed; absent if the node uses the fleet instead.
    pub feed: Option<FeedConfig>,
    /// Configuration of the request state machine.
    pub requests: RequestsConfig,
}

/// Input of a node's state machines.
#[derive(Clone, Debug, From)]
pub enum Event {
    /// Event of the membership or of the configuration distribution.
    Fleet(FleetEvent),
    /// Event of the platform's feed.
    Feed(FeedEvent),
    /// Event of the request state machine.
    Request(RequestEvent),
}

/// Output of a node's state machines, executed by the driver.
#[derive(Clone, Debug, From)]
pub enum Action {
    /// Action of the membership or of the configuration distribution.
    Fleet(FleetAction),
    /// Action of the platform's feed.
    Feed(FeedAction),
    /// Action of the request state machine.
    Request(RequestAction),
}

/// State machine of one node, which connects the fleet or the feed to the requests.
///
/// New configurations and member states are passed to the request state machine. If
/// a request was routed under a newer version, the fleet or the feed fetches that
/// version. The driver isn't involved in either.
#[derive(Debug)]
pub struct Kernel {
    /// Membership and configuration distribution.
    pub fleet: Fleet,
    /// Feed of the platform; if present, the fleet is idle.
    pub feed: Option<Feed>,
    /// Handling of requests from callers and from other nodes.
    pub requests: Requests,
    feed_buf: Vec<FeedAction>,
    fleet_buf: Vec<FleetAction>,
    request_buf: Vec<RequestAction>,
}

impl Kernel {
    /// Creates the state machines of a process that starts at `now`.
    ///
    /// The driver must send one tick to each part at once, and later ticks when an
    /// action requests them.
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

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        if self.feed.is_none() {
            self.fleet.observe(now, &mut self.fleet_buf);
        }
        match event {
            Event::Fleet(event) => self.fleet.handle(now, event, &mut self.fleet_buf),
            Event::Feed(event) => self.handle_feed_event(now, event),
            Event::Request(event) => self.handle_request_event(now, event),
        }
        self.route_actions(now, actions);
    }

    fn handle_feed_event(&mut self, now: Now, event: FeedEvent) {
        if let Some(feed) = &mut self.feed {
            feed.handle(now, event, &mut self.feed_buf);
        }
    }

    fn handle_request_event(&mut self, now: Now, event: RequestEvent) {
        if matches!(event, RequestEvent::Drain) && self.feed.is_none() {
            self.fleet
                .handle(now, FleetEvent::Drain, &mut self.fleet_buf);
        }
        if let Some(feed) = &self.feed {
            self.requests.set_outdated(feed.is_outdated(now.mono));
            self.requests.set_view_age(feed.view(now.mono).age);
        }
        self.requests.handle(now, event, &mut self.request_buf);
    }

    /// Passes actions to the state machines that they concern, until all buffers are
    /// empty.
    ///
    /// The driver receives all actions except [`RequestAction::CatchUp`].
    fn route_actions(&mut self, now: Now, actions: &mut Vec<Action>) {
        while !self.buffers_are_empty() {
            for action in std::mem::take(&mut self.fleet_buf) {
                if let Some(event) = request_event_from_fleet(&action) {
                    self.requests.handle(now, event, &mut self.request_buf);
                }
                actions.push(action.into());
            }
            for action in std::mem::take(&mut self.feed_buf) {
                if let Some(event) = request_event_from_feed(&action) {
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

    fn buffers_are_empty(&self) -> bool {
        self.fleet_buf.is_empty() && self.feed_buf.is_empty() && self.request_buf.is_empty()
    }

    fn catch_up(&mut self, now: Now, version: Version, from: VmName) {
        if self.feed.is_some() {
            self.handle_feed_event(now, FeedEvent::CatchUp { version, from });
        } else {
            let event = FleetEvent::CatchUp { version, from };
            self.fleet.handle(now, event, &mut self.fleet_buf);
        }
    }
}

fn request_event_from_feed(action: &FeedAction) -> Option<RequestEvent> {
    match action {
        FeedAction::Configured(snapshot) => Some(RequestEvent::Configured(snapshot.clone())),
        FeedAction::ColdStart(cold_for) => Some(RequestEvent::ColdStartReported {
            cold_for: *cold_for,
        }),
        _ => None,
    }
}

fn request_event_from_fleet(action: &FleetAction) -> Option<RequestEvent> {
    match action {
        FleetAction::Configured(snapshot) => Some(RequestEvent::Configured(snapshot.clone())),
        FleetAction::Member { vm, state } => Some(RequestEvent::Member {
            vm: vm.clone(),
            state: *state,
        }),
        _ => None,
    }
}
