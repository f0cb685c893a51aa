//! Division of a quota into the rate and depth of its owners' buckets.
//!
//! Load pattern: callers spread over many nodes, of which each gets less than a request per
//! second. The overage and the slack are kept for credits that nodes hold in advance.

use std::time::Duration;

use celeryshore_model::Quota;
use celeryshore_model::Rate;
use celeryshore_model::Share;

use super::credits::Credits;
use super::owners::PartSize;
use crate::requests::QuotaTerms;

/// Number of owners of a workspace, if its quota is large enough.
const MAX_OWNERS: u64 = 6;
/// Least depth of each owner's bucket if there are several, so that most nodes get what they
/// want from the first owner that they ask.
const MIN_CREDITS_PER_OWNER: u64 = 8;
/// Part of the quota window that is the lifetime of a credit.
const LIFETIME_SHARE: (u32, u32) = (3, 10);
const MIN_LIFETIME: Duration = Duration::from_millis(200);
const MAX_LIFETIME: Duration = Duration::from_millis(1_500);
/// Divisor of the credits beyond the rate: the part that is kept as spare credits.
const SPARE_DIVISOR: u64 = 8;
/// Share of the rate at which a full bucket fills, and the bucket of a restarted owner at
/// first. The rest of the rate makes the buckets deeper.
const FULL_BUCKET_SHARE: Share = Share::from_per_mille(900);
const FULL: u64 = 1_000;
const SECOND: Duration = Duration::from_secs(1);

/// Rate and depth of all buckets of a workspace together, or of one owner's bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Budget {
    /// Length of the windows.
    pub(super) window: Duration,
    /// Number of credits that may be used in any window.
    pub(super) limit: Credits,
    /// Highest rate at which the bucket fills.
    pub(super) max_rate: Rate,
    /// Highest number of credits in the bucket and lent from it.
    pub(super) depth: Credits,
    /// Time from a node's ask to the end of the credits that it gets.
    pub(super) lifetime: Duration,
    /// Number of nodes that have a spare credit in each window.
    pub(super) spare: usize,
    /// Number of owners.
    pub(super) owners: usize,
}

impl Budget {
    /// Divides a quota among its owners' buckets and the spare credits.
    pub(super) fn new(terms: QuotaTerms, quota: Quota) -> Self {
        let window = terms.window;
        let limit = limit(terms, quota);
        let usual = Credits::accrued(quota.rate.times(FULL_BUCKET_SHARE), window);
        let spare = limit.minus(usual).whole() / SPARE_DIVISOR;
        let limit = limit.minus(Credits::new(spare));
        let min_depth = limit
            .scaled(1, 2)
            .min(Credits::new(MIN_CREDITS_PER_OWNER))
            .max(Credits::new(1));
        let depth = limit.minus(usual).max(min_depth);
        let owners = (depth.whole() / MIN_CREDITS_PER_OWNER).clamp(1, MAX_OWNERS);
        Self {
            window,
            limit,
            max_rate: quota.rate.times(with_overage(terms)),
            depth,
            lifetime: (window * LIFETIME_SHARE.0 / LIFETIME_SHARE.1)
                .clamp(MIN_LIFETIME, MAX_LIFETIME),
            spare: usize::try_from(spare).unwrap_or(usize::MAX),
            owners: usize::try_from(owners).unwrap_or(1),
        }
    }

    /// Returns the part of the budget that an owner has.
    pub(super) fn part(&self, size: PartSize) -> Self {
        let scaled = |credits: Credits| credits.scaled(size.numerator, size.denominator);
        let per_second = Credits::accrued(self.max_rate, SECOND);
        Self {
            limit: scaled(self.limit),
            max_rate: scaled(per_second).rate_over(SECOND),
            depth: scaled(self.depth),
            ..*self
        }
    }

    /// Returns the rate at which a bucket fills if it held, with what was lent from it, up
    /// to `peak` credits in the last window.
    ///
    /// The credits used in a window are those that were in the bucket or lent when it began,
    /// and those that filled the bucket since. As the peak is at least the former at any time
    /// in the window, their sum stays within the limit.
    pub(super) fn fill_rate(&self, peak: Credits) -> Rate {
        let rate = self.limit.minus(peak).rate_over(self.window);
        rate.min(self.max_rate)
    }
}

fn with_overage(terms: QuotaTerms) -> Share {
    let full = u32::try_from(FULL).unwrap_or(u32::MAX);
    Share::from_per_mille(full.saturating_add(terms.overage.per_mille()))
}

/// Returns the number of requests that may run in any window.
fn limit(terms: QuotaTerms, quota: Quota) -> Credits {
    let whole = Credits::accrued(quota.rate, terms.window).plus(Credits::new(quota.burst));
    let factor = with_overage(terms).per_mille();
    whole
        .scaled(factor.into(), FULL)
        .plus(Credits::new(terms.slack.into()))
}
