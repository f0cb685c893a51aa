//! What a platform demands of the requests on it.

use celeryshore_model::Dialect;
use celeryshore_model::Rate;
use celeryshore_model::ServiceName;
use celeryshore_model::Share;

const WHOLE: Share = Share::from_per_mille(1_000);
/// Requests of the slack that are left unused, for those that arrive in another
/// second than they were sent in.
const UNUSED_SLACK: u32 = 2;

/// What a platform demands of the requests on it. The default are the product's
/// own terms, where nothing but the rules counts.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Header fields of callers and targets.
    pub dialect: Dialect,
    /// Service of the VM, which targets are told as the caller's.
    pub service: Option<ServiceName>,
    /// Bound on the load of a target in cold start.
    pub cold_start: ColdStartTerms,
    /// Bound on retries.
    pub retry: RetryTerms,
    /// What shows that a request crashed its target.
    pub crash_evidence: CrashEvidence,
}

/// What shows that a request crashed its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The loss of its answer.
    #[default]
    LostAnswer,
    /// The loss of its answer and then of the target; targets lose answers for
    /// other reasons as well.
    LostTarget,
}

/// Bound on the load of a target in cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStartTerms {
    /// Share of the rate that it bears by its own account; may be over the whole.
    pub share: Share,
    /// Requests in a second beyond that.
    pub slack: u32,
}

impl Default for ColdStartTerms {
    fn default() -> Self {
        Self {
            share: WHOLE,
            slack: 0,
        }
    }
}

impl ColdStartTerms {
    /// Returns how many requests a target in cold start may get in a second.
    pub(super) fn allowed(self, rate: Rate) -> usize {
        let slack = self.slack.saturating_sub(UNUSED_SLACK);
        let allowed = rate.times(self.share).whole() + u64::from(slack);
        usize::try_from(allowed).unwrap_or(usize::MAX).max(1)
    }
}

/// Bound on the retries of all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryTerms {
    /// Retries of a service beyond its share of first attempts, for all nodes
    /// together; each node takes its part of them.
    pub slack: Option<u32>,
    /// Retries as a share of first attempts; the service's policy if absent.
    pub share: Option<Share>,
    /// Whether only requests that reached a target count, so that going on after
    /// the refusal of another node is free.
    pub exempts_node_refusals: bool,
}
