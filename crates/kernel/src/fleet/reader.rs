//! Reads of the platform by the few nodes that are readers.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Digest;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::Version;

use super::backoff::Backoff;
use super::backoff::jitter;
use super::configuration::Installed;
use super::event::ReadFailure;
use super::event::ReadId;
use super::event::ReadQuery;
use super::health::Health;
use super::read::Activity;
use super::read::Call;
use super::read::Parts;
use super::read::ReadMode;
use super::read::Reading;
use super::read::RulesValue;
use super::read::Validated;

/// Maximum time for which the platform may delay the response to a watch.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Time beyond the wait after which a read is abandoned.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which all parts of a manifest must be read.
const PARTS_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after which a validation without a reported result is considered lost.
const VALIDATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a watch may miss a version that peers have already, before it
/// is abandoned.
const WATCH_LAG_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time between reads of the list of VMs.
const LIST_PERIOD: Duration = Duration::from_secs(10);

/// Reads of the platform. The rules key is read one value at a time, the list
/// of VMs independently.
#[derive(Debug)]
pub struct Reader {
    activity: Activity,
    index: Option<Index>,
    health: Health,
    early_response_backoff: Backoff,
    last_validated: Option<Validated>,
    next_list: Option<Time>,
    list_read: Option<(ReadId, Time)>,
    calls: u64,
}

impl Reader {
    /// Creates a reader that has read nothing.
    pub const fn new() -> Self {
        Self {
            activity: Activity::Idle { not_before: None },
            index: None,
            health: Health::new(),
            early_response_backoff: Backoff::new(Duration::from_millis(200), WATCH_WAIT),
            last_validated: None,
            next_list: None,
            list_read: None,
            calls: 0,
        }
    }

    /// Returns the number of calls to the platform so far.
    pub const fn calls(&self) -> u64 {
        self.calls
    }

    /// Returns `true` while this node gives up the reader role because its
    /// reads fail.
    pub fn is_unwell(&self, now: Time) -> bool {
        self.health.is_unwell(now)
    }

    /// Starts a read of the rules key if one is due.
    pub fn start(&mut self, mode: ReadMode, now: Time, rng: &mut fastrand::Rng) -> Option<Call> {
        let Activity::Idle { not_before } = &mut self.activity else {
            return None;
        };
        let first = match mode {
            ReadMode::Off => {
                *not_before = None;
                return None;
            }
            ReadMode::Watch { pause } => now + pause.mul_f64(rng.f64()),
            ReadMode::Occasional { period } => now + period.mul_f64(rng.f64()),
        };
        if now < *not_before.get_or_insert(first) {
            return None;
        }
        let watch = matches!(mode, ReadMode::Watch { .. });
        let index = self.index.filter(|_| watch);
        let wait = index.map_or(Duration::ZERO, |_| WATCH_WAIT);
        let call = self.call(ReadQuery::Rules { index, wait }, now + wait + READ_TIMEOUT);
        self.activity = Activity::Reading(Reading {
            read: call.read,
            watch,
            issued: now,
            deadline: call.deadline,
        });
        Some(call)
    }

    /// Starts a read of the list of VMs if one is due.
    pub fn start_list(&mut self, now: Time, rng: &mut fastrand::Rng) -> Option<Call> {
        if self.list_read.is_some_and(|(_, deadline)| now < deadline) {
            return None;
        }
        if now < *self.next_list.get_or_insert(now) {
            return None;
        }
        self.next_list = Some(now + jitter(LIST_PERIOD, rng));
        let call = self.call(ReadQuery::Vms, now + READ_TIMEOUT);
        self.list_read = Some((call.read, call.deadline));
        Some(call)
    }

    fn call(&mut self, query: ReadQuery, deadline: Time) -> Call {
        self.calls += 1;
        Call {
            read: ReadId(self.calls),
            query,
            deadline,
        }
    }

    /// Ends and returns the current watch if this node is no longer a reader.
    pub fn step_down(&mut self, mode: ReadMode) -> Option<ReadId> {
        match &self.activity {
            Activity::Reading(r) if r.watch && mode == ReadMode::Off => {
                let read = r.read;
                self.idle(None);
                Some(read)
            }
            _ => None,
        }
    }

    /// Returns the reads to abandon: those whose deadline passed, or a watch
    /// that misses a version that peers have already. An empty list means that
    /// a validation was lost, `None` that nothing is to be abandoned.
    pub fn timed_out(&self, current: Option<&Installed>, now: Time) -> Option<Vec<ReadId>> {
        match &self.activity {
            Activity::Reading(r) if r.deadline <= now || self.is_behind_peers(r, current, now) => {
                Some(vec![r.read])
            }
            Activity::Parts(parts) if parts.deadline <= now => {
                Some(parts.waiting.keys().copied().collect())
            }
            Activity::Validating { since, .. } if now - *since >= VALIDATION_TIMEOUT => {
                Some(Vec::new())
            }
            _ => None,
        }
    }

    fn is_behind_peers(&self, reading: &Reading, current: Option<&Installed>, now: Time) -> bool {
        current.is_some_and(|c| {
            let newer = self.index.is_some_and(|i| c.rules.version.index > i);
            newer && reading.issued < c.since && now - c.since >= WATCH_LAG_TIMEOUT
        })
    }

