//! Order of work that waits, before each kind's least share.
//!
//! Load pattern: an overload that lasts, in which refused callers come back. Those
//! who return are late already. In order of arrival they would take the place of those
//! who can still be answered in time, and nearly every answer would be late. Among
//! equals whoever has most time left goes first.

use std::cmp::Reverse;
use std::time::Duration;

use celeryshore_model::HttpRequest;
use celeryshore_model::Kind;
use celeryshore_model::Priority;

use crate::requests::context::Context;
use crate::requests::headers;

/// Most target latencies by which requests are told apart. Callers state their time
/// themselves; this bounds the number of ranks.
const MAX_TIME_LEFT: u32 = 64;

/// Rank of a request; the least runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    priority: Priority,
    /// Time that the caller had left at its node, in whole target latencies.
    time_left: Reverse<u32>,
}

impl Rank {
    /// Returns the rank of a request of a kind.
    pub(super) fn of(cx: &Context<'_>, kind: Option<&Kind>, request: &HttpRequest) -> Self {
        let dialect = &cx.view.cfg().terms.dialect;
        let left = headers::caller_timeout(dialect, request);
        let unit = kind.and_then(|kind| kind.target_latency);
        let steps = left.zip(unit).map_or(0, |(left, unit)| steps(left, unit));
        Self {
            priority: kind.map(|kind| kind.priority).unwrap_or_default(),
            time_left: Reverse(steps),
        }
    }

    /// Returns the priority.
    pub(super) const fn priority(self) -> Priority {
        self.priority
    }
}

fn steps(left: Duration, unit: Duration) -> u32 {
    let steps = left.as_millis().checked_div(unit.as_millis());
    let steps = u32::try_from(steps.unwrap_or_default());
    steps.unwrap_or(MAX_TIME_LEFT).min(MAX_TIME_LEFT)
}
