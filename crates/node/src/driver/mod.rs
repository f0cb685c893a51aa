//! Driver of the kernel: passes events to it and executes the actions that it returns.
//!
//! All tasks of a node share one [`Driver`]. It locks the kernel for each event and
//! executes the actions before it releases the lock. `pending` holds the callers and
//! peers that wait for a response, and the tasks that an action can cancel. `wake`
//! schedules the ticks that the kernel asks for. `feed` executes the actions of the
//! feed; those of the fleet go to `control` through a channel, except for ticks and new
//! configurations. `report` logs requests, at a rate limited by `quota`.

mod feed;
mod pending;
mod quota;
mod report;
mod wake;

use std::future::Future;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::StaticExecutor;
use async_executor::Task;
use async_io::Async;
use celeryshore_kernel::Action;
use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::Event;
use celeryshore_kernel::ExchangeId;
use celeryshore_kernel::FeedAction;
use celeryshore_kernel::FleetAction;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::InboundId;
use celeryshore_kernel::Kernel;
use celeryshore_kernel::KernelConfig;
use celeryshore_kernel::PeerReply;
use celeryshore_kernel::PeerRequest;
use celeryshore_kernel::RequestAction;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::WorkId;
use celeryshore_model::BitRate;
use celeryshore_model::CallerLimits;
use celeryshore_model::Dialect;
use celeryshore_model::HttpRequest;
use celeryshore_model::Now;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::VmName;
use slog::Logger;

use self::pending::Pending;
use self::quota::Quota;
use self::wake::WakeTimer;
use crate::callers::ConnectionTracker;
use crate::clock::Clock;
use crate::control::Store;
use crate::control::heartbeats;
use crate::memory::BodyMemory;
use crate::peers::Peers;
use crate::target::Target;
use crate::target::TargetLimits;
use crate::timers::Timers;
use crate::uplink::Uplink;

/// Lines about requests that fail or are refused, in a second. Enough for the ordinary
/// failures of one node, and a small part of its CPU time when every request fails.
const FAILURE_LINES: u32 = 20;
/// Lines about requests that are sent to an upstream, in a second: the load of an ordinary
/// node. They have a limit of their own, so that failures are logged under any load.
const SENT_LINES: u32 = 100;

/// State that the tasks of a node share.
pub(crate) struct Driver {
    ex: &'static StaticExecutor,
    log: Logger,
    clock: Clock,
    vm: VmName,
    pub(crate) timers: Arc<Timers>,
    pub(crate) uplink: Uplink,
    /// Memory of large bodies.
    pub(crate) memory: Arc<BodyMemory>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) target: Arc<Target>,
    request_wake: WakeTimer,
    fleet_wake: WakeTimer,
    feed_wake: WakeTimer,
    log_quota: Quota,
    sent_quota: Quota,
    /// Counts the peers' requests whose reply is not written yet.
    pub(crate) unsent_replies: ConnectionTracker,
    store: Option<Arc<Store>>,
    datagrams: Arc<Async<UdpSocket>>,
    health_checks: (Sender<String>, Receiver<String>),
    caller_limits: Mutex<Option<CallerLimits>>,
    pub(crate) dialect: Dialect,
    fleet_actions: (Sender<FleetAction>, Receiver<FleetAction>),
    drained: (Sender<()>, Receiver<()>),
    state: Mutex<State>,
}

/// Kernel, and the operations that wait for its actions. Actions are executed under the
/// lock, so that they keep the order in which the kernel returned them.
struct State {
    kernel: Kernel,
    pending: Pending,
    /// Empty between events; kept to reuse its memory.
    actions: Vec<Action>,
}

/// Arguments of [`Driver::new`].
pub(crate) struct DriverParts {
    pub(crate) ex: &'static StaticExecutor,
    pub(crate) log: Logger,
    pub(crate) cfg: KernelConfig,
    pub(crate) target: Target,
    pub(crate) timers: Arc<Timers>,
    /// Transfer rate of the VM's network link, if it is known.
    pub(crate) link: Option<BitRate>,
    pub(crate) memory: Arc<BodyMemory>,
    pub(crate) store: Option<Arc<Store>>,
    /// Socket for messages about quotas.
    pub(crate) datagrams: Arc<Async<UdpSocket>>,
}

