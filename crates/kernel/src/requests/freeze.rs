//! Notices that the process was frozen.

use std::time::Duration;

use celeryshore_model::Time;

/// Lateness of a tick beyond which the process counts as frozen.
const MAX_LATENESS: Duration = Duration::from_millis(250);
/// Time after a freeze in which messages may have waited in the meantime.
const BACKLOG_WINDOW: Duration = Duration::from_millis(100);

/// Latest freeze of the process.
#[derive(Debug, Default)]
pub(super) struct FreezeDetector {
    ended: Option<Time>,
    length: Duration,
}

impl FreezeDetector {
    /// Compares the time of an event with the tick that was due before it.
    pub(super) fn observe(&mut self, now: Time, due: Option<Time>) {
        let lateness = due.map_or(Duration::ZERO, |due| now - due);
        if lateness > MAX_LATENESS {
            self.ended = Some(now);
            self.length = lateness;
        }
    }

    /// Returns the time that was just lost, by which a message that came since
    /// may be older than it says.
    pub(super) fn lost_time(&self, now: Time) -> Duration {
        match self.ended {
            Some(ended) if now - ended <= BACKLOG_WINDOW => self.length,
            _ => Duration::ZERO,
        }
    }
}
