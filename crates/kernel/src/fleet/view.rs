//! Age of a node's view of the platform.

use std::time::Duration;

use celeryshore_model::Time;

/// Upper bound of the time that a datagram is under way between two nodes.
const MAX_HOP_DELAY: Duration = Duration::from_millis(200);

/// Last time that any reader was in good contact with the platform, as far as
/// this node has heard.
///
/// Every hop adds an allowance for its delay, so the age is never
/// underestimated, however often nodes tell it to each other.
#[derive(Debug, Default)]
pub struct View {
    /// Microseconds on this process's clock; negative if before its start.
    last_contact: Option<i64>,
}

impl View {
    /// Notes good contact of this node with the platform.
    pub fn record_contact(&mut self, now: Time) {
        self.merge(Duration::ZERO, now);
    }

    /// Notes the age that another node told.
    pub fn record_remote_age(&mut self, age: Duration, now: Time) {
        self.merge(age + MAX_HOP_DELAY, now);
    }

    fn merge(&mut self, age: Duration, now: Time) {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        let last_contact = micros(now).saturating_sub(age);
        self.last_contact = Some(
            self.last_contact
                .map_or(last_contact, |f| f.max(last_contact)),
        );
    }

    /// Returns the age; absent if no contact was ever heard of.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let age = micros(now).saturating_sub(self.last_contact?);
        Some(Duration::from_micros(u64::try_from(age).unwrap_or(0)))
    }

    /// Returns whether the age is known and less than `limit`.
    pub fn is_younger_than(&self, limit: Duration, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

fn micros(time: Time) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
