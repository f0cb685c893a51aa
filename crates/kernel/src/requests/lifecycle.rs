//! Lifecycle of a node: serving, stopping, draining, drained.
//!
//! Load pattern: nodes that are restarted in turn under load. The target of a stopped node
//! gets nothing until the next process of the node runs, so a stopping node keeps
//! admitting requests until its callers have moved to other nodes, and then ends as soon as
//! its work is finished.

use std::time::Duration;

use celeryshore_model::Time;
use derive_more::Display;
use derive_more::From;

/// Number of failed readiness checks after which the platform sends callers elsewhere.
const READINESS_FAILURES: u32 = 2;
/// Time without a caller's request after which the callers count as gone.
const QUIET_TIME: Duration = Duration::from_millis(250);

/// Lifecycle of a node as a typestate: only the transitions of its state `S` compile.
#[derive(Debug)]
pub(super) struct Lifecycle<S> {
    started: Time,
    state: S,
}

/// The node accepts work and callers.
#[derive(Debug)]
pub(super) struct Serving;

/// The node accepts work, but tells the platform that callers should go elsewhere.
#[derive(Debug)]
pub(super) struct Stopping {
    since: Time,
    /// Time at which it refuses new work, whether or not callers are left.
    ends_by: Time,
    failed_checks: u32,
    /// Time of the latest request of a caller, or of the check since which none is expected.
    active_at: Time,
}

/// The node finishes the work in progress.
#[derive(Debug)]
pub(super) struct Draining {
    since: Time,
}

/// The node has finished all work.
#[derive(Debug)]
pub(super) struct Drained;

/// Lifecycle of a node in any of its states.
#[derive(Debug, From)]
pub(super) enum Stage {
    /// The node accepts work and callers.
    Serving(Lifecycle<Serving>),
    /// The node accepts work until its callers are gone.
    Stopping(Lifecycle<Stopping>),
    /// The node finishes the work in progress.
    Draining(Lifecycle<Draining>),
    /// The node has finished all work.
    Drained(Lifecycle<Drained>),
}

/// Step in the stop of a node, for the log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopStep {
    /// The node is not ready for callers any more, and goes on serving.
    #[display("stopping, serving until its callers are gone")]
    Stopping,
    /// The callers have gone elsewhere. The node refuses new work.
    #[display("callers are gone, finishing the work in progress")]
    CallersGone,
    /// The time for serving is over. The node refuses new work.
    #[display("time for serving is over, finishing the work in progress")]
    TimeOver,
}

impl Lifecycle<Serving> {
    /// Creates the lifecycle of a node that starts now.
    pub(super) const fn new(now: Time) -> Self {
        Self {
            started: now,
            state: Serving,
        }
    }

    /// Starts the stop. The node serves for `longest` at most.
    pub(super) fn stop(self, now: Time, longest: Duration) -> Lifecycle<Stopping> {
        Lifecycle {
            started: self.started,
            state: Stopping {
                since: now,
                ends_by: now + longest,
                failed_checks: 0,
                active_at: now,
            },
        }
    }

    /// Starts the drain without serving any longer.
    pub(super) const fn drain(self, now: Time) -> Lifecycle<Draining> {
        Lifecycle {
            started: self.started,
            state: Draining { since: now },
        }
    }
}

impl Lifecycle<Stopping> {
    /// Records a readiness check that was answered with "not ready".
    fn record_failed_check(&mut self, now: Time) {
        self.state.failed_checks += 1;
        if self.state.failed_checks <= READINESS_FAILURES {
            self.state.active_at = now;
        }
    }

    /// Records a caller's request. Calls of the local target's runs are none.
    const fn record_request(&mut self, now: Time) {
        self.state.active_at = now;
    }

    /// Returns the step that ends the stop, if it is over.
    fn end(&self, now: Time) -> Option<StopStep> {
        if now >= self.state.ends_by {
            Some(StopStep::TimeOver)
        } else if self.quiet_at().is_some_and(|at| now >= at) {
            Some(StopStep::CallersGone)
        } else {
            None
        }
    }

