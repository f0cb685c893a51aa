//! Simulated network between the nodes, and execution of their actions.

use std::net::SocketAddr;

use celeryshore_kernel::ExchangeId;
use celeryshore_kernel::InboundId;
use celeryshore_kernel::PeerRequest;
use celeryshore_kernel::Progress;
use celeryshore_kernel::QuotaMessage;
use celeryshore_kernel::RequestAction;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::WorkId;
use celeryshore_model::HttpRequest;
use celeryshore_model::Time;
use celeryshore_model::VmName;

use super::Mesh;
use super::Run;
use super::name;

/// Port below that of the first upstream.
const FIRST_PORT: u16 = 7_000;

impl Mesh {
    /// Ends a node's process. Its exchanges break, and the runs at its target are lost.
    pub fn kill(&mut self, vm: &str) {
        let vm = name(vm);
        self.nodes.remove(&vm);
        self.runs.retain(|r| r.vm != vm);
        let is_reply = |event: &RequestEvent| matches!(event, RequestEvent::Replied { .. });
        self.blocked_messages
            .retain(|(to, event)| *to != vm || !is_reply(event));
        let links = std::mem::take(&mut self.links);
        for (inbound, (from, exchange, to)) in links {
            if to == vm {
                self.drop_message(inbound);
                let progress = Progress::MaybeSent;
                self.push(&from, RequestEvent::ExchangeFailed { exchange, progress });
            } else if from == vm {
                self.push(&to, RequestEvent::Withdrawn { inbound });
            } else {
                self.links.insert(inbound, (from, exchange, to));
            }
        }
        self.process_events();
    }

    /// Drops a message whose connection broke at the receiver.
    fn drop_message(&mut self, dropped: InboundId) {
        let is_dropped = |event: &RequestEvent| matches!(event, RequestEvent::Received { inbound, .. } if *inbound == dropped);
        self.blocked_messages
            .retain(|(_, event)| !is_dropped(event));
    }

    /// Cuts or restores the link from one VM to another.
    pub fn set_cut(&mut self, from: &str, to: &str, is_cut: bool) {
        let link = (name(from), name(to));
        if is_cut {
            self.cut.insert(link);
        } else {
            self.cut.remove(&link);
        }
    }

    /// Drops one of the messages that are held back, and breaks its exchange.
    pub fn lose(&mut self, i: usize) {
        let (vm, event) = self.blocked_messages.remove(i);
        let progress = Progress::MaybeSent;
        match event {
            RequestEvent::Received { inbound, .. } => {
                if let Some((from, exchange, _)) = self.links.remove(&inbound) {
                    self.push(&from, RequestEvent::ExchangeFailed { exchange, progress });
                }
            }
            RequestEvent::Replied { exchange, .. } => {
                self.push(&vm, RequestEvent::ExchangeFailed { exchange, progress });
            }
            _ => {}
        }
        self.process_events();
    }

    /// Delivers a datagram to the node whose upstream has the address.
    fn send_quota(&mut self, from: &VmName, to: SocketAddr, message: QuotaMessage) {
        self.quota_messages += 1;
        let to = name(&format!("vm-{}", to.port() - FIRST_PORT));
        if self.cut.contains(&(from.clone(), to.clone())) {
            return;
        }
        let number = from.as_str().trim_start_matches("vm-").parse::<u16>();
        let port = FIRST_PORT + number.expect("numbered VM");
        let from = SocketAddr::from(([127, 0, 0, 1], port));
        self.push(&to, RequestEvent::QuotaReceived { from, message });
    }

    pub(super) fn act(&mut self, vm: &VmName, action: RequestAction) {
        match action {
            RequestAction::Answer { call, answer } => {
                let earlier = self.answers.insert(call, answer);
                assert!(earlier.is_none(), "two answers to {call}");
            }
            RequestAction::Send {
                exchange,
                vm: to,
                request,
                ..
            } => self.transmit(vm, exchange, &to, request),
            RequestAction::Abandon { exchange } => self.abandon(vm, exchange),
            RequestAction::Reply { inbound, reply } => {
                if let Some((from, exchange, _)) = self.links.remove(&inbound) {
                    self.push(&from, RequestEvent::Replied { exchange, reply });
                }
            }
            RequestAction::Run {
                work,
                request,
                deadline,
            } => self.run(vm, work, request, deadline),
            RequestAction::Abort { work } => {
                self.runs.retain(|r| (&r.vm, r.work) != (vm, work));
            }
            RequestAction::CatchUp { .. } => self.catch_ups += 1,
            RequestAction::CheckHealth { .. } => self.health_checks += 1,
            RequestAction::Report(_)
            | RequestAction::ReportTarget(_)
            | RequestAction::ReportStop(_)
            | RequestAction::ReportQuota(_) => {}
            RequestAction::SendQuota { to, message } => self.send_quota(vm, to, message),
            RequestAction::Summarize(summary) => self.summaries.push(*summary),
            RequestAction::WakeAt(at) => self.node(vm).wake_at = Some(at),
            RequestAction::Drained => self.node(vm).is_drained = true,
        }
    }

    fn transmit(&mut self, from: &VmName, exchange: ExchangeId, to: &VmName, msg: PeerRequest) {
        self.inquiries += usize::from(matches!(msg, PeerRequest::Inquiry(_)));
        self.handovers += usize::from(matches!(msg, PeerRequest::Handover(_)));
        let is_cut = self.cut.contains(&(from.clone(), to.clone()));
        if is_cut || !self.nodes.contains_key(to) {
            let progress = Progress::NeverSent;
            self.push(from, RequestEvent::ExchangeFailed { exchange, progress });
            return;
        }
        self.last_id += 1;
        let inbound = InboundId(self.last_id);
        self.links
            .insert(inbound, (from.clone(), exchange, to.clone()));
        let request = msg;
        self.push(to, RequestEvent::Received { inbound, request });
    }

    fn abandon(&mut self, vm: &VmName, exchange: ExchangeId) {
        let link = self
            .links
            .iter()
            .find(|(_, (from, x, _))| (from, *x) == (vm, exchange));
        if let Some((&inbound, (_, _, to))) = link {
            let to = to.clone();
            self.links.remove(&inbound);
            self.push(&to, RequestEvent::Withdrawn { inbound });
        }
    }

    fn run(&mut self, vm: &VmName, work: WorkId, request: HttpRequest, deadline: Time) {
        let run = Run {
            vm: vm.clone(),
            work,
            request,
            deadline,
        };
        self.runs.push(run.clone());
        self.history.push(run);
    }
}
