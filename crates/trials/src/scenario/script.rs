//! Statements of a scenario.

use std::str::FromStr;
use std::time::Duration;

use celeryshore_model::Attempt;
use celeryshore_model::Share;
use celeryshore_model::ZoneName;
use derive_more::Display;

use super::Error;
use super::Result;
use super::grammar;

/// Statements in the order of the text.
///
/// # Example
///
/// ```
/// use celeryshore_trials::scenario::Scenario;
///
/// let scenario: Scenario = "nodes 2 zones a\nwait 1s  # settle\n".parse()?;
/// assert_eq!(scenario.len(), 2);
/// # Ok::<(), celeryshore_trials::scenario::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    pub(super) steps: Vec<Step>,
}

impl Scenario {
    /// Returns the number of statements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Tells whether there are no statements.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }
}

impl FromStr for Scenario {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let lines = text.lines().enumerate();
        let steps = lines.map(|(i, line)| grammar::step(i + 1, line));
        let steps: Result<Vec<_>> = steps.collect();
        Ok(Self {
            steps: steps?.into_iter().flatten().collect(),
        })
    }
}

/// One statement and when it happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Step {
    pub(super) line: usize,
    pub(super) at: Option<Duration>,
    pub(super) statement: Statement,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Statement {
    Nodes { count: usize, zones: Vec<ZoneName> },
    Publish(Change),
    Cut(Place),
    CutSource(Place),
    Heal,
    Lose(Share),
    Delay(Duration),
    Kill(Place),
    Restart(Place),
    Freeze(Place, Duration),
    Drain(Place),
    Source(SourceMode),
    Target(Place, TargetMode),
    Send(Call),
    Load(Load),
    Wait(Duration),
    Expect(Expectation),
}

/// Some nodes.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Place {
    #[display("everywhere")]
    Everywhere,
    #[display("zone {_0}")]
    Zone(ZoneName),
    /// The number of the node, from 1.
    #[display("n{_0}")]
    Node(usize),
}

/// A change of the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Change {
    Comment,
    Line(String),
    Again(usize),
    TakeOut(Place),
    BringBack(Place),
}

/// State of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SourceMode {
    #[default]
    Up,
    Down,
    Stale,
    Older,
    Torn,
    Flap,
}

/// State of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum TargetMode {
    #[default]
    Ok,
    /// As `Ok`, and never in cold start.
    Warm,
    Down,
    Silent,
    Broken,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Call {
    pub(super) node: usize,
    pub(super) kind: String,
    pub(super) key: Option<String>,
    pub(super) attempt: Option<Attempt>,
    pub(super) name: Option<String>,
}

/// Requests at a steady rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) kind: String,
    pub(super) per_second: u32,
    pub(super) time: Duration,
    pub(super) place: Place,
}

/// What must hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Expectation {
    InForce {
        place: Place,
        within: Duration,
    },
    VersionOf {
        place: Place,
        text: usize,
    },
    Answer {
        name: String,
        end: End,
        within: Duration,
    },
    Runs {
        key: String,
        bound: Bound,
        count: usize,
    },
    Whole(Share),
    NoNewWork {
        place: Place,
        after: Duration,
    },
    Reads {
        per_second: u32,
    },
}

/// How a request ends.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum End {
    #[display("whole")]
    Whole,
    #[display("not-run")]
    NotRun,
    #[display("unknown")]
    Unknown,
}

/// How a count is bounded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Bound {
    #[display("at most")]
    AtMost,
    #[display("exactly")]
    Exactly,
}
