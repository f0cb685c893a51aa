//! Those who wait for the end of a keyed copy that runs.

use super::Admitting;
use super::arrival;
use super::arrival::Arrival;
use super::task::WaiterId;
use crate::Inquiry;
use crate::Seen;
use crate::Vote;
use crate::requests::InquiryDecision;
use crate::requests::context::Context;
use crate::requests::context::Origin;

/// Someone who waits for the end of a keyed copy.
#[derive(Debug)]
pub(super) enum Waiter {
    /// Another copy of the same request.
    Copy(Arrival),
    /// A judging node.
    Judge(Origin, Box<Inquiry>),
}

impl Admitting {
    /// Answers a judging node, now or when the running copy has ended.
    pub(in crate::requests) fn inquired(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        inquiry: Inquiry,
    ) {
        let waiter = WaiterId(self.next_number());
        if !cx.view.is_witness(cx.now.mono, &inquiry.from) {
            self.strangers
                .record(cx.now.mono, &inquiry.key, &inquiry.from);
        }
        let is_incomplete = self.strangers.have_judged(&inquiry.key, &inquiry.from);
        match self.journal.answer_inquiry(cx.now, &inquiry, waiter) {
            InquiryDecision::Vote(Seen::Fenced) if is_incomplete => vote(cx, origin, Seen::Behind),
            InquiryDecision::Vote(seen) => vote(cx, origin, seen),
            InquiryDecision::Wait => self.wait(waiter, Waiter::Judge(origin, Box::new(inquiry))),
        }
    }

    /// Lets someone wait for the end of a copy.
    pub(super) fn wait(&mut self, id: WaiterId, waiter: Waiter) {
        match &waiter {
            Waiter::Copy(arrival) => {
                self.origins.insert(arrival.origin, id.into());
                self.deadlines.set(id.into(), arrival.deadline);
            }
            Waiter::Judge(origin, _) => {
                self.origins.insert(*origin, id.into());
            }
        }
        self.waiters.insert(id, waiter);
    }

    /// Lets someone ask again after the copy has ended.
    pub(super) fn ask_again(&mut self, cx: &mut Context<'_>, id: WaiterId) {
        match self.end_wait(id) {
            Some(Waiter::Copy(arrival)) => {
                if let Some(copy) = arrival::keyed_copy(cx, &arrival.handover) {
                    self.received_copy(cx, arrival, &copy);
                }
            }
            Some(Waiter::Judge(origin, inquiry)) => self.inquired(cx, origin, *inquiry),
            None => {}
        }
    }

    /// Ends a wait.
    pub(super) fn end_wait(&mut self, id: WaiterId) -> Option<Waiter> {
        let waiter = self.waiters.remove(&id)?;
        let origin = match &waiter {
            Waiter::Copy(arrival) => arrival.origin,
            Waiter::Judge(origin, _) => *origin,
        };
        self.origins.remove(&origin);
        self.deadlines.cancel(id.into());
        Some(waiter)
    }
}

fn vote(cx: &mut Context<'_>, origin: Origin, seen: Seen) {
    let vote = Vote {
        seen,
        version: cx.view.version(),
        incarnation: cx.view.cfg().incarnation,
    };
    cx.reply(origin, Box::new(vote));
}
