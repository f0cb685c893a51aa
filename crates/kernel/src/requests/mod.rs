//! Decisions about requests: routing, admission, retries, at most once.

mod admission;
mod context;
mod counters;
mod dispatch;
mod event;
mod freeze;
mod handing;
mod headers;
mod journal;
mod lifecycle;
mod peers;
mod rendezvous;
mod report;
mod section;
mod status;
mod summary;
mod suspicions;
mod terms;
mod timers;
mod view;

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
use self::dispatch::Sides;
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
use self::freeze::Freeze;
use self::handing::Handing;
pub use self::journal::Begin;
pub use self::journal::Journal;
pub use self::journal::JournalConfig;
pub use self::journal::KeyOutcome;
pub use self::journal::KeyedCopy;
pub use self::journal::Standing;
pub use self::journal::Witness;
use self::lifecycle::Lifecycle;
use self::lifecycle::Stage;
pub use self::report::RequestReport;
pub use self::report::RequestStep;
pub use self::status::RequestsStatus;
pub use self::summary::KindCounts;
pub use self::summary::WorkSummary;
use self::suspicions::Suspicions;
pub use self::terms::ColdStartTerms;
pub use self::terms::CrashEvidence;
pub use self::terms::RetryTerms;
pub use self::terms::Terms;
use self::view::View;
use crate::MemberState;

/// What a node knows of itself before it knows any configuration.
#[derive(Clone, Debug)]
pub struct RequestsConfig {
    /// VM that the node runs on.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// Seed of all random choices.
    pub seed: u64,
    /// What the platform demands.
    pub terms: Terms,
}

/// Time after the begin of a drain in which new calls are handed to other nodes.
/// Callers may have no other node to go to; two thirds of a grace period of six
/// seconds leave the rest to finish what was taken.
const HAND_ON: Duration = Duration::from_secs(4);

/// Decides about requests, as the handing node and as the admitting node.
#[derive(Debug)]
pub struct Requests {
    view: View,
    sides: Sides,
    exchanges: u64,
    suspicions: Suspicions,
    freeze: Freeze,
    counters: RequestCounters,
    wake_at: Option<Time>,
    stage: Stage,
    /// When the node began to leave. It hands calls on for a while, also after
    /// its own work is finished.
    leaving_since: Option<Time>,
    /// Time of the latest event.
    latest: Time,
}

impl Requests {
    /// Makes the decisions of a process that starts now and knows nothing.
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
            sides: Sides {
                handing: Handing::new(cfg.seed),
                admission: Admission::new(cfg.vm.clone(), now),
            },
            view: View::new(cfg, now.mono),
            exchanges: 0,
            suspicions: Suspicions::default(),
            freeze: Freeze::default(),
            counters: RequestCounters::default(),
            wake_at: None,
            stage: Lifecycle::new(now.mono).into(),
            leaving_since: None,
            latest: now.mono,
        }
    }

    /// Takes one event and appends what is to be done to `actions`.
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
    ///     panic!("an answer");
    /// };
    /// assert!(matches!(answer, Answer::NotRun { reason: NotRun::Learning, .. }));
    /// # Ok::<(), celeryshore_model::Error>(())
    /// ```
    pub fn handle(&mut self, now: Now, event: RequestEvent, actions: &mut Vec<RequestAction>) {
        let earlier = actions.len();
        self.latest = now.mono;
        self.freeze.observe(now.mono, self.wake_at);
        self.prepare(now, &event);
        if self.wake_at.is_some_and(|at| at <= now.mono) {
            self.decide(now, RequestEvent::Tick, actions);
        }
        self.decide(now, event, actions);
        self.counters.count(&actions[earlier..]);
        self.settle(actions);
    }

    fn decide(&mut self, now: Now, event: RequestEvent, actions: &mut Vec<RequestAction>) {
        let mut loopback = VecDeque::new();
        let mut cx = Context {
            now,
            view: &self.view,
            actions,
            loopback: &mut loopback,
            exchanges: &mut self.exchanges,
            suspicions: &mut self.suspicions,
            lost_time: self.freeze.lost_time(now.mono),
        };
        self.sides.handle(&mut cx, event);
    }

    /// Asks for the next tick and reports the end of a drain.
    fn settle(&mut self, actions: &mut Vec<RequestAction>) {
        let due = [
            self.sides.handing.next_due(),
            self.sides.admission.next_due(self.latest),
        ];
        let wake_at = due.into_iter().flatten().min();
        if let Some(at) = wake_at.filter(|_| wake_at != self.wake_at) {
            actions.push(RequestAction::WakeAt(at));
        }
        self.wake_at = wake_at;
        let is_idle = self.sides.handing.open() == 0 && self.sides.admission.open_count() == 0;
        if is_idle && self.stage.draining_since().is_some() {
            self.replace_stage(Stage::finish);
            actions.push(RequestAction::Drained);
        }
    }

    /// Brings the view up to date before an event is decided on.
    fn prepare(&mut self, now: Now, event: &RequestEvent) {
        match event {
            RequestEvent::Configured(snapshot) => self.view.configure(now, snapshot.clone()),
            RequestEvent::Member { vm, state } => {
                self.view.observe(vm.clone(), *state);
                if *vm == self.view.cfg().vm && *state == MemberState::Leaving {
                    self.drain(now);
                }
            }
            RequestEvent::Drain => self.drain(now),
            RequestEvent::Received { request, .. } => self.view.hear_of(request.version()),
            RequestEvent::Replied { reply, .. } => self.view.hear_of(reply.version()),
            _ => {}
        }
        let is_over = self
            .leaving_since
            .is_some_and(|since| now.mono - since > HAND_ON);
        self.view.set_closed(is_over);
    }

    fn drain(&mut self, now: Now) {
        self.leaving_since.get_or_insert(now.mono);
        self.replace_stage(|stage| stage.drain(now.mono));
        self.view.leave();
    }

    fn replace_stage(&mut self, change: impl FnOnce(Stage) -> Stage) {
        let stage = std::mem::replace(&mut self.stage, Lifecycle::new(Time::ZERO).into());
        self.stage = change(stage);
    }
}
