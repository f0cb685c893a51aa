//! Age of a node's view of the platform.

use std::time::Duration;

use celeryshore_model::Time;

/// Upper bound of the time that a datagram takes from one node to another.
const MAX_HOP_DELAY: Duration = Duration::from_millis(200);

/// Time of the last successful read of the platform by any reader, as far as
/// this node knows.
///
/// Every hop between nodes adds [`MAX_HOP_DELAY`], so the age is never
/// underestimated, however often nodes pass it on.
#[derive(Debug, Default)]
pub struct View {
    /// Microseconds on the clock of this process. Negative if before its start.
    last_contact: Option<i64>,
}

impl View {
    /// Records a successful read of the platform by this node.
    pub fn record_contact(&mut self, now: Time) {
        self.merge(Duration::ZERO, now);
    }

    /// Records the age that another node reported.
    pub fn record_remote_age(&mut self, age: Duration, now: Time) {
        self.merge(age + MAX_HOP_DELAY, now);
    }

    fn merge(&mut self, age: Duration, now: Time) {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        let last_contact = micros(now).saturating_sub(age);
        self.last_contact = Some(
            self.last_contact
                .map_or(last_contact, |last| last.max(last_contact)),
        );
    }

    /// Returns the age, or `None` if no successful read is known.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let age = micros(now).saturating_sub(self.last_contact?);
        Some(Duration::from_micros(u64::try_from(age).unwrap_or(0)))
    }

    /// Returns `true` if the age is known and less than `limit`.
    pub fn is_younger_than(&self, limit: Duration, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

fn micros(time: Time) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
