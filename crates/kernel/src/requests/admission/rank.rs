//! Order of queued requests, apart from the minimum share of each kind.
//!
//! Load pattern: a lasting overload in which refused callers retry. Their retries are
//! late already. In order of arrival, retries would take the slots of requests that can
//! still be answered in time, and nearly every response would be late. Among requests of
//! equal priority, the one with the most time left therefore goes first.
//!
//! The priority of the caller's workspace is compared before that of the kind. A request
//! without a workspace, for example a call of a target, ranks with the most urgent one,
//! since refusing it wastes the work of its caller.

use std::cmp::Reverse;
use std::time::Duration;

use celeryshore_model::Kind;
use celeryshore_model::Priority;

use crate::Handover;
use crate::requests::context::Context;
use crate::requests::headers;

/// Time left, in target latencies, above which it no longer affects the rank. Callers
/// choose their deadlines, so this bounds the number of ranks.
const MAX_TIME_LEFT_UNITS: u32 = 64;

/// Rank of a request; the lowest runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    workspace: Priority,
    /// Further calls of a run that has had answers to others go first.
    is_further_call: Reverse<bool>,
    priority: Priority,
    /// Time left until the caller's deadline when the forwarding node got the request,
    /// in whole target latencies.
    time_left: Reverse<u32>,
}

impl Rank {
    pub(super) fn of(cx: &Context<'_>, kind: Option<&Kind>, handover: &Handover) -> Self {
        let dialect = &cx.view.cfg().terms.dialect;
        let left = headers::caller_timeout(dialect, &handover.request);
        let unit = kind.and_then(|kind| kind.target_latency);
        let units = left.zip(unit).map_or(0, |(left, unit)| units(left, unit));
        let most_urgent = cx.view.workspaces().most_urgent();
        Self {
            workspace: handover.workspace_priority.unwrap_or(most_urgent),
            is_further_call: Reverse(handover.earlier_calls > 0),
            priority: kind.map(|kind| kind.priority).unwrap_or_default(),
            time_left: Reverse(units),
        }
    }

    /// Returns this rank with a priority that is at least as urgent as `priority`.
    pub(super) fn raise_to(self, priority: Priority) -> Self {
        Self {
            priority: self.priority.min(priority),
            ..self
        }
    }

    /// Returns the priority of the request kind.
    pub(super) const fn priority(self) -> Priority {
        self.priority
    }
}

fn units(left: Duration, unit: Duration) -> u32 {
    let units = left.as_millis().checked_div(unit.as_millis());
    let units = u32::try_from(units.unwrap_or_default());
    units
        .unwrap_or(MAX_TIME_LEFT_UNITS)
        .min(MAX_TIME_LEFT_UNITS)
}
