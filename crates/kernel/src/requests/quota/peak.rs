//! Highest number of credits of a part in the last window.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::Time;

use super::credits::Credits;

/// Divisor of the window: values that are closer to each other are kept as one.
const STEP_DIVISOR: u32 = 32;

/// Highest value of a short time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    since: Time,
    until: Time,
    value: Credits,
}

/// Maximum over a sliding window.
#[derive(Clone, Debug)]
pub(super) struct Peak {
    window: Duration,
    /// Values that no later one reaches.
    samples: VecDeque<Sample>,
}

impl Peak {
    /// Creates a maximum over `window` with a first value.
    pub(super) fn new(window: Duration, now: Time, value: Credits) -> Self {
        let mut peak = Self {
            window,
            samples: VecDeque::new(),
        };
        peak.observe(now, value);
        peak
    }

    /// Records a value.
    pub(super) fn observe(&mut self, now: Time, value: Credits) {
        let window = self.window;
        let is_old = |sample: &mut Sample| now - sample.until > window;
        while self.samples.pop_front_if(is_old).is_some() {}
        let is_exceeded = |sample: &mut Sample| sample.value <= value;
        while self.samples.pop_back_if(is_exceeded).is_some() {}
        match self.samples.back_mut() {
            Some(last) if now - last.since < window / STEP_DIVISOR => last.until = now,
            _ => self.samples.push_back(Sample {
                since: now,
                until: now,
                value,
            }),
        }
    }

    /// Lowers the values above a maximum, for a bucket whose depth is reduced.
    pub(super) fn cap(&mut self, max: Credits) {
        for sample in &mut self.samples {
            sample.value = sample.value.min(max);
        }
    }

    /// Returns the highest value of the window before `now`.
    pub(super) fn get(&self, now: Time) -> Credits {
        let mut samples = self.samples.iter();
        samples
            .find(|sample| now - sample.until <= self.window)
            .map_or(Credits::default(), |sample| sample.value)
    }
}
