//! Status of the request state machine.

use std::collections::BTreeMap;

use celeryshore_model::ByteSize;
use celeryshore_model::Incarnation;
use celeryshore_model::ServiceName;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::WorkspaceName;
use serde::Serialize;

use crate::KindCounts;
use crate::LoadCounters;
use crate::LoadReport;
use crate::QuotaStatus;
use crate::TargetStatement;
use crate::requests::RequestCounters;
use crate::requests::Requests;

/// Status of the request state machine, for the status page and the metrics.
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
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Configuration version that requests are routed by.
    pub version: Version,
    /// Lifecycle state of the node: `serving`, `stopping`, `draining` or `drained`.
    pub stage: &'static str,
    /// Monotonic time at which the process started.
    pub started: Time,
    /// Number of calls without a final response.
    pub calls: usize,
    /// Load of the local target.
    pub load: LoadReport,
    /// What the local target last stated about itself.
    pub statement: Option<TargetStatement>,
    /// Number of responses of the local target whose rate limit could not be read.
    pub unreadable_limits: u64,
    /// Number of requests that wait for a slot of the local target.
    pub queue: usize,
    /// Number of requests that didn't start at once though a slot was free, because it was
    /// left to more urgent kinds.
    pub held_requests: u64,
    /// Number of keyed copies that are being checked for duplicates.
    #[serde(rename = "judgements")]
    pub duplicate_checks: usize,
    /// Number of copies and inquiring nodes that wait for the end of a running copy.
    pub waiters: usize,
    /// Number of keys in the journal.
    pub keys: usize,
    /// Total size of the responses in the journal.
    #[serde(rename = "answers")]
    pub response_size: ByteSize,
    /// Number of requests that were in flight when a target crashed.
    pub suspected: usize,
    /// Number of retries of calls since the process started.
    pub retries: u64,
    /// Counts of the choices among upstreams.
    pub load_choices: LoadCounters,
    /// Load of the busiest target of each service over the mean, as far as it is known.
    pub load_peaks: BTreeMap<ServiceName, f64>,
    /// Counts of the requests to the local target, by kind.
    pub kinds: BTreeMap<String, KindCounts>,
    /// Quotas of the workspaces that this node has callers or a part of.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub quotas: BTreeMap<WorkspaceName, QuotaStatus>,
    /// Counts of request outcomes since the process started.
    pub counters: RequestCounters,
}

impl Requests {
    /// Returns the current status.
    #[must_use]
    pub fn status(&self) -> RequestsStatus {
        let admission = self.dispatcher.admission.status(self.last_event_at);
        RequestsStatus {
            vm: self.view.cfg().vm.clone(),
            incarnation: self.view.cfg().incarnation,
            version: self.view.version(),
            stage: self.stage.name(),
            started: self.stage.started(),
            calls: self.dispatcher.forwarder.open_count(),
            load: admission.load,
            statement: self
                .dispatcher
                .admission
                .statement(&self.view, self.last_event_at),
            unreadable_limits: admission.unreadable_limits,
            queue: admission.queue,
            held_requests: admission.held_requests,
            duplicate_checks: admission.duplicate_checks,
            waiters: admission.waiters,
            keys: admission.keys,
            response_size: admission.response_size,
            suspected: self.suspects.len(),
            retries: self.dispatcher.forwarder.retries(),
            load_choices: self.dispatcher.forwarder.load_counters().clone(),
            load_peaks: self.load_peaks(),
            kinds: self.dispatcher.admission.kind_counts(),
            quotas: self.quotas.status(self.last_event_at),
            counters: self.counters.clone(),
        }
    }
    fn load_peaks(&self) -> BTreeMap<ServiceName, f64> {
        let snapshot = self.view.snapshot();
        let peaks = snapshot.map(|snapshot| self.loads.peaks(self.last_event_at, snapshot));
        peaks.unwrap_or_default()
    }
}
