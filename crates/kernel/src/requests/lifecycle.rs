//! Lifecycle of a node: serving, draining, drained.

use celeryshore_model::Time;
use derive_more::From;

/// Lifecycle of a node as a typestate: only the transitions of its state `S` compile.
#[derive(Debug)]
pub(super) struct Lifecycle<S> {
    started: Time,
    state: S,
}

/// The node accepts work.
#[derive(Debug)]
pub(super) struct Serving;

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
    /// The node accepts work.
    Serving(Lifecycle<Serving>),
    /// The node finishes the work in progress.
    Draining(Lifecycle<Draining>),
    /// The node has finished all work.
    Drained(Lifecycle<Drained>),
}

impl Lifecycle<Serving> {
    /// Creates the lifecycle of a node that starts now.
    pub(super) const fn new(now: Time) -> Self {
        Self {
            started: now,
            state: Serving,
        }
    }

    /// Starts the drain.
    pub(super) const fn drain(self, now: Time) -> Lifecycle<Draining> {
        Lifecycle {
            started: self.started,
            state: Draining { since: now },
        }
    }
}

impl Lifecycle<Draining> {
    /// Returns when the drain began.
    pub(super) const fn since(&self) -> Time {
        self.state.since
    }

    /// Ends the drain.
    pub(super) const fn finish(self) -> Lifecycle<Drained> {
        Lifecycle {
            started: self.started,
            state: Drained,
        }
    }
}

impl Stage {
    /// Starts the drain, unless it has started before.
    pub(super) fn drain(self, now: Time) -> Self {
        match self {
            Self::Serving(serving) => serving.drain(now).into(),
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

    /// Returns when the drain in progress began.
    pub(super) const fn draining_since(&self) -> Option<Time> {
        match self {
            Self::Draining(draining) => Some(draining.since()),
            Self::Serving(_) | Self::Drained(_) => None,
        }
    }

    /// Returns when the node started.
    pub(super) const fn started(&self) -> Time {
        match self {
            Self::Serving(lifecycle) => lifecycle.started,
            Self::Draining(lifecycle) => lifecycle.started,
            Self::Drained(lifecycle) => lifecycle.started,
        }
    }

    /// Returns the name of the state, for the status.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::Serving(_) => "serving",
            Self::Draining(_) => "draining",
            Self::Drained(_) => "drained",
        }
    }
}
