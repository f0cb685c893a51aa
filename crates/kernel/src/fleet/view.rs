//! Age of a node's view of the platform.

use std::time::Duration;

use celeryshore_model::Time;

/// Upper bound of the time that a datagram is under way between two nodes.
const HOP_ALLOWANCE: Duration = Duration::from_millis(200);

/// Last time that any reader was in good contact with the platform, as far as
/// this node has heard.
///
/// Every hop adds an allowance for its delay, so the age is never
/// underestimated, however often nodes tell it to each other.
#[derive(Debug, Default)]
pub struct View {
    /// Microseconds on this process's clock; negative if before its start.
    fresh: Option<i64>,
}

impl View {
    /// Notes good contact of this node with the platform.
    pub fn touch(&mut self, now: Time) {
        self.merge(Duration::ZERO, now);
    }

    /// Notes the age that another node told.
    pub fn hear(&mut self, age: Duration, now: Time) {
        self.merge(age + HOP_ALLOWANCE, now);
    }

    fn merge(&mut self, age: Duration, now: Time) {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        let fresh = micros(now).saturating_sub(age);
        self.fresh = Some(self.fresh.map_or(fresh, |f| f.max(fresh)));
    }

    /// Returns the age; absent if no contact was ever heard of.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let age = micros(now).saturating_sub(self.fresh?);
        Some(Duration::from_micros(u64::try_from(age).unwrap_or(0)))
    }

    /// Returns whether the age is known and less than `limit`.
    pub fn is_younger(&self, limit: Duration, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

fn micros(time: Time) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
