//! Numbers of credits, of which each admits one request.

use std::time::Duration;

use celeryshore_model::Rate;

const MICROS: u64 = 1_000_000;
const PER_MILLE: u128 = 1_000;

/// Number of credits, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Credits(u64);

impl Credits {
    /// Returns a whole number of credits.
    pub(super) const fn new(whole: u64) -> Self {
        Self(whole.saturating_mul(MICROS))
    }

    /// Returns the credits that a rate yields in a time.
    pub(super) fn accrued(rate: Rate, time: Duration) -> Self {
        let micros = u128::from(rate.per_mille()).saturating_mul(time.as_micros()) / PER_MILLE;
        Self(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the number of whole credits.
    pub(super) const fn whole(self) -> u64 {
        self.0 / MICROS
    }

    /// Returns the sum.
    pub(super) const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or none if it were negative.
    pub(super) const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns `numerator / denominator` of the credits, rounded down.
    pub(super) fn scaled(self, numerator: u64, denominator: u64) -> Self {
        let product = u128::from(self.0) * u128::from(numerator);
        let micros = product / u128::from(denominator.max(1));
        Self(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the rate that yields the credits in a time, rounded down.
    pub(super) fn rate_over(self, time: Duration) -> Rate {
        let per_mille = u128::from(self.0) * PER_MILLE / time.as_micros().max(1);
        Rate::from_per_mille(u64::try_from(per_mille).unwrap_or(u64::MAX))
    }
}
