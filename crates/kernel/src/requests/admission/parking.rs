//! Requests that were routed under a version that is not here yet.

use std::time::Duration;

use super::Admitting;
use super::arrival;
use super::arrival::Arrival;
use super::decision::Refusal;
use super::task::ParkedId;
use crate::NotRun;
use crate::requests::RequestAction;
use crate::requests::context::Context;

/// Longest time for which a request waits for its version.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Part of the time left for which a request waits at most, as a divisor.
const WAIT_DIVISOR: u32 = 4;
/// Requests that may wait at one time.
const MAX_PARKED: usize = 256;

impl Admitting {
    /// Lets a request wait until its version is in force here.
    pub(super) fn park(&mut self, cx: &mut Context<'_>, arrival: Arrival) {
        cx.actions.push(RequestAction::CatchUp {
            version: arrival.handover.version,
            from: arrival.handover.from.clone(),
        });
        if self.parked.len() >= MAX_PARKED {
            self.refuse_behind(cx, &arrival);
            return;
        }
        let id = ParkedId(self.next_number());
        let now = cx.now.mono;
        let wait = ((arrival.deadline - now) / WAIT_DIVISOR).min(MAX_WAIT);
        self.deadlines.set(id.into(), now + wait);
        self.origins.insert(arrival.origin, id.into());
        self.parked.insert(id, arrival);
    }

    /// Goes on with the requests whose version is in force now.
    pub(super) fn unpark(&mut self, cx: &mut Context<'_>) {
        let is_due = |arrival: &Arrival| !cx.view.is_older_than(arrival.handover.version);
        let parked = self.parked.iter().filter(|(_, arrival)| is_due(arrival));
        let due: Vec<_> = parked.map(|(id, _)| *id).collect();
        for id in due {
            if let Some(arrival) = self.end_parking(id) {
                self.accept(cx, arrival);
            }
        }
    }

    /// Refuses a request whose version did not come in time.
    pub(super) fn expire_parked(&mut self, cx: &mut Context<'_>, id: ParkedId) {
        if let Some(arrival) = self.end_parking(id) {
            self.refuse_behind(cx, &arrival);
        }
    }

    /// Ends the wait of a request.
    pub(super) fn end_parking(&mut self, id: ParkedId) -> Option<Arrival> {
        let arrival = self.parked.remove(&id)?;
        self.origins.remove(&arrival.origin);
        self.deadlines.cancel(id.into());
        Some(arrival)
    }

    fn refuse_behind(&mut self, cx: &mut Context<'_>, arrival: &Arrival) {
        if let Some(copy) = arrival::keyed_copy(cx, &arrival.handover) {
            self.journal.record_refusal(cx.now, &copy);
        }
        self.reply(cx, arrival.origin, Refusal::new(NotRun::Behind).into());
    }
}
