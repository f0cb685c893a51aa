//! Baseline for comparison: a node without gossip or version checks.

use std::sync::Arc;
use std::time::Duration;

use celeryshore_kernel::Action;
use celeryshore_kernel::Event;
use celeryshore_kernel::FleetAction;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::ReadAnswer;
use celeryshore_kernel::ReadId;
use celeryshore_kernel::ReadQuery;
use celeryshore_kernel::RequestAction;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::Requests;
use celeryshore_kernel::RequestsConfig;
use celeryshore_model::Digest;
use celeryshore_model::Index;
use celeryshore_model::Now;

/// Interval between two polls, and the deadline of each.
const POLL_PERIOD: Duration = Duration::from_secs(1);

/// Node that polls the platform and applies every valid text that it reads, also
/// an older one. It handles requests as the kernel does, but never catches up with the
/// version of a peer.
#[derive(Debug)]
pub(super) struct PollingNode {
    requests: Requests,
    reads: u64,
    applied: Option<(Index, Digest)>,
}

impl PollingNode {
    /// Returns a node that starts now.
    pub(super) fn new(cfg: RequestsConfig, now: Now) -> Self {
        Self {
            requests: Requests::new(cfg, now),
            reads: 0,
            applied: None,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub(super) fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Fleet(FleetEvent::Tick) => self.poll(now, actions),
            Event::Fleet(FleetEvent::Read { answer, .. }) => self.apply(now, answer, actions),
            Event::Request(event) => self.handle_request(now, event, actions),
            Event::Fleet(_) | Event::Feed(_) => {}
        }
    }

    fn poll(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.reads += 1;
        let read = FleetAction::Read {
            read: ReadId(self.reads),
            query: ReadQuery::Rules {
                index: None,
                wait: Duration::ZERO,
            },
            deadline: now.mono + POLL_PERIOD,
        };
        actions.push(read.into());
        actions.push(FleetAction::WakeAt(now.mono + POLL_PERIOD).into());
    }

    fn apply(&mut self, now: Now, answer: ReadAnswer, actions: &mut Vec<Action>) {
        let ReadAnswer::Value { index, value } = answer else {
            return;
        };
        let read = Some((index, Digest::of(&value)));
        if self.applied == read {
            return;
        }
        let Ok(snapshot) = celeryshore_rules::from_slice(&value, index) else {
            return;
        };
        self.applied = read;
        let snapshot = Arc::new(snapshot);
        actions.push(FleetAction::Configured(Arc::clone(&snapshot)).into());
        self.handle_request(now, RequestEvent::Configured(snapshot), actions);
    }

    fn handle_request(&mut self, now: Now, event: RequestEvent, actions: &mut Vec<Action>) {
        let mut request_actions = Vec::new();
        self.requests.handle(now, event, &mut request_actions);
        let is_catch_up = |action: &RequestAction| matches!(action, RequestAction::CatchUp { .. });
        request_actions.retain(|action| !is_catch_up(action));
        actions.extend(request_actions.into_iter().map(Action::from));
    }
}
