//! Order of the requests of one connection, and the decision which response closes it.
//!
//! Load pattern: callers that send further requests before the first is answered, on
//! connections that are closed when the node stops. The reader and the writer of a
//! connection both ask [`Pipeline`], so that no request is passed on behind a response that
//! announces the end of the connection. While the node stops, a connection has at most one
//! request in progress: a response behind another could come too late.

/// Requests of one connection that were passed on and have no complete response yet.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::Pipeline;
/// use celeryshore_kernel::PipelineStep;
///
/// let mut pipeline = Pipeline::default();
/// assert_eq!(pipeline.admit(false, false), PipelineStep::PassOn);
/// assert!(pipeline.closes(true));
/// assert_eq!(pipeline.admit(false, true), PipelineStep::Reject);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pipeline {
    unanswered: usize,
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
    pub const fn admit(&mut self, is_last: bool, is_stopping: bool) -> PipelineStep {
        if self.is_closed {
            return PipelineStep::Reject;
        }
        if is_stopping && self.unanswered > 0 {
            return PipelineStep::Wait;
        }
        self.unanswered += 1;
        self.is_closed = is_last || is_stopping;
        PipelineStep::PassOn
    }

    /// Decides whether the response that is written next closes the connection. It does if
    /// it is the last one that is due.
    #[must_use]
    pub const fn closes(&mut self, is_stopping: bool) -> bool {
        let is_last = self.unanswered <= 1;
        if is_last && is_stopping {
            self.is_closed = true;
        }
        is_last && self.is_closed
    }

    /// Records that a response has been written.
    pub const fn finish(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Returns `true` if no further request is passed on.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Closes an idle connection. Returns `false` if a request was passed on meanwhile.
    #[must_use]
    pub const fn close_idle(&mut self) -> bool {
        if self.unanswered == 0 {
            self.is_closed = true;
        }
        self.unanswered == 0
    }
}
