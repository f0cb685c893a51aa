//! Limits of the bytes that a node sends for control.

use std::time::Duration;

use celeryshore_model::Time;
use derive_more::Display;
use serde::Serialize;

/// Bytes a second for datagrams and calls on the platform.
const CONTROL_BYTES_PER_SECOND: u64 = 7 * 1_024;

/// Bytes that datagrams and calls on the platform may send at once.
const CONTROL_BURST_BYTES: u64 = 32 * 1_024;

/// Bytes a second for configurations sent to peers.
const BULK_BYTES_PER_SECOND: u64 = 8 * 1_024;

/// Bytes of configurations that may be sent to peers at once.
const BULK_BURST_BYTES: u64 = 256 * 1_024;

/// Bytes that whole configurations leave for deltas.
const DELTA_RESERVE_BYTES: u64 = 64 * 1_024;

/// Bytes that announcements leave for heartbeats.
const HEARTBEAT_RESERVE_BYTES: u64 = 4 * 1_024;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// What control bytes are sent for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TrafficKind {
    /// Pings, acknowledgements and what they carry.
    #[display("heartbeat")]
    Heartbeat,
    /// Announcements of a newer version.
    #[display("announce")]
    Announce,
    /// Deltas for peers that are behind.
    #[display("pull-delta")]
    PullDelta,
    /// Whole configurations for peers that are far behind.
    #[display("pull-snapshot")]
    PullSnapshot,
    /// Calls on the platform.
    #[display("source")]
    Source,
}

impl TrafficKind {
    /// All kinds, in the order of their counters.
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

/// Bytes and messages sent and withheld for one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCount {
    /// Bytes that were sent.
    pub bytes: u64,
    /// Messages that were sent.
    pub messages: u64,
    /// Messages that the limit withheld.
    pub withheld: u64,
}

/// Bytes sent for control, limited and counted by kind.
#[derive(Debug)]
pub struct Traffic {
    control: TokenBucket,
    bulk: TokenBucket,
    counts: [TrafficCount; TrafficKind::ALL.len()],
}

impl Traffic {
    /// Starts with full buckets.
    pub fn new(now: Time) -> Self {
        Self {
            control: TokenBucket::new(CONTROL_BYTES_PER_SECOND, CONTROL_BURST_BYTES, now),
            bulk: TokenBucket::new(BULK_BYTES_PER_SECOND, BULK_BURST_BYTES, now),
            counts: [TrafficCount::default(); TrafficKind::ALL.len()],
        }
    }

    /// Counts a message of `bytes` if the limit lets it be sent.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the limit may let it be sent.
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

    /// Returns what was counted for a kind.
    pub fn count(&self, kind: TrafficKind) -> TrafficCount {
        self.counts[kind as usize]
    }
}

/// Limits a mean rate, and lets the last message of a burst go into debt.
#[derive(Debug)]
struct TokenBucket {
    bytes_per_second: u64,
    /// Tokens in millionths of a byte; negative while in debt.
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
