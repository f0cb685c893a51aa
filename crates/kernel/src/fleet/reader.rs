//! Reads of the platform by the few nodes whose turn it is.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Digest;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::Version;

use super::backoff::Backoff;
use super::backoff::jitter;
use super::configuration::Held;
use super::event::ReadFailure;
use super::event::ReadId;
use super::event::ReadQuery;
use super::health::Health;
use super::read::Activity;
use super::read::Call;
use super::read::Duty;
use super::read::Judged;
use super::read::Parts;
use super::read::Reading;
use super::read::Rules;

/// Time for which the platform may let a watch wait.
const WAIT: Duration = Duration::from_secs(5);

/// Time beyond the wait after which a read is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which parts of one manifest may be read.
const PARTS_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after which a judgement that was not reported counts as lost.
const JUDGING_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that a watch may lag behind what peers hold before it counts as deaf.
const DEAF_AFTER: Duration = Duration::from_secs(2);

/// Time between reads of the list of VMs.
const LIST_PERIOD: Duration = Duration::from_secs(10);

/// Reads of the platform, one at a time.
#[derive(Debug)]
pub struct Reader {
    activity: Activity,
    index: Option<Index>,
    health: Health,
    spin: Backoff,
    judged: Option<Judged>,
    list: Option<Time>,
    list_read: Option<(ReadId, Time)>,
    sequence: u64,
}

impl Reader {
    /// Makes a reader that has read nothing.
    pub const fn new() -> Self {
        Self {
            activity: Activity::Idle { not_before: None },
            index: None,
            health: Health::new(),
            spin: Backoff::new(Duration::from_millis(200), WAIT),
            judged: None,
            list: None,
            list_read: None,
            sequence: 0,
        }
    }

    /// Returns the number of calls so far.
    pub const fn calls(&self) -> u64 {
        self.sequence
    }

    /// Returns whether this node leaves its turn to the next.
    pub fn is_unwell(&self, now: Time) -> bool {
        self.health.is_unwell(now)
    }

    /// Starts a call if it is time for one.
    pub fn start(&mut self, duty: Duty, now: Time, rng: &mut fastrand::Rng) -> Option<Call> {
        let Activity::Idle { not_before } = &mut self.activity else {
            return None;
        };
        let first = match duty {
            Duty::Off => {
                *not_before = None;
                return None;
            }
            Duty::Watch { rest } => now + rest.mul_f64(rng.f64()),
            Duty::Sometimes { period } => now + period.mul_f64(rng.f64()),
        };
        if now < *not_before.get_or_insert(first) {
            return None;
        }
        let watch = matches!(duty, Duty::Watch { .. });
        let index = self.index.filter(|_| watch);
        let wait = index.map_or(Duration::ZERO, |_| WAIT);
        let call = self.call(ReadQuery::Rules { index, wait }, now + wait + READ_TIMEOUT);
        self.activity = Activity::Reading(Reading {
            read: call.read,
            watch,
            issued: now,
            deadline: call.deadline,
        });
        Some(call)
    }

    /// Starts a read of the list of VMs if it is time for one.
    pub fn start_list(&mut self, now: Time, rng: &mut fastrand::Rng) -> Option<Call> {
        if self.list_read.is_some_and(|(_, deadline)| now < deadline) {
            return None;
        }
        if now < *self.list.get_or_insert(now) {
            return None;
        }
        self.list = Some(now + jitter(LIST_PERIOD, rng));
        let call = self.call(ReadQuery::Vms, now + READ_TIMEOUT);
        self.list_read = Some((call.read, call.deadline));
        Some(call)
    }

    fn call(&mut self, query: ReadQuery, deadline: Time) -> Call {
        self.sequence += 1;
        Call {
            read: ReadId(self.sequence),
            query,
            deadline,
        }
    }

    /// Returns the watch that is no longer this node's turn, and ends it.
    pub fn step_down(&mut self, duty: Duty) -> Option<ReadId> {
        match &self.activity {
            Activity::Reading(r) if r.watch && duty == Duty::Off => {
                let read = r.read;
                self.idle(None);
                Some(read)
            }
            _ => None,
        }
    }

    /// Returns the reads whose time is over, or a watch that does not hear what
    /// peers already hold; absent if there is nothing to give up.
    pub fn timed_out(&self, held: Option<&Held>, now: Time) -> Option<Vec<ReadId>> {
        match &self.activity {
            Activity::Reading(r) if r.deadline <= now || self.is_deaf(r, held, now) => {
                Some(vec![r.read])
            }
            Activity::Parts(parts) if parts.deadline <= now => {
                Some(parts.waiting.keys().copied().collect())
            }
            Activity::Judging { since, .. } if now - *since >= JUDGING_TIMEOUT => Some(Vec::new()),
            _ => None,
        }
    }

