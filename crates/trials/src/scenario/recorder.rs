//! Observations of a run, and the invariants checked on each of them.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_model::Time;
use celeryshore_model::Version;
use derive_more::Display;

use super::script::AnswerKind;
use super::script::Place;

/// Violation of an invariant, which fails every scenario.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A node replaced its version with an older one.
    #[display("n{node} went from version {} back to the older version {}", from.index, to.index)]
    VersionRegression {
        /// Number of the node, from 1.
        node: usize,
        /// Newest version that was in effect there.
        from: Version,
        /// Older version that replaced it.
        to: Version,
    },
    /// An operation of an at-most-once kind ran more than once.
    #[display("operation {operation} ran again on n{node}")]
    DuplicateRun {
        /// Idempotency key, or the call id if there is none.
        operation: String,
        /// Number of the node, from 1.
        node: usize,
    },
    /// A caller got the response of another operation.
    #[display("call {call} got the response of operation {answer:?}")]
    WrongAnswer {
        /// Id of the call.
        call: CallId,
        /// Body of the response: the id of the operation that it belongs to.
        answer: Bytes,
    },
    /// A request ran although it was refused as "not run".
    #[display("call {call} was refused as not run but has run")]
    FalseRefusal {
        /// Id of the call.
        call: CallId,
    },
    /// A target in cold start got more requests than it has slots.
    #[display("the target of n{node} got more requests than it has slots in cold start")]
    ColdStartOverload {
        /// Number of the node, from 1.
        node: usize,
    },
    /// A request ran on a node with an older configuration than the one that routed
    /// it.
    #[display("call {call} ran on n{node} with an older configuration than it was routed with")]
    StaleConfiguration {
        /// Id of the call.
        call: CallId,
        /// Number of the node, from 1.
        node: usize,
    },
    /// A caller got more than one answer.
    #[display("call {call} got two answers")]
    DuplicateAnswer {
        /// Id of the call.
        call: CallId,
    },
}

/// Request of a caller and its answer, if there is one yet.
#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    /// Id of the operation: its key, or one made from the call id.
    pub(super) operation: String,
    pub(super) answer: Option<Answer>,
}

/// Run of a request at a target.
#[derive(Clone, Debug)]
pub(super) struct RunRecord {
    pub(super) at: Time,
    pub(super) node: usize,
    pub(super) operation: String,
    pub(super) call: CallId,
}

/// Observations since the start of the scenario.
#[derive(Debug, Default)]
pub(super) struct Recorder {
    /// Version in effect on each running node since its last start.
    pub(super) effective_versions: BTreeMap<usize, Version>,
    /// Newest version of each node; a lower one is a regression.
    newest_versions: BTreeMap<usize, Version>,
    /// Version with which each call was forwarded to each node.
    routed_versions: BTreeMap<(CallId, usize), Version>,
    pub(super) calls: BTreeMap<CallId, CallRecord>,
    pub(super) runs: Vec<RunRecord>,
    /// Time since which a place must receive no new work.
    pub(super) no_new_work_since: BTreeMap<Place, Time>,
    /// Time that each met `expect in-force` took.
    pub(super) converged: Vec<Duration>,
    pub(super) violations: Vec<Violation>,
}

impl Recorder {
    /// Records that a version took effect on a node.
    pub(super) fn record_version(&mut self, node: usize, version: Version) {
        self.effective_versions.insert(node, version);
        let newest = self.newest_versions.entry(node).or_default();
        if version < *newest {
            self.violations.push(Violation::VersionRegression {
                node: node + 1,
                from: *newest,
                to: version,
            });
        }
        *newest = version.max(*newest);
    }

    /// Records that a node starts without state and can learn at most this version
    /// from the nodes it can reach.
    ///
    /// A newer version that none of them has any more cannot be learned, so that
    /// its absence is no regression.
    pub(super) fn record_restart(&mut self, node: usize, learnable: Version) {
        let newest = self.newest_versions.entry(node).or_default();
        *newest = learnable.min(*newest);
    }

    /// Records the version with which a request is forwarded to a node.
    pub(super) fn record_route(&mut self, call: CallId, to: usize, version: Version) {
        self.routed_versions.insert((call, to), version);
    }

    fn check_configuration(&mut self, run: &RunRecord) {
        let effective = self.effective_versions.get(&run.node);
        if effective < self.routed_versions.get(&(run.call, run.node)) {
            self.violations.push(Violation::StaleConfiguration {
                call: run.call,
                node: run.node + 1,
            });
        }
    }

    /// Records that a target started a request.
    pub(super) fn record_run(&mut self, run: RunRecord, at_most_once: bool) {
        self.check_configuration(&run);
        let mut earlier = self.runs.iter();
        if at_most_once && earlier.any(|r| r.operation == run.operation) {
            self.violations.push(Violation::DuplicateRun {
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

    /// Records an answer to a caller.
    pub(super) fn record_answer(&mut self, call: CallId, answer: Answer) {
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        match &answer {
            Answer::Response(response) if response.body != record.operation.as_bytes() => {
                let answer = response.body.clone();
                let violation = Violation::WrongAnswer { call, answer };
                self.violations.push(violation);
            }
            Answer::NotRun { .. } if self.runs.iter().any(|r| r.operation == record.operation) => {
                self.violations.push(Violation::FalseRefusal { call });
            }
            _ => {}
        }
        if record.answer.replace(answer).is_some() {
            self.violations.push(Violation::DuplicateAnswer { call });
        }
    }

    /// Returns the kind of a call's answer, or `None` if there is none yet.
    pub(super) fn answer_kind(&self, call: CallId) -> Option<AnswerKind> {
        let answer = self.calls.get(&call)?.answer.as_ref()?;
        Some(match answer {
            Answer::Response(_) => AnswerKind::Whole,
            Answer::NotRun { .. } => AnswerKind::NotRun,
            Answer::Unknown { .. } => AnswerKind::Unknown,
        })
    }
}
