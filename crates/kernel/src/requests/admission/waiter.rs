//! Waiters for the end of a keyed copy that runs here.

use super::Admission;
use super::arrival;
use super::arrival::Arrival;
use super::task::WaiterId;
use crate::Inquiry;
use crate::Seen;
use crate::Vote;
use crate::requests::InquiryDecision;
use crate::requests::context::Context;
use crate::requests::context::Origin;

/// Waiter for the end of a keyed copy.
#[derive(Debug)]
pub(super) enum Waiter {
    /// Another copy of the same request.
    Copy(Arrival),
    /// A node that checks for duplicates.
    Inquirer(Origin, Box<Inquiry>),
}

impl Admission {
    /// Handles an inquiry: replies now, or when the running copy has ended.
    pub(in crate::requests) fn handle_inquiry(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        inquiry: Inquiry,
    ) {
        let waiter = WaiterId(self.next_number());
        if !cx.view.is_witness(cx.now.mono, &inquiry.from) {
            self.unlisted_inquirers
                .record(cx.now.mono, &inquiry.key, &inquiry.from);
        }
        let has_unlisted_inquirer = self
            .unlisted_inquirers
            .has_other(&inquiry.key, &inquiry.from);
        match self.journal.answer_inquiry(cx.now, &inquiry, waiter) {
            InquiryDecision::Vote(Seen::Fenced) if has_unlisted_inquirer => {
                vote(cx, origin, Seen::Behind);
            }
            InquiryDecision::Vote(seen) => vote(cx, origin, seen),
            InquiryDecision::Wait => {
                self.add_waiter(waiter, Waiter::Inquirer(origin, Box::new(inquiry)));
            }
        }
    }

    pub(super) fn add_waiter(&mut self, id: WaiterId, waiter: Waiter) {
        match &waiter {
            Waiter::Copy(arrival) => {
                self.origins.insert(arrival.origin, id.into());
                self.deadlines.set(id.into(), arrival.deadline);
            }
            Waiter::Inquirer(origin, _) => {
                self.origins.insert(*origin, id.into());
            }
        }
        self.waiters.insert(id, waiter);
    }

    /// Handles the request of a waiter again, after the copy that it waited for has
    /// ended.
    pub(super) fn retry_waiter(&mut self, cx: &mut Context<'_>, id: WaiterId) {
        match self.remove_waiter(id) {
            Some(Waiter::Copy(arrival)) => {
                if let Some(copy) = arrival::keyed_copy(cx, &arrival.handover) {
                    self.handle_keyed_copy(cx, arrival, &copy);
                }
            }
            Some(Waiter::Inquirer(origin, inquiry)) => self.handle_inquiry(cx, origin, *inquiry),
            None => {}
        }
    }

    pub(super) fn remove_waiter(&mut self, id: WaiterId) -> Option<Waiter> {
        let waiter = self.waiters.remove(&id)?;
        let origin = match &waiter {
            Waiter::Copy(arrival) => arrival.origin,
            Waiter::Inquirer(origin, _) => *origin,
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
