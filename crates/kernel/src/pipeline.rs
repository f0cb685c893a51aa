//! Order of the requests of one connection, and the decision which response closes it.
//!
//! Load pattern: callers that send further requests before the first is answered, on
//! connections that are closed when the node stops. The reader and the writer of a
//! connection both ask [`Pipeline`], so that no request is passed on behind a response that
//! announces the end of the connection. While the node stops, none is passed on behind a
//! request that has taken long, either: its response could come too late.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::Time;

/// Time after which a request without a response holds up those behind it while the node
/// stops. Callers send the requests of a pipeline within a few milliseconds.
const MAX_AGE_AHEAD: Duration = Duration::from_millis(250);

/// Requests of one connection that were passed on and have no complete response yet.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::Pipeline;
/// use celeryshore_kernel::PipelineStep;
/// use celeryshore_model::Time;
///
/// let now = Time::ZERO;
/// let mut pipeline = Pipeline::default();
/// assert_eq!(pipeline.admit(now, false, false), PipelineStep::PassOn);
/// assert!(pipeline.closes(true));
/// assert_eq!(pipeline.admit(now, false, true), PipelineStep::Reject);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pipeline {
    /// When each of them was passed on, the oldest first.
    unanswered: VecDeque<Time>,
    /// No further request is passed on.
    is_closed: bool,
}

/// What becomes of a request that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PipelineStep {
    /// It is passed on, and its response is written.
    PassOn,
    /// It waits until an earlier response has been written.
    Wait,
    /// It counts as not read: an earlier response closes the connection.
    Reject,
}

impl Pipeline {
    /// Decides on a request that was read. `is_last` if its caller or the node wants the
    /// connection to be closed after it, and `is_stopping` if the node stops.
    #[must_use]
    pub fn admit(&mut self, now: Time, is_last: bool, is_stopping: bool) -> PipelineStep {
        if self.is_closed {
            return PipelineStep::Reject;
        }
        let oldest = self.unanswered.front();
        let is_held_up = oldest.is_some_and(|since| now - *since > MAX_AGE_AHEAD);
        if is_stopping && is_held_up {
            return PipelineStep::Wait;
        }
        self.unanswered.push_back(now);
        self.is_closed = is_last;
        PipelineStep::PassOn
    }

    /// Decides whether the response that is written next closes the connection. It does if
    /// it is the last one that is due.
    #[must_use]
    pub fn closes(&mut self, is_stopping: bool) -> bool {
        let is_last = self.unanswered.len() <= 1;
        if is_last && is_stopping {
            self.is_closed = true;
        }
        is_last && self.is_closed
    }

    /// Records that a response has been written.
    pub fn finish(&mut self) {
        self.unanswered.pop_front();
    }

    /// Returns `true` if no further request is passed on.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Closes an idle connection. Returns `false` if a request was passed on meanwhile.
    #[must_use]
    pub fn close_idle(&mut self) -> bool {
        let is_idle = self.unanswered.is_empty();
        self.is_closed |= is_idle;
        is_idle
    }
}
