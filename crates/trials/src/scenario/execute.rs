//! Executes the actions of the nodes.

use std::time::Duration;

use celeryshore_kernel::Action;
use celeryshore_kernel::Event;
use celeryshore_kernel::FleetAction;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::InboundId;
use celeryshore_kernel::InboundPullId;
use celeryshore_kernel::PeerRequest;
use celeryshore_kernel::Progress;
use celeryshore_kernel::ReadFailure;
use celeryshore_kernel::ReadId;
use celeryshore_kernel::ReadQuery;
use celeryshore_kernel::RequestAction;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::WorkId;
use celeryshore_model::HttpRequest;
use celeryshore_model::Time;

use super::caller;
use super::connection::Connection;
use super::connection::ConnectionId;
use super::connection::Purpose;
use super::deployment;
use super::event_queue::ProcessId;
use super::event_queue::SimEvent;
use super::platform::ReadResult;
use super::recorder::RunRecord;
use super::recorder::Violation;
use super::simulation::Simulation;

/// Time between a read and the platform's response.
const READ_TIME: Duration = Duration::from_millis(3);

/// Time that a node needs to prepare a configuration.
const PREPARE_TIME: Duration = Duration::from_millis(5);

/// Minimum time that a target needs for a request; the maximum is twice that.
const WORK_TIME: Duration = Duration::from_millis(10);

/// Interval at which the platform checks its watches.
const WATCH_PERIOD: Duration = Duration::from_millis(5);

impl Simulation {
    /// Executes one action of a node.
    pub(super) fn execute(&mut self, pid: ProcessId, action: Action) {
        match action {
            Action::Fleet(action) => self.execute_fleet(pid, action),
            // Nodes of scenarios have no feed; their rules come as a text.
            Action::Feed(_) => {}
            Action::Request(action) => self.execute_request(pid, action),
        }
    }

    fn execute_fleet(&mut self, pid: ProcessId, action: FleetAction) {
        match action {
            FleetAction::Send { to, datagram } => {
                let from = deployment::peer(pid.node);
                let to = self.addresses.get(&to).copied();
                let event = FleetEvent::Received { from, datagram };
                self.send_datagram(pid, to, event);
            }
            FleetAction::Pull {
                pull,
                control,
                request,
                deadline,
            } => {
                let Some(to) = self.addresses.get(&control).copied() else {
                    return;
                };
                let request_event = |id: ConnectionId| {
                    let inbound = InboundPullId(id.0);
                    FleetEvent::PullReceived { inbound, request }.into()
                };
                self.open_connection(pid, to, Purpose::Pull(pull), deadline, request_event);
            }
            FleetAction::PullReply { inbound, reply } => {
                self.send_reply(inbound.into(), |purpose| match purpose {
                    Purpose::Pull(pull) => Some(FleetEvent::Pulled { pull, reply }.into()),
                    Purpose::Exchange(_) => None,
                });
            }
            FleetAction::Read {
                read,
                query,
                deadline,
            } => self.read(pid, read, &query, deadline),
            FleetAction::AbandonRead { read } => self.platform.abandon(pid, read),
            FleetAction::Prepare(prepare) => {
                let prepared = Box::new(prepare.run());
                let at = self.now + PREPARE_TIME;
                self.deliver(at, pid, FleetEvent::Prepared(prepared));
            }
            FleetAction::Configured(snapshot) => {
                self.recorder.record_version(pid.node, snapshot.version);
            }
            FleetAction::Member { .. } | FleetAction::Report(_) => {}
            FleetAction::WakeAt(at) => {
                if let Some(process) = self.process(pid) {
                    process.fleet_wake = Some(at);
                }
                self.events.add(at, SimEvent::FleetTick(pid));
            }
        }
    }

    fn execute_request(&mut self, pid: ProcessId, action: RequestAction) {
        match action {
            RequestAction::Answer { call, answer } => self.recorder.record_answer(call, answer),
            RequestAction::Send {
                exchange,
                peer,
                request,
                deadline,
                ..
            } => {
                let Some(to) = self.addresses.get(&peer).copied() else {
                    return;
                };
                self.record_route(&request, to);
                let request_event = |id: ConnectionId| {
                    let inbound = InboundId(id.0);
                    RequestEvent::Received { inbound, request }.into()
                };
                self.open_connection(
                    pid,
                    to,
                    Purpose::Exchange(exchange),
                    deadline,
                    request_event,
                );
            }
            RequestAction::Abandon { exchange } => {
                let id = self.connections.find(pid, Purpose::Exchange(exchange));
                if let Some((id, conn)) = id.and_then(|id| Some((id, self.connections.close(id)?)))
                {
                    self.withdraw(id, &conn);
                }
            }
            RequestAction::Reply { inbound, reply } => {
                self.send_reply(inbound.into(), |purpose| match purpose {
                    Purpose::Exchange(exchange) => {
                        Some(RequestEvent::Replied { exchange, reply }.into())
                    }
                    Purpose::Pull(_) => None,
                });
            }
            RequestAction::Run { work, request, .. } => self.run_work(pid, work, request),
            RequestAction::Abort { work } => self.nodes[pid.node].target.abort(work),
            RequestAction::CatchUp { .. }
            | RequestAction::CheckHealth { .. }
            | RequestAction::Report(_)
            | RequestAction::SendQuota { .. }
            | RequestAction::ReportQuota(_)
            | RequestAction::ReportTarget(_)
            | RequestAction::ReportStop(_)
            | RequestAction::Summarize(_)
            | RequestAction::Drained => {}
            RequestAction::WakeAt(at) => {
                if let Some(process) = self.process(pid) {
                    process.request_wake = Some(at);
                }
                self.events.add(at, SimEvent::RequestTick(pid));
            }
        }
    }

