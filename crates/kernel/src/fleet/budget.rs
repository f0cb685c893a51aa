//! Rate limits for the control traffic that a node sends.

use std::time::Duration;

use celeryshore_model::Time;
use derive_more::Display;
use serde::Serialize;

/// Sustained rate for datagrams and calls to the platform.
const CONTROL_BYTES_PER_SECOND: u64 = 7 * 1_024;

/// Burst size for datagrams and calls to the platform.
const CONTROL_BURST_BYTES: u64 = 32 * 1_024;

/// Sustained rate for configurations sent to peers.
const BULK_BYTES_PER_SECOND: u64 = 8 * 1_024;

/// Burst size for configurations sent to peers.
const BULK_BURST_BYTES: u64 = 256 * 1_024;

/// Tokens that full configurations leave in the bucket for deltas.
const DELTA_RESERVE_BYTES: u64 = 64 * 1_024;

/// Tokens that announcements leave in the bucket for heartbeats.
const HEARTBEAT_RESERVE_BYTES: u64 = 4 * 1_024;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Purpose of control traffic.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TrafficKind {
    /// Pings and acknowledgements, with the updates that they carry.
    #[display("heartbeat")]
    Heartbeat,
    /// Announcements of a newer version.
    #[display("announce")]
    Announce,
    /// Deltas for peers that are behind.
    #[display("pull-delta")]
    PullDelta,
    /// Full configurations for peers that are too far behind for deltas.
    #[display("pull-snapshot")]
    PullSnapshot,
    /// Calls to the platform.
    #[display("source")]
    Source,
}

impl TrafficKind {
    /// All kinds, in the order in which their counters are stored.
    pub const ALL: [Self; 5] = [
        Self::Heartbeat,
        Self::Announce,
        Self::PullDelta,
        Self::PullSnapshot,
        Self::Source,
    ];

    const fn is_bulk(self) -> bool {
        matches!(self, Self::PullDelta | Self::PullSnapshot)
    }

    const fn reserve(self) -> u64 {
        match self {
            Self::Heartbeat | Self::Source | Self::PullDelta => 0,
            Self::Announce => HEARTBEAT_RESERVE_BYTES,
            Self::PullSnapshot => DELTA_RESERVE_BYTES,
        }
    }
}

/// Counts of one kind of control traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCount {
    /// Bytes sent.
    pub bytes: u64,
    /// Messages sent.
    pub messages: u64,
    /// Messages not sent because of the rate limit.
    pub withheld: u64,
}

/// Control traffic, rate-limited and counted by kind.
#[derive(Debug)]
pub struct Traffic {
    control: TokenBucket,
    bulk: TokenBucket,
    counts: [TrafficCount; TrafficKind::ALL.len()],
}

impl Traffic {
    /// Creates limits whose buckets are full.
    pub fn new(now: Time) -> Self {
        Self {
            control: TokenBucket::new(CONTROL_BYTES_PER_SECOND, CONTROL_BURST_BYTES, now),
            bulk: TokenBucket::new(BULK_BYTES_PER_SECOND, BULK_BURST_BYTES, now),
            counts: [TrafficCount::default(); TrafficKind::ALL.len()],
        }
    }

    /// Takes tokens for a message of `bytes` and counts the message.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if the rate limit does not allow the message
    /// now.
    pub fn take(&mut self, kind: TrafficKind, bytes: usize, now: Time) -> Result<(), Duration> {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let bucket = if kind.is_bulk() {
            &mut self.bulk
        } else {
            &mut self.control
        };
        let taken = bucket.take(bytes, kind.reserve(), now);
        let count = &mut self.counts[kind as usize];
        if taken.is_ok() {
            count.bytes += bytes;
            count.messages += 1;
        } else {
            count.withheld += 1;
        }
        taken
    }

    /// Returns the counts of a kind.
    pub fn count(&self, kind: TrafficKind) -> TrafficCount {
        self.counts[kind as usize]
    }
}

/// Token bucket that allows a message as long as tokens are left above the
/// reserve, even if the message costs more than that. The bucket then goes into
/// debt, so the mean rate still holds.
#[derive(Debug)]
struct TokenBucket {
    bytes_per_second: u64,
    /// Tokens in millionths of a byte. Negative while in debt.
    tokens: i128,
    capacity: i128,
    refilled: Time,
}

impl TokenBucket {
    fn new(bytes_per_second: u64, burst_bytes: u64, now: Time) -> Self {
        let capacity = i128::from(burst_bytes) * i128::from(MICROS_PER_SECOND);
        Self {
            bytes_per_second,
            tokens: capacity,
            capacity,
            refilled: now,
        }
    }

    fn take(&mut self, bytes: u64, reserve: u64, now: Time) -> Result<(), Duration> {
        self.refill(now);
        let missing = i128::from(reserve) * i128::from(MICROS_PER_SECOND) - self.tokens;
        if missing >= 0 {
            let micros = missing / i128::from(self.bytes_per_second) + 1;
            return Err(Duration::from_micros(
                u64::try_from(micros).unwrap_or(u64::MAX),
            ));
        }
        self.tokens -= i128::from(bytes) * i128::from(MICROS_PER_SECOND);
        Ok(())
    }

    fn refill(&mut self, now: Time) {
        let micros = i128::try_from((now - self.refilled).as_micros()).unwrap_or(i128::MAX);
        self.refilled = self.refilled.max(now);
        let gained = micros.saturating_mul(i128::from(self.bytes_per_second));
        self.tokens = self.tokens.saturating_add(gained).min(self.capacity);
    }
}
