//! Detection of process freezes, such as a suspended VM.

use std::time::Duration;

use celeryshore_model::Time;

/// Delay of a tick above which the process is considered to have been frozen.
const MAX_LATENESS: Duration = Duration::from_millis(250);
/// Time after a freeze in which a message that is read may have arrived during the
/// freeze.
const BACKLOG_WINDOW: Duration = Duration::from_millis(100);

/// Detector of freezes. It remembers the latest one.
#[derive(Debug, Default)]
pub(super) struct FreezeDetector {
    /// When the latest freeze ended.
    ended: Option<Time>,
    length: Duration,
}

impl FreezeDetector {
    /// Compares the time of an event with the time at which a tick was due.
    pub(super) fn observe(&mut self, now: Time, due: Option<Time>) {
        let lateness = due.map_or(Duration::ZERO, |due| now - due);
        if lateness > MAX_LATENESS {
            self.ended = Some(now);
            self.length = lateness;
        }
    }

    /// Returns the length of a freeze that has just ended, or zero.
    ///
    /// A message read now may be older by this time than its fields say.
    pub(super) fn lost_time(&self, now: Time) -> Duration {
        match self.ended {
            Some(ended) if now - ended <= BACKLOG_WINDOW => self.length,
            _ => Duration::ZERO,
        }
    }
}