impl Driver {
    pub(crate) fn new(parts: DriverParts) -> Self {
        let clock = Clock::start();
        let vm = parts.cfg.requests.vm.clone();
        let dialect = parts.cfg.requests.terms.dialect.clone();
        let state = State {
            kernel: Kernel::new(parts.cfg, clock.now()),
            pending: Pending::default(),
            actions: Vec::new(),
        };
        Self {
            ex: parts.ex,
            log: parts.log,
            clock,
            vm,
            peers: Arc::new(Peers::new(parts.timers.clone(), parts.memory.clone())),
            memory: parts.memory,
            target: Arc::new(parts.target),
            uplink: Uplink::new(parts.link, parts.timers.clone()),
            timers: parts.timers,
            request_wake: WakeTimer::default(),
            fleet_wake: WakeTimer::default(),
            feed_wake: WakeTimer::default(),
            log_quota: Quota::new(FAILURE_LINES),
            sent_quota: Quota::new(SENT_LINES),
            unsent_replies: ConnectionTracker::default(),
            store: parts.store,
            datagrams: parts.datagrams,
            health_checks: async_channel::unbounded(),
            caller_limits: Mutex::default(),
            dialect,
            fleet_actions: async_channel::unbounded(),
            drained: async_channel::bounded(1),
            state: Mutex::new(state),
        }
    }

    pub(crate) fn log(&self) -> &Logger {
        &self.log
    }

    pub(crate) fn spawn(&self, fut: impl Future<Output = ()> + Send + 'static) {
        self.ex.spawn(fut).detach();
    }

