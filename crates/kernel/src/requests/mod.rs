//! Decisions about requests: routing, admission, retries and at-most-once delivery.
//!
//! A node has two roles. The forwarding node receives a caller's request, chooses
//! an upstream and retries (`forwarding`). The admitting node decides whether and
//! when a request runs at the target on its VM (`admission`), and records which
//! keyed requests have run there (`journal`). Both may be the same node.
//!
//! [`Requests`] is the state machine of both roles. Its driver passes a
//! [`RequestEvent`] and the time to [`Requests::handle`] and executes the
//! [`RequestAction`]s that it gets (`event`). `dispatch` passes each event to the
//! role that handles it. `view` holds the configuration and the states of the other
//! nodes, `context` what the handlers of one event may read and write.
//! `workspaces` finds the workspace of a caller's key, and `quota` limits the requests of
//! workspaces across all nodes. `load_board` holds the latest load reports of targets.
//! `link` follows the load of the network link by large responses, whose `sizes` are
//! averaged by kind. `lifecycle` and `leaving` stop a node; `stop_time` compares the time that
//! is left to it with the `longest_times` of requests. `suspect_requests`
//! quarantines requests that crash their targets, and `freeze` detects that the process
//! was suspended, because messages that are read afterwards may be older than they say.

mod admission;
mod context;
mod counters;
mod dispatch;
mod dump;
mod event;
mod explain;
mod forwarding;
mod freeze;
mod headers;
mod journal;
mod leaving;
mod lifecycle;
mod link;
mod load_board;
mod longest_times;
mod peers;
mod quota;
mod rendezvous;
mod report;
mod sizes;
mod status;
mod stop_time;
mod summary;
mod suspect_requests;
mod terms;
mod timers;
mod view;
mod workspaces;

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

use self::admission::Admission;
use self::context::Context;
pub use self::counters::RequestCounters;
use self::dispatch::Dispatcher;
pub use self::event::Answer;
pub use self::event::CallId;
pub use self::event::ExchangeId;
pub use self::event::Health;
pub use self::event::InboundId;
pub use self::event::Outcome;
pub use self::event::Progress;
pub use self::event::RequestAction;
pub use self::event::RequestEvent;
pub use self::event::WorkId;
pub use self::explain::Exclusion;
pub use self::explain::ExplainedRefusal;
pub use self::explain::ExplainedUpstream;
pub use self::explain::Explanation;
pub use self::forwarding::Distance;
use self::forwarding::Forwarder;
pub use self::forwarding::LoadCounters;
use self::freeze::FreezeDetector;
pub use self::journal::InquiryDecision;
pub use self::journal::Journal;
pub use self::journal::JournalConfig;
pub use self::journal::KeyDecision;
pub use self::journal::KeyOutcome;
pub use self::journal::KeyRole;
pub use self::journal::KeyedCopy;
use self::lifecycle::Lifecycle;
use self::lifecycle::Stage;
pub use self::lifecycle::StopStep;
pub use self::link::LARGE_SHARE;
pub use self::link::LARGE_TRANSFER;
use self::link::Link;
use self::load_board::LoadBoard;
pub use self::quota::QuotaAnswer;
pub use self::quota::QuotaAsk;
pub use self::quota::QuotaMessage;
pub use self::quota::QuotaReport;
pub use self::quota::QuotaStatus;
pub use self::quota::Quotas;
pub use self::report::RequestReport;
pub use self::report::RequestStep;
pub use self::report::TargetReport;
pub use self::status::RequestsStatus;
pub use self::stop_time::ExpectedFrom;
pub use self::stop_time::Shortfall;
pub use self::summary::KindCounts;
pub use self::summary::WorkSummary;
use self::suspect_requests::SuspectRequests;
pub use self::terms::ColdStartTerms;
pub use self::terms::CrashEvidence;
pub use self::terms::QuotaTerms;
pub use self::terms::RetryTerms;
pub use self::terms::StopTerms;
pub use self::terms::Terms;
use self::view::View;

/// Settings of a node that don't depend on the mesh configuration.
#[derive(Clone, Debug)]
pub struct RequestsConfig {
    /// VM that the node runs on.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Seed of all random choices, so that tests can repeat a run.
    pub seed: u64,
    /// Requirements of the platform.
    pub terms: Terms,
}

/// State machine for requests, as forwarding node and as admitting node.
#[derive(Debug)]
pub struct Requests {
    view: View,
    dispatcher: Dispatcher,
    /// Number of the latest exchange that this node opened.
    last_exchange: u64,
    suspects: SuspectRequests,
    quotas: Quotas,
    link: Link,
    loads: LoadBoard,
    freeze_detector: FreezeDetector,
    counters: RequestCounters,
    wake_at: Option<Time>,
    stage: Stage,
    /// When the stop or the drain began. The node keeps forwarding calls for a while,
    /// because callers may have no other node to go to.
    leaving_since: Option<Time>,
    /// Time of the latest event.
    last_event_at: Time,
}