    fn record_route(&mut self, request: &PeerRequest, to: usize) {
        if let PeerRequest::Handover(handover) = request
            && let Some(call) = caller::call_of(&handover.request)
        {
            self.recorder.record_route(call, to, handover.version);
        }
    }

    fn send_datagram(&mut self, from: ProcessId, to: Option<usize>, event: FleetEvent) {
        let is_dropped = self.network.drops_datagram(&mut self.rng);
        let Some(pid) = to.and_then(|to| self.pid(to)) else {
            return;
        };
        if !is_dropped && !self.network.is_cut(from.node, pid.node) {
            let at = self.now + self.network.latency(&mut self.rng);
            self.deliver(at, pid, event);
        }
    }

    /// Opens a connection and sends a request over it.
    ///
    /// Across a partition the request is lost, and the sender waits until the
    /// deadline. A VM without a process refuses the connection at once.
    fn open_connection(
        &mut self,
        from: ProcessId,
        to: usize,
        purpose: Purpose,
        deadline: Time,
        request_event: impl FnOnce(ConnectionId) -> Event,
    ) {
        let arrival = self.now + self.network.latency(&mut self.rng);
        let conn = Connection {
            from,
            to,
            purpose,
            arrival,
        };
        let is_cut = self.network.is_cut(from.node, to);
        let receiver = self.pid(to);
        if receiver.is_none() && !is_cut {
            self.deliver(arrival, from, conn.failure_event(Progress::NeverSent));
            return;
        }
        let id = self.connections.open(conn);
        self.events.add(deadline, SimEvent::ConnectionDeadline(id));
        if let Some(pid) = receiver.filter(|_| !is_cut) {
            self.deliver(arrival, pid, request_event(id));
        }
    }

    /// Sends the reply on a connection and closes it; across a partition the reply
    /// is lost and the connection stays open.
    fn send_reply(&mut self, id: ConnectionId, event: impl FnOnce(Purpose) -> Option<Event>) {
        let Some(conn) = self.connections.get(id).copied() else {
            return;
        };
        if self.network.is_cut(conn.from.node, conn.to) {
            return;
        }
        self.connections.close(id);
        let at = self.now + self.network.latency(&mut self.rng);
        if let Some(event) = event(conn.purpose) {
            self.deliver(at, conn.from, event);
        }
    }

    /// Informs the receiver that the sender closed the connection. The message
    /// never overtakes the request.
    pub(super) fn withdraw(&mut self, id: ConnectionId, conn: &Connection) {
        let Some((pid, event)) = self.pid(conn.to).zip(conn.withdrawal_event(id)) else {
            return;
        };
        if !self.network.is_cut(conn.from.node, conn.to) {
            let at = self.now + self.network.latency(&mut self.rng);
            self.deliver(at.max(conn.arrival), pid, event);
        }
    }

    fn read(&mut self, pid: ProcessId, read: ReadId, query: &ReadQuery, deadline: Time) {
        if self.network.is_cut_from_source(pid.node) {
            let failure = ReadFailure::Timeout;
            self.deliver(deadline, pid, FleetEvent::ReadFailed { read, failure });
            return;
        }
        if let Some(answer) = self.platform.read(pid, read, query, self.now) {
            self.answer_read(pid, read, answer);
        }
    }

    fn answer_read(&mut self, pid: ProcessId, read: ReadId, answer: ReadResult) {
        let event = match answer {
            Ok(answer) => FleetEvent::Read { read, answer },
            Err(failure) => FleetEvent::ReadFailed { read, failure },
        };
        self.deliver(self.now + READ_TIME, pid, event);
    }

    /// Answers the watches that are due and schedules the next check.
    ///
    /// A response across a partition is lost; the node abandons the read.
    pub(super) fn answer_watches(&mut self) {
        for (watch, answer) in self.platform.take_due(self.now) {
            if !self.network.is_cut_from_source(watch.pid.node) {
                self.answer_read(watch.pid, watch.read, answer);
            }
        }
        self.events
            .add(self.now + WATCH_PERIOD, SimEvent::CheckWatches);
    }

    fn run_work(&mut self, pid: ProcessId, work: WorkId, request: HttpRequest) {
        let target = &mut self.nodes[pid.node].target;
        let at_most_once = caller::is_at_most_once(&request);
        let run = caller::call_of(&request).map(|call| RunRecord {
            at: self.now,
            node: pid.node,
            operation: caller::operation_of(&request),
            call,
        });
        if let Some(outcome) = target.begin(work, request) {
            let event = RequestEvent::Finished { work, outcome };
            self.deliver(self.now, pid, event);
            return;
        }
        if target.is_overloaded(self.now) {
            let node = pid.node + 1;
            self.recorder
                .violations
                .push(Violation::ColdStartOverload { node });
        }
        if let Some(run) = run {
            self.recorder.record_run(run, at_most_once);
        }
        let time = WORK_TIME.mul_f64(1.0 + self.rng.f64());
        self.events
            .add(self.now + time, SimEvent::WorkDone(pid, work));
    }
}
