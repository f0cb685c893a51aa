//! Summary of the decisions about requests.

use std::collections::BTreeMap;

use celeryshore_model::ByteSize;
use celeryshore_model::Incarnation;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use serde::Serialize;

use crate::KindCounts;
use crate::LoadReport;
use crate::requests::RequestCounters;
use crate::requests::Requests;

/// Summary for people and metrics.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::Requests;
/// use celeryshore_kernel::RequestsConfig;
/// use celeryshore_model::Incarnation;
/// use celeryshore_model::Now;
///
/// let cfg = RequestsConfig {
///     vm: "vm-1".parse()?,
///     zone: "glasgow".parse()?,
///     incarnation: Incarnation(1),
///     seed: 1,
///     terms: celeryshore_kernel::Terms::default(),
/// };
/// let requests = Requests::new(cfg, Now::default());
/// assert_eq!(requests.status().calls, 0);
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Clone, Debug, Serialize)]
pub struct RequestsStatus {
    /// VM of the node.
    pub vm: VmName,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Version that requests are routed under.
    pub version: Version,
    /// State of the node's life: serving, draining or drained.
    pub stage: &'static str,
    /// When the process started.
    pub started: Time,
    /// Calls that were not answered yet.
    pub calls: usize,
    /// Load of the own target.
    pub load: LoadReport,
    /// Requests that wait for a slot of the own target.
    pub queue: usize,
    /// Keyed copies that are being judged.
    pub judgements: usize,
    /// Copies and judging nodes that wait for the end of a keyed copy.
    pub waiters: usize,
    /// Keys that are remembered.
    pub keys: usize,
    /// Answers that are remembered.
    pub answers: ByteSize,
    /// Requests that were in flight when a target was lost.
    pub suspected: usize,
    /// Retries of calls.
    pub retries: u64,
    /// What became of the requests for the own target, by kind.
    pub kinds: BTreeMap<String, KindCounts>,
    /// What became of requests so far.
    pub counters: RequestCounters,
}

impl Requests {
    /// Returns a summary for people and metrics.
    #[must_use]
    pub fn status(&self) -> RequestsStatus {
        let admission = self.sides.admission.status(self.latest);
        RequestsStatus {
            vm: self.view.cfg().vm.clone(),
            incarnation: self.view.cfg().incarnation,
            version: self.view.version(),
            stage: self.stage.name(),
            started: self.stage.started(),
            calls: self.sides.handing.open(),
            load: admission.load,
            queue: admission.queue,
            judgements: admission.judgements,
            waiters: admission.waiters,
            keys: admission.keys,
            answers: admission.answers,
            suspected: self.suspicions.len(),
            retries: self.sides.handing.retries(),
            kinds: self.sides.admission.kind_counts(),
            counters: self.counters.clone(),
        }
    }
}
