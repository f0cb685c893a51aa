//! Rate at which requests start at the target.

use celeryshore_model::Rate;
use celeryshore_model::Time;

/// Time constant of the decay, in seconds.
const DECAY_SECS: f64 = 1.0;

/// Exponentially decaying count of starts.
#[derive(Debug)]
pub(super) struct StartRate {
    count: f64,
    updated_at: Time,
}

impl StartRate {
    pub(super) const fn new() -> Self {
        Self {
            count: 0.0,
            updated_at: Time::ZERO,
        }
    }

    /// Records a start.
    pub(super) fn record(&mut self, now: Time) {
        self.count = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    /// Returns the starts per second.
    pub(super) fn get(&self, now: Time) -> Rate {
        Rate::from_f64(self.decayed(now) / DECAY_SECS).unwrap_or_default()
    }

    fn decayed(&self, now: Time) -> f64 {
        let elapsed = (now - self.updated_at).as_secs_f64();
        self.count * (-elapsed / DECAY_SECS).exp()
    }
}
