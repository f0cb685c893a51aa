//! Operations that wait for an action of the kernel.

use std::collections::HashMap;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;
use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::CatalogAnswer;
use celeryshore_kernel::ExchangeId;
use celeryshore_kernel::InboundId;
use celeryshore_kernel::PeerReply;
use celeryshore_kernel::PollId;
use celeryshore_kernel::WorkId;

/// Callers and peers that wait for a response, and tasks that can be cancelled.
#[derive(Default)]
pub(super) struct Pending {
    last_id: u64,
    calls: HashMap<CallId, Sender<Answer>>,
    inbound: HashMap<InboundId, Sender<PeerReply>>,
    exchanges: HashMap<ExchangeId, Task<()>>,
    works: HashMap<WorkId, Task<()>>,
    polls: HashMap<PollId, Sender<Box<CatalogAnswer>>>,
}

impl Pending {
    pub(super) fn add_call(&mut self) -> (CallId, Receiver<Answer>) {
        let call = CallId(self.next_id());
        let (tx, rx) = async_channel::bounded(1);
        self.calls.insert(call, tx);
        (call, rx)
    }

    pub(super) fn remove_call(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    pub(super) fn answer(&mut self, call: CallId, answer: Answer) {
        if let Some(tx) = self.calls.remove(&call) {
            let _ = tx.try_send(answer);
        }
    }

    pub(super) fn add_inbound(&mut self) -> (InboundId, Receiver<PeerReply>) {
        let inbound = InboundId(self.next_id());
        let (tx, rx) = async_channel::bounded(1);
        self.inbound.insert(inbound, tx);
        (inbound, rx)
    }

    pub(super) fn remove_inbound(&mut self, inbound: InboundId) {
        self.inbound.remove(&inbound);
    }

    pub(super) fn reply(&mut self, inbound: InboundId, reply: PeerReply) {
        if let Some(tx) = self.inbound.remove(&inbound) {
            let _ = tx.try_send(reply);
        }
    }

    pub(super) fn add_poll(&mut self) -> (PollId, Receiver<Box<CatalogAnswer>>) {
        let poll = PollId(self.next_id());
        let (tx, rx) = async_channel::bounded(1);
        self.polls.insert(poll, tx);
        (poll, rx)
    }

    pub(super) fn remove_poll(&mut self, poll: PollId) {
        self.polls.remove(&poll);
    }

    pub(super) fn answer_poll(&mut self, poll: PollId, answer: Box<CatalogAnswer>) {
        if let Some(tx) = self.polls.remove(&poll) {
            let _ = tx.try_send(answer);
        }
    }

    pub(super) fn add_exchange(&mut self, exchange: ExchangeId, task: Task<()>) {
        self.exchanges.insert(exchange, task);
    }

    /// Cancels an exchange, which closes its connection.
    pub(super) fn cancel_exchange(&mut self, exchange: ExchangeId) {
        self.exchanges.remove(&exchange);
    }

    /// Detaches the task of a finished exchange; to drop it would cancel the task.
    pub(super) fn finish_exchange(&mut self, exchange: ExchangeId) {
        if let Some(task) = self.exchanges.remove(&exchange) {
            task.detach();
        }
    }

    pub(super) fn add_work(&mut self, work: WorkId, task: Task<()>) {
        self.works.insert(work, task);
    }

    /// Cancels a request at the local target, which closes its connection.
    pub(super) fn cancel_work(&mut self, work: WorkId) {
        self.works.remove(&work);
    }

    /// Detaches the task of a finished request at the local target.
    pub(super) fn finish_work(&mut self, work: WorkId) {
        if let Some(task) = self.works.remove(&work) {
            task.detach();
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
