//! Derives every time limit that can delay a change from the bound on a change.
//!
//! Load pattern: a reader loses the store silently in a series of versions, while VMs are
//! being replaced. A node then gives up its source, waits for a dead peer, asks a live one
//! and receives the change. [`FeedTiming::worst_case`] is the sum of these.

use std::time::Duration;

use derive_more::Display;

/// Bound if none is stated.
const DEFAULT_BOUND: Duration = Duration::from_secs(3);
/// Longest wait of a read of changes.
const MAX_READ_WAIT: Duration = Duration::from_secs(2);
/// A slow store takes up to 100 times its usual 4 ms.
const MAX_READ_MARGIN: Duration = Duration::from_millis(500);
/// Longest time between the starts of two reads of targets' changes.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(800);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_PEER_WAIT: Duration = Duration::from_millis(500);
const MAX_FIRST_WAIT: Duration = Duration::from_millis(150);
const MAX_PEER_ANSWER: Duration = Duration::from_millis(300);
const MAX_COMPARISON_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PEER_BACKOFF: Duration = Duration::from_millis(1_500);
const MAX_STALE_BACKOFF: Duration = Duration::from_secs(1);
const MAX_SOURCE_AGE: Duration = Duration::from_secs(3);

/// Time after the store's acknowledgement within which a change has to be in effect.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use celeryshore_kernel::ChangeBound;
///
/// let bound = ChangeBound::tightest([None, Some(Duration::from_millis(2_500))]);
/// assert_eq!(bound.to_string(), "2500ms");
/// assert_eq!(ChangeBound::tightest([None]), ChangeBound::default());
/// ```
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{}ms", _0.as_millis())]
pub struct ChangeBound(Duration);

impl ChangeBound {
    /// Creates a bound.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self(bound)
    }

    /// Returns the tightest of the stated bounds, or the default if none is stated.
    #[must_use]
    pub fn tightest(stated: impl IntoIterator<Item = Option<Duration>>) -> Self {
        let tightest = stated.into_iter().flatten().min();
        tightest.map_or_else(Self::default, Self)
    }

    /// Returns the bound as a duration.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl Default for ChangeBound {
    fn default() -> Self {
        Self(DEFAULT_BOUND)
    }
}

/// Time limits of a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedTiming {
    /// Time for which the store may hold a read of changes.
    pub read_wait: Duration,
    /// The same while the section's last proof is too old, so that the next is due soon.
    pub probe_wait: Duration,
    /// Time allowed for the store's response in addition to the wait.
    pub read_margin: Duration,
    /// Minimum time between the starts of two reads of targets' changes.
    pub check_interval: Duration,
    /// Delay after a failed read of the store, before it doubles.
    pub min_retry_delay: Duration,
    /// Longest delay after repeated failures.
    pub max_retry_delay: Duration,
    /// Time for which a peer may hold a poll.
    pub peer_wait: Duration,
    /// The same for a peer that has not answered lately and may be dead.
    pub first_wait: Duration,
    /// Time allowed for a peer's answer to begin, in addition to the wait.
    pub peer_answer: Duration,
    /// Time allowed for the transfer of a change.
    pub transfer: Duration,
    /// Time between two comparisons with other zones.
    pub comparison_interval: Duration,
    /// Growth of the time of the last proof at which a held poll is answered.
    pub confirmation_step: Duration,
    /// Time for which a peer is not polled after a failure.
    pub peer_backoff: Duration,
    /// Time for which a peer with an old view is not followed.
    pub stale_backoff: Duration,
    /// Age of a view from which its node is given up as a source.
    pub max_source_age: Duration,
    /// Age of a view from which it may lack a change that is due.
    pub max_view_age: Duration,
}

impl FeedTiming {
    /// Derives the limits from the bound.
    #[must_use]
    pub fn derive(bound: ChangeBound) -> Self {
        let part = |percent: u32| bound.get() * percent / 100;
        Self {
            read_wait: part(40).min(MAX_READ_WAIT),
            probe_wait: part(2).min(MAX_FIRST_WAIT),
            read_margin: part(20).min(MAX_READ_MARGIN),
            check_interval: part(40).min(MAX_CHECK_INTERVAL),
            min_retry_delay: part(8).min(MAX_RETRY_DELAY / 5),
            max_retry_delay: part(40).min(MAX_RETRY_DELAY),
            peer_wait: part(20).min(MAX_PEER_WAIT),
            first_wait: part(5).min(MAX_FIRST_WAIT),
            peer_answer: part(10).min(MAX_PEER_ANSWER),
            transfer: part(5),
            comparison_interval: part(10).min(MAX_COMPARISON_INTERVAL),
            confirmation_step: part(20).min(MAX_PEER_WAIT),
            peer_backoff: part(50).min(MAX_PEER_BACKOFF),
            stale_backoff: part(40).min(MAX_STALE_BACKOFF),
            max_source_age: part(60).min(MAX_SOURCE_AGE),
            max_view_age: part(80),
        }
    }

    /// Returns the longest delay of a change: a silent reader, a dead second source, a live
    /// one, and the transfer.
    #[must_use]
    pub fn worst_case(&self) -> Duration {
        let silent = self.max_source_age.max(self.read_wait + self.read_margin);
        let dead = self.first_wait + self.peer_answer;
        silent + dead + self.peer_answer + self.transfer
    }
}
