//! Requests that were routed under a configuration version that isn't in effect here yet.

use std::time::Duration;

use super::Admission;
use super::arrival;
use super::arrival::Arrival;
use super::decision::Refusal;
use super::task::ParkedId;
use crate::NotRun;
use crate::requests::RequestAction;
use crate::requests::context::Context;

/// Maximum time for which a request is parked.
const MAX_PARK_TIME: Duration = Duration::from_millis(100);
/// Divisor of the time left: the maximum part of it for which a request is parked.
const PARK_TIME_DIVISOR: u32 = 4;
/// Maximum number of parked requests.
const MAX_PARKED: usize = 256;

impl Admission {
    /// Parks a request until its version takes effect here.
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
        let wait = ((arrival.deadline - now) / PARK_TIME_DIVISOR).min(MAX_PARK_TIME);
        self.deadlines.set(id.into(), now + wait);
        self.origins.insert(arrival.origin, id.into());
        self.parked.insert(id, arrival);
    }

    /// Continues with the requests whose version has taken effect.
    pub(super) fn unpark(&mut self, cx: &mut Context<'_>) {
        let is_due = |arrival: &Arrival| !cx.view.is_older_than(arrival.handover.version);
        let parked = self.parked.iter().filter(|(_, arrival)| is_due(arrival));
        let due: Vec<_> = parked.map(|(id, _)| *id).collect();
        for id in due {
            if let Some(arrival) = self.remove_parked(id) {
                self.accept(cx, arrival);
            }
        }
    }

    /// Refuses a request whose version didn't take effect here in time.
    pub(super) fn expire_parked(&mut self, cx: &mut Context<'_>, id: ParkedId) {
        if let Some(arrival) = self.remove_parked(id) {
            self.refuse_behind(cx, &arrival);
        }
    }

    pub(super) fn remove_parked(&mut self, id: ParkedId) -> Option<Arrival> {
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