    /// Records the response to a read. Returns the value once it is complete.
    pub fn answer(&mut self, read: ReadId, index: Index, value: Bytes) -> Option<RulesValue> {
        match &mut self.activity {
            Activity::Reading(reading) if reading.read == read => {
                self.index = Some(index);
                let parts = Vec::new();
                Some(RulesValue {
                    index,
                    value,
                    parts,
                })
            }
            Activity::Parts(parts) => {
                let at = parts.waiting.remove(&read)?;
                *parts.values.get_mut(at)? = value;
                parts.waiting.is_empty().then(|| RulesValue {
                    index: parts.index,
                    value: parts.manifest.clone(),
                    parts: std::mem::take(&mut parts.values),
                })
            }
            _ => None,
        }
    }

    /// Records that the validation of a value has started.
    pub fn begin_validation(&mut self, index: Index, digest: Digest, now: Time) {
        self.activity = Activity::Validating {
            index,
            digest,
            since: now,
        };
    }

    /// Records the version of the validated value, or `None` if it was refused.
    pub fn record_validation(&mut self, version: Option<Version>) {
        if let Activity::Validating { index, digest, .. } = self.activity {
            self.last_validated = Some(Validated {
                index,
                digest,
                version,
            });
        }
    }

    /// Returns `true` if the same value was validated last, and was refused or
    /// is not older than `current`.
    pub fn was_validated(&self, index: Index, digest: Digest, current: Version) -> bool {
        let validated = self.last_validated.as_ref();
        validated.is_some_and(|v| {
            let same = v.index == index && v.digest == digest;
            same && v.version.is_none_or(|version| version >= current)
        })
    }

    /// Makes the next read due immediately, because this node became a reader.
    pub fn start_immediately(&mut self) {
        if matches!(self.activity, Activity::Idle { .. }) {
            self.idle(None);
        }
    }

    /// Starts reads of the parts that a manifest names.
    pub fn start_parts(
        &mut self,
        index: Index,
        manifest: Bytes,
        keys: Vec<String>,
        now: Time,
    ) -> Vec<Call> {
        let deadline = now + PARTS_TIMEOUT;
        let values = vec![Bytes::new(); keys.len()];
        let calls: Vec<_> = keys
            .into_iter()
            .map(|key| self.call(ReadQuery::Part { key }, deadline))
            .collect();
        let waiting = calls.iter().enumerate().map(|(i, c)| (c.read, i)).collect();
        self.activity = Activity::Parts(Parts {
            index,
            manifest,
            waiting,
            values,
            deadline,
        });
        calls
    }

    /// Records a successful read and schedules the next one.
    ///
    /// The reader backs off if a watch ends early without a change.
    pub fn record_success(
        &mut self,
        changed: bool,
        mode: ReadMode,
        now: Time,
        rng: &mut fastrand::Rng,
    ) {
        self.health.record_success();
        let pause = match mode {
            ReadMode::Occasional { period } => jitter(period * 2, rng),
            ReadMode::Watch { pause } if !pause.is_zero() => jitter(pause * 2, rng),
            _ if changed || !self.is_early_response(now) => {
                self.early_response_backoff.reset();
                Duration::ZERO
            }
            _ => self.early_response_backoff.next_delay(rng),
        };
        self.idle(Some(now + pause));
    }

    fn is_early_response(&self, now: Time) -> bool {
        matches!(&self.activity, Activity::Reading(r) if now - r.issued < WATCH_WAIT / 2)
    }

    /// Records a read that failed or returned an older version, and schedules
    /// the next one.
    pub fn record_failure(
        &mut self,
        failure: ReadFailure,
        mode: ReadMode,
        others_succeed: bool,
        now: Time,
        rng: &mut fastrand::Rng,
    ) {
        let mut wait = self
            .health
            .record_failure(failure, others_succeed, now, rng);
        if let ReadMode::Occasional { period } = mode {
            wait = wait.max(jitter(period * 2, rng));
        }
        self.index = None;
        self.idle(Some(now + wait));
    }

    /// Returns `true` if the read is in progress.
    pub fn is_current(&self, read: ReadId) -> bool {
        match &self.activity {
            Activity::Reading(r) => r.read == read,
            Activity::Parts(parts) => parts.waiting.contains_key(&read),
            _ => false,
        }
    }

    /// Ends a read of the list of VMs. Returns `false` if it is not the one in
    /// progress.
    pub fn finish_list(&mut self, read: ReadId) -> bool {
        self.list_read.take_if(|(r, _)| *r == read).is_some()
    }

    /// Drops the calls in progress, which broke during a freeze of this node.
    pub fn reset(&mut self, now: Time) {
        self.idle(Some(now));
        self.list_read = None;
        self.index = None;
    }

    fn idle(&mut self, not_before: Option<Time>) {
        self.activity = Activity::Idle { not_before };
    }

    /// Returns the time of the next read or timeout.
    pub fn due(&self) -> Option<Time> {
        match &self.activity {
            Activity::Idle { not_before } => *not_before,
            Activity::Reading(r) => Some(r.deadline),
            Activity::Parts(parts) => Some(parts.deadline),
            Activity::Validating { since, .. } => Some(*since + VALIDATION_TIMEOUT),
        }
    }

    /// Returns the index of the last response, or `None` after a failed read.
    pub const fn index(&self) -> Option<Index> {
        self.index
    }
}
