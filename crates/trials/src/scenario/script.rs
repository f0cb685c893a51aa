//! Statements of the scenario language, named after their keywords.

use std::str::FromStr;
use std::time::Duration;

use celeryshore_model::Attempt;
use celeryshore_model::Share;
use celeryshore_model::ZoneName;
use derive_more::Display;

use super::Error;
use super::Result;
use super::grammar;

/// Parsed scenario: its statements in the order of the text.
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

    /// Returns `true` if there are no statements.
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

/// Statement with its line number and, if it has `at`, its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Step {
    pub(super) line: usize,
    pub(super) at: Option<Duration>,
    pub(super) statement: Statement,
}

/// Statement of a scenario; the module documentation has a table of them.
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

/// Set of nodes that a statement applies to.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Place {
    #[display("everywhere")]
    Everywhere,
    #[display("zone {_0}")]
    Zone(ZoneName),
    /// Number of the node, from 1.
    #[display("n{_0}")]
    Node(usize),
}

/// Change of the published rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// Adds a comment, which makes a new version with the same rules.
    Comment,
    Line(String),
    /// Publishes an earlier text again; texts are numbered from 1.
    Republish(usize),
    TakeOut(Place),
    BringBack(Place),
}

/// How the platform answers reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SourceMode {
    #[default]
    Up,
    Down,
    /// Values published from now on stay invisible.
    Stale,
    /// Returns the value before the one that was the latest when this mode was set.
    Older,
    /// Returns only the first half of the text.
    Torn,
    /// Up and down in turn.
    Flap,
}

/// How a target handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum TargetMode {
    #[default]
    Ok,
    /// Like `Ok`, but never in cold start.
    Warm,
    /// Refuses connections.
    Down,
    /// Runs requests but never responds.
    Silent,
    /// Runs requests, then breaks the connection.
    Broken,
    /// Like `Warm`, and states a limit of this many requests per second.
    Limited(u32),
    /// Like `Warm`, and states that it is about to leave.
    Leaving,
}

/// Request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Call {
    /// Number of the node, from 1.
    pub(super) node: usize,
    pub(super) kind: String,
    pub(super) key: Option<String>,
    pub(super) attempt: Option<Attempt>,
    /// Name that expectations refer to the request by.
    pub(super) name: Option<String>,
}

/// Requests at a constant rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) kind: String,
    pub(super) per_second: u32,
    /// Remaining time of the load.
    pub(super) time: Duration,
    pub(super) place: Place,
}

/// Condition that an `expect` statement checks.
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
        kind: AnswerKind,
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
    /// Highest number of requests that the targets of a place together get in a span.
    Sent {
        place: Place,
        count: usize,
        span: Duration,
        /// Time of the scenario from which requests count.
        since: Duration,
    },
}

/// Kind of an answer to a caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum AnswerKind {
    /// Complete response of a target.
    #[display("whole")]
    Whole,
    #[display("not-run")]
    NotRun,
    #[display("unknown")]
    Unknown,
}

/// Comparison of a count with the expected one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Bound {
    #[display("at most")]
    AtMost,
    #[display("exactly")]
    Exactly,
}