impl Requests {
    /// Creates the state of a process that starts now, without a configuration.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_kernel::Requests;
    /// use celeryshore_kernel::RequestsConfig;
    /// use celeryshore_model::Incarnation;
    /// use celeryshore_model::Now;
    ///
    /// let cfg = RequestsConfig {
    ///     vm: "vm-1".parse()?,
    ///     zone: "glasgow".parse()?,
    ///     incarnation: Incarnation(1),
    ///     seed: 1,
    ///     terms: celeryshore_kernel::Terms::default(),
    /// };
    /// let requests = Requests::new(cfg, Now::default());
    /// # let _ = requests;
    /// # Ok::<(), celeryshore_model::Error>(())
    /// ```
    #[must_use]
    pub fn new(cfg: RequestsConfig, now: Now) -> Self {
        Self {
            dispatcher: Dispatcher {
                forwarder: Forwarder::new(cfg.seed),
                admission: Admission::new(cfg.vm.clone(), now),
            },
            link: Link::new(cfg.terms.link),
            quotas: Quotas::new(&cfg, now.mono),
            loads: LoadBoard::default(),
            view: View::new(cfg, now.mono),
            last_exchange: 0,
            suspects: SuspectRequests::default(),
            freeze_detector: FreezeDetector::default(),
            counters: RequestCounters::default(),
            wake_at: None,
            stage: Lifecycle::new(now.mono).into(),
            leaving_since: None,
            last_event_at: now.mono,
        }
    }

    /// Records whether the store has not confirmed the configuration for a long time. The
    /// node then refuses requests without a route as [`NotRun::Behind`](crate::NotRun).
    pub const fn set_outdated(&mut self, is_outdated: bool) {
        self.view.set_outdated(is_outdated);
    }

    /// Records the time since the store last confirmed the configuration; absent if it never
    /// did.
    pub const fn set_view_age(&mut self, age: Option<Duration>) {
        self.view.set_age(age);
    }

    /// Handles one event and appends the resulting actions to `actions`.
    ///
    /// If a requested wake-up is overdue, it is handled first as a
    /// [`RequestEvent::Tick`].
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_kernel::Answer;
    /// use celeryshore_kernel::CallId;
    /// use celeryshore_kernel::NotRun;
    /// use celeryshore_kernel::RequestAction;
    /// use celeryshore_kernel::RequestEvent;
    /// # use celeryshore_kernel::Requests;
    /// # use celeryshore_kernel::RequestsConfig;
    /// use celeryshore_model::HttpRequest;
    /// # use celeryshore_model::Incarnation;
    /// use celeryshore_model::Now;
    ///
    /// # let cfg = RequestsConfig {
    /// #     vm: "vm-1".parse()?,
    /// #     zone: "glasgow".parse()?,
    /// #     incarnation: Incarnation(1),
    /// #     seed: 1,
    /// #     terms: celeryshore_kernel::Terms::default(),
    /// # };
    /// # let mut requests = Requests::new(cfg, Now::default());
    /// let event = RequestEvent::Arrived {
    ///     call: CallId(1),
    ///     request: HttpRequest::default(),
    /// };
    /// let mut actions = Vec::new();
    /// requests.handle(Now::default(), event, &mut actions);
    /// let RequestAction::Answer { answer, .. } = &actions[0] else {
    ///     panic!("expected an answer");
    /// };
    /// assert!(matches!(answer, Answer::NotRun { reason: NotRun::Learning, .. }));
    /// # Ok::<(), celeryshore_model::Error>(())
    /// ```
    pub fn handle(&mut self, now: Now, event: RequestEvent, actions: &mut Vec<RequestAction>) {
        let earlier = actions.len();
        let was_leaving = self.stage.leaving_since().is_some();
        self.last_event_at = now.mono;
        self.freeze_detector.observe(now.mono, self.wake_at);
        self.update_view(now, &event, actions);
        if self.wake_at.is_some_and(|at| at <= now.mono) {
            self.dispatch(now, RequestEvent::Tick, actions);
        }
        self.dispatch(now, event, actions);
        self.counters.count(&actions[earlier..], was_leaving);
        for action in &actions[earlier..] {
            if let RequestAction::Answer { call, answer } = action {
                self.dispatcher.admission.end_call(*call, answer);
            }
        }
        self.finish_event(actions);
    }

    fn dispatch(&mut self, now: Now, event: RequestEvent, actions: &mut Vec<RequestAction>) {
        let mut loopback = VecDeque::new();
        let mut cx = Context {
            now,
            view: &self.view,
            actions,
            loopback: &mut loopback,
            last_exchange: &mut self.last_exchange,
            suspect_requests: &mut self.suspects,
            quotas: &mut self.quotas,
            link: &mut self.link,
            loads: &mut self.loads,
            lost_time: self.freeze_detector.lost_time(now.mono),
        };
        self.dispatcher.handle(&mut cx, event);
    }

    /// Requests the next tick, and reports the end of a drain.
    fn finish_event(&mut self, actions: &mut Vec<RequestAction>) {
        let due = [
            self.dispatcher.forwarder.next_due(),
            self.dispatcher.admission.next_due(self.last_event_at),
            self.quotas.next_due(),
            self.stage.next_due(),
            self.stop_due(),
        ];
        let wake_at = due.into_iter().flatten().min();
        if let Some(at) = wake_at.filter(|_| wake_at != self.wake_at) {
            actions.push(RequestAction::WakeAt(at));
        }
        self.wake_at = wake_at;
        let is_idle = self.dispatcher.forwarder.open_count() == 0
            && self.dispatcher.admission.open_count() == 0;
        if is_idle && self.stage.is_draining() {
            self.replace_stage(Stage::finish);
            actions.push(RequestAction::Drained);
        }
    }
}