    /// Converts a time of the kernel's clock.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        self.clock.instant(time)
    }

    /// Passes an event to the kernel and executes the resulting actions.
    pub(crate) fn handle(self: &Arc<Self>, event: impl Into<Event>) {
        self.handle_locked(&mut self.lock(), event.into());
    }

    /// Passes a caller's request to the kernel. The receiver yields its final answer.
    pub(crate) fn start_call(self: &Arc<Self>, request: HttpRequest) -> (CallId, Receiver<Answer>) {
        let mut state = self.lock();
        let (call, answer) = state.pending.add_call();
        self.handle_locked(&mut state, RequestEvent::Arrived { call, request }.into());
        (call, answer)
    }

    /// Cancels a caller's request.
    pub(crate) fn cancel_call(self: &Arc<Self>, call: CallId) {
        let mut state = self.lock();
        state.pending.remove_call(call);
        self.handle_locked(&mut state, RequestEvent::Cancelled { call }.into());
    }

    /// Passes a peer's request to the kernel. The receiver yields the reply.
    pub(crate) fn receive_request(
        self: &Arc<Self>,
        request: PeerRequest,
    ) -> (InboundId, Receiver<PeerReply>) {
        let mut state = self.lock();
        let (inbound, reply) = state.pending.add_inbound();
        self.handle_locked(
            &mut state,
            RequestEvent::Received { inbound, request }.into(),
        );
        (inbound, reply)
    }

    /// Cancels a peer's request.
    pub(crate) fn cancel_request(self: &Arc<Self>, inbound: InboundId) {
        let mut state = self.lock();
        state.pending.remove_inbound(inbound);
        self.handle_locked(&mut state, RequestEvent::Withdrawn { inbound }.into());
    }

    /// Returns `true` if the configuration comes from the platform's store by an adapter.
    pub(crate) fn has_store(&self) -> bool {
        self.store.is_some()
    }

    /// Returns the time on the kernel's clock.
    pub(crate) fn now(&self) -> Now {
        self.clock.now()
    }

    /// Reads the state of the kernel, which is locked meanwhile.
    pub(crate) fn inspect<T>(&self, read: impl FnOnce(&Kernel) -> T) -> T {
        read(&self.lock().kernel)
    }

    /// Returns the queue of the fleet's actions that the driver does not execute itself,
    /// in the order in which the kernel returned them.
    pub(crate) fn fleet_actions(&self) -> Receiver<FleetAction> {
        self.fleet_actions.1.clone()
    }

    /// Returns the queue of requested health checks of the local target, by path.
    pub(crate) fn health_checks(&self) -> Receiver<String> {
        self.health_checks.1.clone()
    }

    /// Returns the limits at the callers' port, if the configuration sets them.
    pub(crate) fn caller_limits(&self) -> Option<CallerLimits> {
        *self
            .caller_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the ticks that the request state machine asks for, until the task is dropped.
    pub(crate) async fn tick_requests(self: Arc<Self>) {
        self.handle(RequestEvent::Tick);
        loop {
            self.request_wake.wait(&self.clock).await;
            self.handle(RequestEvent::Tick);
        }
    }

    /// Sends the ticks that the fleet state machine asks for, until the task is dropped.
    pub(crate) async fn tick_fleet(self: Arc<Self>) {
        self.handle(FleetEvent::Tick);
        loop {
            self.fleet_wake.wait(&self.clock).await;
            self.handle(FleetEvent::Tick);
        }
    }

    /// Waits until the requests in flight at a drain are finished.
    pub(crate) async fn wait_drained(&self) {
        let _ = self.drained.1.recv().await;
    }

    fn handle_locked(self: &Arc<Self>, state: &mut State, event: Event) {
        let mut actions = std::mem::take(&mut state.actions);
        let now = self.clock.now();
        state.kernel.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Fleet(action) => self.execute_fleet_action(action),
                Action::Feed(FeedAction::Configured(snapshot)) => {
                    self.log_configuration(&state.kernel, now.mono, &snapshot);
                    self.apply_configuration(&snapshot);
                }
                Action::Feed(action) => self.execute_feed_action(&mut state.pending, action),
                Action::Request(RequestAction::Report(report)) => {
                    self.log_request_report(&state.kernel, now.mono, &report);
                }
                Action::Request(action) => self.execute_request_action(&mut state.pending, action),
            }
        }
        state.actions = actions;
    }

    fn execute_fleet_action(&self, action: FleetAction) {
        match action {
            FleetAction::WakeAt(time) => self.fleet_wake.set(time),
            FleetAction::Configured(snapshot) => {
                slog::info!(self.log, "node: version in effect"; "version" => %snapshot.version.index);
                self.apply_configuration(&snapshot);
            }
            action => {
                let _ = self.fleet_actions.0.try_send(action);
            }
        }
    }

    fn apply_configuration(&self, snapshot: &Snapshot) {
        *self
            .caller_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = snapshot.callers;
        if let Some(limits) = target_limits(snapshot, &self.vm) {
            self.target.set_limits(limits);
        }
    }

    fn execute_request_action(self: &Arc<Self>, pending: &mut Pending, action: RequestAction) {
        match action {
            RequestAction::Answer { call, answer } => pending.answer(call, answer),
            RequestAction::Reply { inbound, reply } => pending.reply(inbound, reply),
            RequestAction::Send {
                exchange,
                peer,
                request,
                deadline,
                ..
            } => {
                let task = self.spawn_exchange(exchange, peer, request, deadline);
                pending.add_exchange(exchange, task);
            }
            RequestAction::Abandon { exchange } => pending.cancel_exchange(exchange),
            RequestAction::Run {
                work,
                request,
                deadline,
            } => {
                let task = self.spawn_work(work, request, deadline);
                pending.add_work(work, task);
            }
            RequestAction::SendQuota { to, message } => {
                heartbeats::send_quota(&self.datagrams, to, message);
            }
            RequestAction::ReportQuota(report) => self.log_quota_report(&report),
            RequestAction::ReportTarget(report) => self.log_target_report(report),
            RequestAction::ReportStop(step) => slog::info!(self.log, "node: {}", step),
            RequestAction::Summarize(summary) => self.log_work_summary(&summary),
            RequestAction::Abort { work } => pending.cancel_work(work),
            RequestAction::CheckHealth { path } => {
                let _ = self.health_checks.0.try_send(path);
            }
            // The kernel and `handle_locked` handle these.
            RequestAction::CatchUp { .. } | RequestAction::Report(_) => {}
            RequestAction::WakeAt(time) => self.request_wake.set(time),
            RequestAction::Drained => {
                let _ = self.drained.0.try_send(());
            }
        }
    }

    fn spawn_exchange(
        self: &Arc<Self>,
        exchange: ExchangeId,
        peer: SocketAddr,
        request: PeerRequest,
        deadline: Time,
    ) -> Task<()> {
        let driver = self.clone();
        let deadline = self.clock.instant(deadline);
        self.ex.spawn(async move {
            let reply = driver.peers.exchange(peer, request, deadline).await;
            let event = match reply {
                Ok(reply) => RequestEvent::Replied { exchange, reply },
                Err(progress) => RequestEvent::ExchangeFailed { exchange, progress },
            };
            let mut state = driver.lock();
            state.pending.finish_exchange(exchange);
            driver.handle_locked(&mut state, event.into());
        })
    }

    fn spawn_work(
        self: &Arc<Self>,
        work: WorkId,
        request: HttpRequest,
        deadline: Time,
    ) -> Task<()> {
        let driver = self.clone();
        let deadline = self.clock.instant(deadline);
        self.ex.spawn(async move {
            let outcome = driver.target.run(request, deadline).await;
            let mut state = driver.lock();
            state.pending.finish_work(work);
            driver.handle_locked(&mut state, RequestEvent::Finished { work, outcome }.into());
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn target_limits(snapshot: &Snapshot, vm: &VmName) -> Option<TargetLimits> {
    let service = &snapshot.upstream_on(vm)?.service;
    let limits = snapshot.services.get(service)?.limits;
    Some(TargetLimits {
        connections: limits.connections.get(),
        body: limits.body,
    })
}
