//! What was seen, and what never may be.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_model::Time;
use celeryshore_model::Version;
use derive_more::Display;

use super::script::End;
use super::script::Place;

/// Something that never may happen.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A VM's node went back to an older version.
    #[display("n{node} went back from {} to {}", from.index, to.index)]
    WentBack {
        /// Number of the node.
        node: usize,
        /// Newest version that was in force there.
        from: Version,
        /// The older version.
        to: Version,
    },
    /// An operation of an at-most-once kind ran again.
    #[display("{operation} ran again on n{node}")]
    RanTwice {
        /// The key, or the call if it has none.
        operation: String,
        /// Number of the node.
        node: usize,
    },
    /// A caller got another's answer.
    #[display("call {call} got the answer of {answer:?}")]
    ForeignAnswer {
        /// The call.
        call: CallId,
        /// Whose answer it was.
        answer: Bytes,
    },
    /// A request that was refused as "not run" ran.
    #[display("call {call} ran, and was refused as not run")]
    FalseRefusal {
        /// The call.
        call: CallId,
    },
    /// A target in cold start was given more than it can bear.
    #[display("n{node} was given more than its cold target bears")]
    ColdOverrun {
        /// Number of the node.
        node: usize,
    },
    /// A request ran under an older configuration than it was routed under.
    #[display("call {call} ran on n{node} under an older configuration")]
    OlderConfiguration {
        /// The call.
        call: CallId,
        /// Number of the node.
        node: usize,
    },
    /// A caller got two answers.
    #[display("call {call} got two answers")]
    TwoAnswers {
        /// The call.
        call: CallId,
    },
}

/// A caller's request and its end.
#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    /// What tells the operation from others: its key, or else the call.
    pub(super) operation: String,
    pub(super) answer: Option<Answer>,
}

/// A request that was given to a target.
#[derive(Clone, Debug)]
pub(super) struct RunRecord {
    pub(super) at: Time,
    pub(super) node: usize,
    pub(super) operation: String,
    pub(super) call: CallId,
}

/// What was seen since the start.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// Version in force at each node, in its present life.
    pub(super) in_force: BTreeMap<usize, Version>,
    highest: BTreeMap<usize, Version>,
    /// Version that each call was handed over to each node under.
    routed: BTreeMap<(CallId, usize), Version>,
    pub(super) calls: BTreeMap<CallId, CallRecord>,
    pub(super) runs: Vec<RunRecord>,
    /// Since when a place is to receive no new work.
    pub(super) closed: BTreeMap<Place, Time>,
    pub(super) converged: Vec<Duration>,
    pub(super) violations: Vec<Violation>,
}

impl Record {
    /// Notes that a version came into force.
    pub(super) fn configured(&mut self, node: usize, version: Version) {
        self.in_force.insert(node, version);
        let highest = self.highest.entry(node).or_default();
        if version < *highest {
            self.violations.push(Violation::WentBack {
                node: node + 1,
                from: *highest,
                to: version,
            });
        }
        *highest = version.max(*highest);
    }

    /// Notes that a node starts with empty memory and can learn this version.
    ///
    /// What nobody in reach knows any more cannot be learned.
    pub(super) fn restarted(&mut self, node: usize, learnable: Version) {
        let highest = self.highest.entry(node).or_default();
        *highest = learnable.min(*highest);
    }

    /// Notes the version that a request is handed over under.
    pub(super) fn routed(&mut self, call: CallId, to: usize, version: Version) {
        self.routed.insert((call, to), version);
    }

    fn check_configuration(&mut self, run: &RunRecord) {
        let in_force = self.in_force.get(&run.node);
        if in_force < self.routed.get(&(run.call, run.node)) {
            self.violations.push(Violation::OlderConfiguration {
                call: run.call,
                node: run.node + 1,
            });
        }
    }

    /// Notes that a request was given to a target.
    pub(super) fn ran(&mut self, run: RunRecord, at_most_once: bool) {
        self.check_configuration(&run);
        let mut earlier = self.runs.iter();
        if at_most_once && earlier.any(|r| r.operation == run.operation) {
            self.violations.push(Violation::RanTwice {
                operation: run.operation.clone(),
                node: run.node + 1,
            });
        }
        let refused = self
            .calls
            .get(&run.call)
            .and_then(|call| call.answer.as_ref());
        if matches!(refused, Some(Answer::NotRun { .. })) {
            let call = run.call;
            self.violations.push(Violation::FalseRefusal { call });
        }
        self.runs.push(run);
    }

    /// Notes an answer to a caller.
    pub(super) fn answered(&mut self, call: CallId, answer: Answer) {
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        match &answer {
            Answer::Response(response) if response.body != record.operation.as_bytes() => {
                let answer = response.body.clone();
                let violation = Violation::ForeignAnswer { call, answer };
                self.violations.push(violation);
            }
            Answer::NotRun { .. } if self.runs.iter().any(|r| r.operation == record.operation) => {
                self.violations.push(Violation::FalseRefusal { call });
            }
            _ => {}
        }
        if record.answer.replace(answer).is_some() {
            self.violations.push(Violation::TwoAnswers { call });
        }
    }

    /// Returns how a call ended.
    pub(super) fn end(&self, call: CallId) -> Option<End> {
        let answer = self.calls.get(&call)?.answer.as_ref()?;
        Some(match answer {
            Answer::Response(_) => End::Whole,
            Answer::NotRun { .. } => End::NotRun,
            Answer::Unknown { .. } => End::Unknown,
        })
    }
}