    fn is_deaf(&self, reading: &Reading, held: Option<&Held>, now: Time) -> bool {
        held.is_some_and(|h| {
            let newer = self.index.is_some_and(|i| h.base.version.index > i);
            newer && reading.issued < h.since && now - h.since >= DEAF_AFTER
        })
    }

    /// Takes the answer to a read; returns the value once it is whole.
    pub fn answer(&mut self, read: ReadId, index: Index, value: Bytes) -> Option<Rules> {
        match &mut self.activity {
            Activity::Reading(reading) if reading.read == read => {
                self.index = Some(index);
                let parts = Vec::new();
                Some(Rules {
                    index,
                    value,
                    parts,
                })
            }
            Activity::Parts(parts) => {
                let at = parts.waiting.remove(&read)?;
                *parts.values.get_mut(at)? = value;
                parts.waiting.is_empty().then(|| Rules {
                    index: parts.index,
                    value: parts.manifest.clone(),
                    parts: std::mem::take(&mut parts.values),
                })
            }
            _ => None,
        }
    }

    /// Notes that what was read is being judged.
    pub fn begin_judging(&mut self, index: Index, digest: Digest, now: Time) {
        self.activity = Activity::Judging {
            index,
            digest,
            since: now,
        };
    }

    /// Remembers what the value under judgement gave; nothing if it was refused.
    pub fn remember(&mut self, version: Option<Version>) {
        if let Activity::Judging { index, digest, .. } = self.activity {
            self.judged = Some(Judged {
                index,
                digest,
                version,
            });
        }
    }

    /// Returns whether a value was judged before, and is not older than `held`.
    pub fn is_known(&self, index: Index, digest: Digest, held: Version) -> bool {
        let judged = self.judged.as_ref();
        judged.is_some_and(|j| {
            let same = j.index == index && j.digest == digest;
            same && j.version.is_none_or(|version| version >= held)
        })
    }

    /// Begins a turn as reader at once.
    pub fn take_turn(&mut self) {
        if matches!(self.activity, Activity::Idle { .. }) {
            self.idle(None);
        }
    }

    /// Starts to read the parts that a manifest names.
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

    /// Notes good contact with the platform, with news or without.
    pub fn succeed(&mut self, news: bool, duty: Duty, now: Time, rng: &mut fastrand::Rng) {
        self.health.succeed();
        let pause = match duty {
            Duty::Sometimes { period } => jitter(period * 2, rng),
            Duty::Watch { rest } if !rest.is_zero() => jitter(rest * 2, rng),
            _ if news || !self.is_early(now) => {
                self.spin.reset();
                Duration::ZERO
            }
            _ => self.spin.fail(rng),
        };
        self.idle(Some(now + pause));
    }

    fn is_early(&self, now: Time) -> bool {
        matches!(&self.activity, Activity::Reading(r) if now - r.issued < WAIT / 2)
    }

    /// Notes that a read failed or brought something older.
    pub fn fail(
        &mut self,
        failure: ReadFailure,
        duty: Duty,
        others_succeed: bool,
        now: Time,
        rng: &mut fastrand::Rng,
    ) {
        let mut wait = self.health.fail(failure, others_succeed, now, rng);
        if let Duty::Sometimes { period } = duty {
            wait = wait.max(jitter(period * 2, rng));
        }
        self.index = None;
        self.idle(Some(now + wait));
    }

    /// Returns whether a read is one of those under way.
    pub fn is_current(&self, read: ReadId) -> bool {
        match &self.activity {
            Activity::Reading(r) => r.read == read,
            Activity::Parts(parts) => parts.waiting.contains_key(&read),
            _ => false,
        }
    }

    /// Ends a read of the list of VMs if it is the one under way.
    pub fn finish_list(&mut self, read: ReadId) -> bool {
        self.list_read.take_if(|(r, _)| *r == read).is_some()
    }

    /// Forgets calls that a freeze of this node has broken.
    pub fn reset(&mut self, now: Time) {
        self.idle(Some(now));
        self.list_read = None;
        self.index = None;
    }

    fn idle(&mut self, not_before: Option<Time>) {
        self.activity = Activity::Idle { not_before };
    }

    /// Returns when the reader wants to act again.
    pub fn due(&self) -> Option<Time> {
        match &self.activity {
            Activity::Idle { not_before } => *not_before,
            Activity::Reading(r) => Some(r.deadline),
            Activity::Parts(parts) => Some(parts.deadline),
            Activity::Judging { since, .. } => Some(*since + JUDGING_TIMEOUT),
        }
    }

    /// Returns the index that was read last.
    pub const fn index(&self) -> Option<Index> {
        self.index
    }
}
