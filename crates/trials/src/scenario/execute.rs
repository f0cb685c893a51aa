//! Carries out what nodes decide.

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
use super::connection::Link;
use super::connection::LinkId;
use super::connection::Purpose;
use super::deployment;
use super::event_queue::Happening;
use super::event_queue::Life;
use super::platform::ReadResult;
use super::recorder::RunRecord;
use super::recorder::Violation;
use super::simulation::World;

/// Time that the platform takes to answer.
const READ_TIME: Duration = Duration::from_millis(3);

/// Time that a node takes to prepare a configuration.
const PREPARE_TIME: Duration = Duration::from_millis(5);

/// Shortest time that a target takes for a request.
const WORK_TIME: Duration = Duration::from_millis(10);

/// Time from one look of the platform at its watches to the next.
const WATCH_PERIOD: Duration = Duration::from_millis(5);

impl World {
    /// Carries out one action of a node.
    pub(super) fn act(&mut self, life: Life, action: Action) {
        match action {
            Action::Fleet(action) => self.act_for_fleet(life, action),
            // Nodes of scenarios follow rules texts.
            Action::Feed(_) => {}
            Action::Request(action) => self.act_for_request(life, action),
        }
    }

    fn act_for_fleet(&mut self, life: Life, action: FleetAction) {
        match action {
            FleetAction::Send { to, datagram } => {
                let from = deployment::peer(life.node);
                let to = self.addresses.get(&to).copied();
                let event = FleetEvent::Received { from, datagram };
                self.send_datagram(life, to, event);
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
                let received = |id: LinkId| {
                    let inbound = InboundPullId(id.0);
                    FleetEvent::PullReceived { inbound, request }.into()
                };
                self.open(life, to, Purpose::Pull(pull), deadline, received);
            }
            FleetAction::PullReply { inbound, reply } => {
                self.reply(inbound.into(), |purpose| match purpose {
                    Purpose::Pull(pull) => Some(FleetEvent::Pulled { pull, reply }.into()),
                    Purpose::Exchange(_) => None,
                });
            }
            FleetAction::Read {
                read,
                query,
                deadline,
            } => self.read(life, read, &query, deadline),
            FleetAction::AbandonRead { read } => self.platform.abandon(life, read),
            FleetAction::Prepare(prepare) => {
                let prepared = Box::new(prepare.run());
                let at = self.now + PREPARE_TIME;
                self.deliver(at, life, FleetEvent::Prepared(prepared));
            }
            FleetAction::Configured(snapshot) => {
                self.record.configured(life.node, snapshot.version);
            }
            FleetAction::Member { .. } | FleetAction::Report(_) => {}
            FleetAction::WakeAt(at) => {
                if let Some(process) = self.process(life) {
                    process.fleet_wake = Some(at);
                }
                self.agenda.add(at, Happening::FleetTick(life));
            }
        }
    }

