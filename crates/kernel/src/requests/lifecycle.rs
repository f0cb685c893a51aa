//! Life cycle of a node: it serves, drains, and is drained.

use celeryshore_model::Time;
use derive_more::From;

/// A node in one state of its life.
#[derive(Debug)]
pub(super) struct Lifecycle<S> {
    started: Time,
    state: S,
}

/// It takes work.
#[derive(Debug)]
pub(super) struct Serving;

/// It finishes what is under way.
#[derive(Debug)]
pub(super) struct Draining {
    since: Time,
}

/// Nothing is under way.
#[derive(Debug)]
pub(super) struct Drained;

/// A node in any state of its life.
#[derive(Debug, From)]
pub(super) enum Stage {
    /// It takes work.
    Serving(Lifecycle<Serving>),
    /// It finishes what is under way.
    Draining(Lifecycle<Draining>),
    /// Nothing is under way.
    Drained(Lifecycle<Drained>),
}

impl Lifecycle<Serving> {
    /// Makes the life cycle of a node that starts.
    pub(super) const fn new(now: Time) -> Self {
        Self {
            started: now,
            state: Serving,
        }
    }

    /// Begins the end.
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

    /// Ends the drain; `self` is used up.
    pub(super) const fn finish(self) -> Lifecycle<Drained> {
        Lifecycle {
            started: self.started,
            state: Drained,
        }
    }
}

impl Stage {
    /// Begins the end, unless it has begun.
    pub(super) fn drain(self, now: Time) -> Self {
        match self {
            Self::Serving(serving) => serving.drain(now).into(),
            other => other,
        }
    }

    /// Ends a drain, if one is under way.
    pub(super) fn finish(self) -> Self {
        match self {
            Self::Draining(draining) => draining.finish().into(),
            other => other,
        }
    }

    /// Returns when the drain under way began.
    pub(super) const fn draining_since(&self) -> Option<Time> {
        match self {
            Self::Draining(draining) => Some(draining.since()),
            Self::Serving(_) | Self::Drained(_) => None,
        }
    }

    /// Returns when the node started.
    pub(super) const fn started(&self) -> Time {
        match self {
            Self::Serving(life) => life.started,
            Self::Draining(life) => life.started,
            Self::Drained(life) => life.started,
        }
    }

    /// Returns the name of the state.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::Serving(_) => "serving",
            Self::Draining(_) => "draining",
            Self::Drained(_) => "drained",
        }
    }
}
