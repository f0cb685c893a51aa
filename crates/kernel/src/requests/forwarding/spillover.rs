//! When the requests of a service go to other zones.
//!
//! Load pattern: the demand of each zone swings by half over some seconds. Requests go to
//! another zone before their own zone makes them late, and come back only once it has
//! clearly more room, so that they don't swing between the zones with each report.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::ServiceName;

use super::call::Call;
use super::estimate::Estimate;

/// Expected free slots of a target from which it has room for its own zone.
const MIN_FREE_SLOTS: f64 = 0.5;
/// Expected free slots from which requests come back to their zone.
const RETURN_FREE_SLOTS: f64 = 1.5;

/// Services whose latest request went to another zone for lack of room.
#[derive(Debug, Default)]
pub(super) struct Spillover {
    services: BTreeSet<ServiceName>,
}

impl Spillover {
    /// Returns the room that a target of the own zone needs for a call. A call that was
    /// refused needs more, because the node that refused it was expected to have room.
    pub(super) fn threshold(&self, call: &Call) -> Threshold {
        if call.refusals > 0 || self.services.contains(&call.kind.service) {
            Threshold::Return
        } else {
            Threshold::Stay
        }
    }

    /// Records whether the latest request of a service went to another zone for lack of
    /// room.
    pub(super) fn record(&mut self, service: &ServiceName, is_spilled: bool) {
        if !is_spilled {
            self.services.remove(service);
        } else if !self.services.contains(service) {
            self.services.insert(service.clone());
        }
    }
}

/// Room that a target needs to get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Threshold {
    /// Requests stay in their zone.
    Stay,
    /// Requests that go to other zones come back, or were refused in their own.
    Return,
}

impl Threshold {
    /// Returns `true` if a target has room for a request that may wait for `wait` there.
    pub(super) fn is_met(self, estimate: &Estimate, wait: Option<Duration>) -> bool {
        match self {
            Self::Stay => {
                estimate.has_free_slots(MIN_FREE_SLOTS)
                    || wait.is_some_and(|wait| estimate.wait() <= wait)
            }
            Self::Return => estimate.has_free_slots(RETURN_FREE_SLOTS),
        }
    }
}