    fn act_for_request(&mut self, life: Life, action: RequestAction) {
        match action {
            RequestAction::Answer { call, answer } => self.record.answered(call, answer),
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
                self.note_route(&request, to);
                let received = |id: LinkId| {
                    let inbound = InboundId(id.0);
                    RequestEvent::Received { inbound, request }.into()
                };
                self.open(life, to, Purpose::Exchange(exchange), deadline, received);
            }
            RequestAction::Abandon { exchange } => {
                let id = self.links.find(life, Purpose::Exchange(exchange));
                if let Some((id, link)) = id.and_then(|id| Some((id, self.links.close(id)?))) {
                    self.withdraw(id, &link);
                }
            }
            RequestAction::Reply { inbound, reply } => {
                self.reply(inbound.into(), |purpose| match purpose {
                    Purpose::Exchange(exchange) => {
                        Some(RequestEvent::Replied { exchange, reply }.into())
                    }
                    Purpose::Pull(_) => None,
                });
            }
            RequestAction::Run { work, request, .. } => self.run_work(life, work, request),
            RequestAction::Abort { work } => self.nodes[life.node].target.abort(work),
            RequestAction::CatchUp { .. }
            | RequestAction::CheckHealth { .. }
            | RequestAction::Report(_)
            | RequestAction::Summarize(_)
            | RequestAction::Drained => {}
            RequestAction::WakeAt(at) => {
                if let Some(process) = self.process(life) {
                    process.request_wake = Some(at);
                }
                self.agenda.add(at, Happening::RequestTick(life));
            }
        }
    }

    fn note_route(&mut self, request: &PeerRequest, to: usize) {
        if let PeerRequest::Handover(handover) = request
            && let Some(call) = caller::call_of(&handover.request)
        {
            self.record.routed(call, to, handover.version);
        }
    }

    fn send_datagram(&mut self, from: Life, to: Option<usize>, event: FleetEvent) {
        let lost = self.network.loses(&mut self.rng);
        let Some(life) = to.and_then(|to| self.life(to)) else {
            return;
        };
        if !lost && !self.network.is_cut(from.node, life.node) {
            let at = self.now + self.network.latency(&mut self.rng);
            self.deliver(at, life, event);
        }
    }

    /// Opens a connection and sends a message. Over a cut it stays silent until
    /// its deadline; a VM without a process refuses it at once.
    fn open(
        &mut self,
        from: Life,
        to: usize,
        purpose: Purpose,
        deadline: Time,
        received: impl FnOnce(LinkId) -> Event,
    ) {
        let arrival = self.now + self.network.latency(&mut self.rng);
        let link = Link {
            from,
            to,
            purpose,
            arrival,
        };
        let is_cut = self.network.is_cut(from.node, to);
        let far_end = self.life(to);
        if far_end.is_none() && !is_cut {
            self.deliver(arrival, from, link.failure(Progress::NeverSent));
            return;
        }
        let id = self.links.open(link);
        self.agenda.add(deadline, Happening::Expiry(id));
        if let Some(life) = far_end.filter(|_| !is_cut) {
            self.deliver(arrival, life, received(id));
        }
    }

    /// Sends the reply on a connection; over a cut it is lost.
    fn reply(&mut self, id: LinkId, event: impl FnOnce(Purpose) -> Option<Event>) {
        let Some(link) = self.links.get(id).copied() else {
            return;
        };
        if self.network.is_cut(link.from.node, link.to) {
            return;
        }
        self.links.close(id);
        let at = self.now + self.network.latency(&mut self.rng);
        if let Some(event) = event(link.purpose) {
            self.deliver(at, link.from, event);
        }
    }

    /// Tells the far end of a connection that it is closed.
    pub(super) fn withdraw(&mut self, id: LinkId, link: &Link) {
        let Some((life, event)) = self.life(link.to).zip(link.withdrawal(id)) else {
            return;
        };
        if !self.network.is_cut(link.from.node, link.to) {
            let at = self.now + self.network.latency(&mut self.rng);
            self.deliver(at.max(link.arrival), life, event);
        }
    }

    fn read(&mut self, life: Life, read: ReadId, query: &ReadQuery, deadline: Time) {
        if self.network.is_cut_from_source(life.node) {
            let failure = ReadFailure::Timeout;
            self.deliver(deadline, life, FleetEvent::ReadFailed { read, failure });
            return;
        }
        if let Some(answer) = self.platform.read(life, read, query, self.now) {
            self.answer_read(life, read, answer);
        }
    }

    fn answer_read(&mut self, life: Life, read: ReadId, answer: ReadResult) {
        let event = match answer {
            Ok(answer) => FleetEvent::Read { read, answer },
            Err(failure) => FleetEvent::ReadFailed { read, failure },
        };
        self.deliver(self.now + READ_TIME, life, event);
    }

    /// Answers watches. One over a cut is lost; its node gives it up.
    pub(super) fn answer_watches(&mut self) {
        for (watch, answer) in self.platform.due(self.now) {
            if !self.network.is_cut_from_source(watch.life.node) {
                self.answer_read(watch.life, watch.read, answer);
            }
        }
        self.agenda.add(self.now + WATCH_PERIOD, Happening::Watches);
    }

    fn run_work(&mut self, life: Life, work: WorkId, request: HttpRequest) {
        let target = &mut self.nodes[life.node].target;
        let at_most_once = caller::is_at_most_once(&request);
        let run = caller::call_of(&request).map(|call| RunRecord {
            at: self.now,
            node: life.node,
            operation: caller::operation_of(&request),
            call,
        });
        if let Some(outcome) = target.begin(work, request) {
            let event = RequestEvent::Finished { work, outcome };
            self.deliver(self.now, life, event);
            return;
        }
        if target.is_overrun(self.now) {
            let node = life.node + 1;
            self.record.violations.push(Violation::ColdOverrun { node });
        }
        if let Some(run) = run {
            self.record.ran(run, at_most_once);
        }
        let time = WORK_TIME.mul_f64(1.0 + self.rng.f64());
        self.agenda
            .add(self.now + time, Happening::Work(life, work));
    }
}
