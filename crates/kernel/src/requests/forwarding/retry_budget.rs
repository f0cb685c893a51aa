//! Limit on the retries of a service.

use celeryshore_model::Share;

/// Cost of one retry, in thousandths of a token.
const RETRY_COST: u32 = 1_000;
/// Divisor of the fleet-wide retry slack: the part that is distributed to the nodes.
const SLACK_DIVISOR: u32 = 2;
/// Bound on the tokens that accumulate, in thousandths.
const MAX_TOKENS: u32 = 10 * RETRY_COST;
/// Divisor of the bucket: the part that is left to the most urgent kinds.
const SPARE_DIVISOR: u32 = 2;
/// Share of overload refusals above which nothing is retried, in thousandths.
const MAX_OVERLOAD_SHARE: u32 = 500;
/// Inverse weight of the latest outcome in the moving average of overload refusals.
const SMOOTHING: u32 = 16;

/// Token bucket for the retries of one service, filled by its first attempts.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: u32,
    /// Limit on `tokens`.
    capacity: u32,
    /// Moving average of the share of overload refusals, in thousandths.
    overload_share: u32,
}

impl RetryBudget {
    /// Creates a full bucket.
    pub(super) const fn new() -> Self {
        Self {
            tokens: MAX_TOKENS,
            capacity: MAX_TOKENS,
            overload_share: 0,
        }
    }

    /// Limits the bucket to this node's share of the `slack`, the retries that all nodes
    /// together may make beyond the share of first attempts.
    ///
    /// The shares add up to less than `slack`, because nodes may disagree for a
    /// while on how many there are, and a restarted node begins with a full bucket.
    pub(super) fn set_node_share(&mut self, slack: u32, nodes: u32) {
        let fleet_limit = slack.saturating_mul(RETRY_COST) / SLACK_DIVISOR;
        self.capacity = (fleet_limit / nodes.max(1)).max(RETRY_COST);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Adds the tokens that one first attempt earns.
    pub(super) fn deposit(&mut self, share: Share) {
        self.tokens = (self.tokens + share.per_mille()).min(self.capacity);
    }

    /// Records whether an upstream refused an attempt because of overload.
    pub(super) fn observe(&mut self, is_overload: bool) {
        let latest = if is_overload { 1_000 } else { 0 };
        self.overload_share = (self.overload_share * (SMOOTHING - 1) + latest) / SMOOTHING;
    }

    /// Takes the tokens for one retry or second send if more than half of them are left.
    /// Returns `false` otherwise, so that the rest serves retries after failures and more
    /// urgent requests.
    pub(super) fn withdraw_spare(&mut self) -> bool {
        self.tokens * SPARE_DIVISOR > self.capacity && self.withdraw()
    }

    /// Returns `true` if one retry is allowed, without taking its tokens.
    pub(super) const fn can_withdraw(&self) -> bool {
        self.overload_share <= MAX_OVERLOAD_SHARE && self.tokens >= RETRY_COST
    }

    /// Takes the tokens for one retry. Returns `false` if there are too few or the
    /// service is overloaded as a whole.
    pub(super) fn withdraw(&mut self) -> bool {
        if !self.can_withdraw() {
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
