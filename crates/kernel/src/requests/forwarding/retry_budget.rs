//! How many retries a service may get.

use celeryshore_model::Share;

/// Cost of one retry, in thousandths of a first attempt.
const RETRY_COST: u32 = 1_000;
/// Part of the common retries that is handed out, as a divisor.
const SLACK_DIVISOR: u32 = 2;
/// Most retries that can be saved up, in thousandths.
const MAX_TOKENS: u32 = 10 * RETRY_COST;
/// Share of overload refusals beyond which nothing is retried, in thousandths.
const MAX_OVERLOAD_SHARE: u32 = 500;
/// Weight of the latest outcome in the share of overload refusals, as a divisor.
const SMOOTHING: u32 = 16;

/// Token bucket of one service's retries, filled by its first attempts.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: u32,
    capacity: u32,
    overload_share: u32,
}

impl RetryBudget {
    /// Makes a full bucket.
    pub(super) const fn new() -> Self {
        Self {
            tokens: MAX_TOKENS,
            capacity: MAX_TOKENS,
            overload_share: 0,
        }
    }

    /// Takes this node's part of the retries that all nodes have in common.
    ///
    /// The parts add up to less than the whole, since nodes may differ for a
    /// while on how many they are, and a restarted one begins with a full part.
    pub(super) fn set_node_share(&mut self, slack: u32, nodes: u32) {
        let whole = slack.saturating_mul(RETRY_COST) / SLACK_DIVISOR;
        self.capacity = (whole / nodes.max(1)).max(RETRY_COST);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Adds the share of one first attempt.
    pub(super) fn deposit(&mut self, share: Share) {
        self.tokens = (self.tokens + share.per_mille()).min(self.capacity);
    }

    /// Records whether an attempt was refused for overload.
    pub(super) fn observe(&mut self, is_overload: bool) {
        let latest = if is_overload { 1_000 } else { 0 };
        self.overload_share = (self.overload_share * (SMOOTHING - 1) + latest) / SMOOTHING;
    }

    /// Takes one retry out of the bucket, if there is one and the service is
    /// not overloaded as a whole.
    pub(super) fn withdraw(&mut self) -> bool {
        if self.overload_share > MAX_OVERLOAD_SHARE || self.tokens < RETRY_COST {
            return false;
        }
        self.tokens -= RETRY_COST;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
