//! Requirements of a platform for the requests on it.

use std::time::Duration;

use celeryshore_model::BitRate;
use celeryshore_model::Dialect;
use celeryshore_model::Rate;
use celeryshore_model::ServiceName;
use celeryshore_model::Share;

/// Longest time for which a stopping node serves, if the settings name none.
const LONGEST_STOP: Duration = Duration::from_secs(4);
const FULL_RATE: Share = Share::from_per_mille(1_000);
/// Part of the slack that stays unused, in requests per second, because a request may
/// arrive in a later second than it was sent in.
const UNUSED_SLACK: u32 = 2;

/// Highest number of requests per second to a target in cold start, since the time of
/// each is kept.
const MAX_COLD_REQUESTS: usize = 10_000;

/// Requirements of a platform for the requests on it. With the default, only the
/// rules apply.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Header fields of callers and targets.
    pub dialect: Dialect,
    /// Service of the VM, sent to targets as the caller's service.
    pub service: Option<ServiceName>,
    /// Limit on the load of a target in cold start.
    pub cold_start: ColdStartTerms,
    /// Limit on retries.
    pub retry: RetryTerms,
    /// Transfer rate of the VM's network link, if it is known.
    pub link: Option<BitRate>,
    /// How exactly quotas of workspaces are enforced.
    pub quota: QuotaTerms,
    /// How a node stops.
    pub stop: StopTerms,
    /// Age of the configuration from which requests that need a key are refused; absent
    /// if the keys last known apply without a limit.
    pub key_expiry: Option<Duration>,
    /// What counts as evidence that a request crashed its target.
    pub crash_evidence: CrashEvidence,
    /// Whether targets keep slots free for urgent kinds whose target latency is short
    /// beside the run time of a less urgent kind.
    pub urgent_slots: bool,
    /// Whether nodes share reports of targets' loads, and choose among targets at random
    /// by expected finish.
    pub even_load: bool,
}

/// Evidence that a request crashed its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The loss of its response.
    #[default]
    LostResponse,
    /// The loss of its response and then of the target. For targets that lose responses
    /// for other reasons as well.
    LostTarget,
}

/// Limit on the load of a target in cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStartTerms {
    /// Factor on the rate that the target states for its cold start; may exceed 1.
    pub share: Share,
    /// Additional requests per second.
    pub slack: u32,
}

impl Default for ColdStartTerms {
    fn default() -> Self {
        Self {
            share: FULL_RATE,
            slack: 0,
        }
    }
}

impl ColdStartTerms {
    /// Returns the number of requests that a target in cold start may get in one second.
    pub(super) fn allowed(self, rate: Rate) -> usize {
        let slack = self.slack.saturating_sub(UNUSED_SLACK);
        let rate = rate.times(self.share).whole();
        let allowed = rate.saturating_add(slack.into());
        let allowed = usize::try_from(allowed).unwrap_or(MAX_COLD_REQUESTS);
        allowed.clamp(1, MAX_COLD_REQUESTS)
    }
}

/// How a node stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTerms {
    /// Longest time for which a stopping node goes on serving.
    pub longest: Duration,
    /// Time after which the platform kills a process that it has told to stop, if it is
    /// known. Requests that can't be answered before are refused.
    pub grace: Option<Duration>,
}

impl Default for StopTerms {
    fn default() -> Self {
        Self {
            longest: LONGEST_STOP,
            grace: None,
        }
    }
}

/// How exactly quotas of workspaces are enforced. In no window may more requests run than
/// the quota allows for it, with the overage and the slack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaTerms {
    /// Length of the windows.
    pub window: Duration,
    /// Share by which the requests of a window may exceed the quota.
    pub overage: Share,
    /// Requests of a window beyond that.
    pub slack: u32,
}

impl Default for QuotaTerms {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(1),
            overage: Share::default(),
            slack: 0,
        }
    }
}

/// Limit on the retries of all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryTerms {
    /// Retries of a service beyond the share of first attempts, for all nodes together.
    /// Each node uses its part of them. Absent for no limit across nodes.
    pub slack: Option<u32>,
    /// Retries as a share of first attempts; the service's policy if absent.
    pub share: Option<Share>,
    /// Whether a retry is free of the limit after a node refused the request for lack of
    /// capacity, so that it never reached a target.
    pub exempts_node_refusals: bool,
}