    fn quiet_at(&self) -> Option<Time> {
        let state = &self.state;
        (state.failed_checks >= READINESS_FAILURES).then(|| state.active_at + QUIET_TIME)
    }

    /// Returns the time at which the stop ends if no request comes before.
    fn next_due(&self) -> Time {
        let ends_by = self.state.ends_by;
        self.quiet_at().map_or(ends_by, |at| at.min(ends_by))
    }

    /// Ends the stop and starts the drain.
    const fn drain(self) -> Lifecycle<Draining> {
        Lifecycle {
            started: self.started,
            state: Draining {
                since: self.state.since,
            },
        }
    }
}

impl Lifecycle<Draining> {
    /// Ends the drain.
    const fn finish(self) -> Lifecycle<Drained> {
        Lifecycle {
            started: self.started,
            state: Drained,
        }
    }
}

impl Stage {
    /// Starts the stop of a node that serves.
    pub(super) fn stop(self, now: Time, longest: Duration) -> Self {
        match self {
            Self::Serving(serving) => serving.stop(now, longest).into(),
            other => other,
        }
    }

    /// Starts the drain, unless it has started before.
    pub(super) fn drain(self, now: Time) -> Self {
        match self {
            Self::Serving(serving) => serving.drain(now).into(),
            Self::Stopping(stopping) => stopping.drain().into(),
            other => other,
        }
    }

    /// Ends the drain, if one is in progress.
    pub(super) fn finish(self) -> Self {
        match self {
            Self::Draining(draining) => draining.finish().into(),
            other => other,
        }
    }

    /// Records that the platform was told that the node is not ready.
    pub(super) fn record_failed_check(&mut self, now: Time) {
        if let Self::Stopping(stopping) = self {
            stopping.record_failed_check(now);
        }
    }

    /// Records a caller's request.
    pub(super) const fn record_request(&mut self, now: Time) {
        if let Self::Stopping(stopping) = self {
            stopping.record_request(now);
        }
    }

    /// Returns `true` if the callers that still come have no other node: the platform has
    /// been told often enough that this one isn't ready.
    pub(super) const fn are_callers_bound(&self) -> bool {
        match self {
            Self::Stopping(stopping) => stopping.state.failed_checks >= READINESS_FAILURES,
            Self::Draining(_) | Self::Drained(_) => true,
            Self::Serving(_) => false,
        }
    }

    /// Returns the step that ends the stop, if it is over.
    pub(super) fn stop_end(&self, now: Time) -> Option<StopStep> {
        match self {
            Self::Stopping(stopping) => stopping.end(now),
            Self::Serving(_) | Self::Draining(_) | Self::Drained(_) => None,
        }
    }

    /// Returns the time at which the stop ends if nothing happens before.
    pub(super) fn next_due(&self) -> Option<Time> {
        match self {
            Self::Stopping(stopping) => Some(stopping.next_due()),
            Self::Serving(_) | Self::Draining(_) | Self::Drained(_) => None,
        }
    }

    /// Returns `true` while a drain is in progress.
    pub(super) const fn is_draining(&self) -> bool {
        matches!(self, Self::Draining(_))
    }

    /// Returns when the stop or drain began; absent while the node serves or once it has
    /// finished.
    pub(super) const fn leaving_since(&self) -> Option<Time> {
        match self {
            Self::Stopping(lifecycle) => Some(lifecycle.state.since),
            Self::Draining(lifecycle) => Some(lifecycle.state.since),
            Self::Serving(_) | Self::Drained(_) => None,
        }
    }

    /// Returns when the node started.
    pub(super) const fn started(&self) -> Time {
        match self {
            Self::Serving(lifecycle) => lifecycle.started,
            Self::Stopping(lifecycle) => lifecycle.started,
            Self::Draining(lifecycle) => lifecycle.started,
            Self::Drained(lifecycle) => lifecycle.started,
        }
    }

    /// Returns the name of the state, for the status.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::Serving(_) => "serving",
            Self::Stopping(_) => "stopping",
            Self::Draining(_) => "draining",
            Self::Drained(_) => "drained",
        }
    }
}
