//! Requests that may crash the targets that run them.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Digest;
use celeryshore_model::Time;
use celeryshore_model::VmName;

/// Losses after which a request is held off.
pub(super) const POISON_THRESHOLD: usize = 2;
/// First time for which a request is held off.
const MIN_QUARANTINE: Duration = Duration::from_secs(30);
/// Longest time for which a request is held off.
const MAX_QUARANTINE: Duration = Duration::from_mins(10);
/// Time after which a loss is forgotten.
const RETENTION: Duration = Duration::from_mins(20);
/// Requests that are suspected at one time.
const MAX_ENTRIES: usize = 4_096;

/// Requests that were in flight when targets were lost, by their digests.
///
/// A request that was merely beside the one that crashed the target clears
/// itself by its next answer; before that, it is not held off unless it was in
/// flight at two losses.
#[derive(Debug, Default)]
pub(super) struct SuspectRequests {
    entries: BTreeMap<Digest, SuspectRequest>,
}

#[derive(Debug)]
struct SuspectRequest {
    crashed_vms: Vec<VmName>,
    since: Time,
    quarantine: Duration,
}

impl SuspectRequests {
    /// Returns how many requests are suspected.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the VMs that were lost while they ran a request.
    pub(super) fn crashed_vms(&self, fingerprint: &Digest) -> Vec<VmName> {
        self.entries
            .get(fingerprint)
            .map_or_else(Vec::new, |s| s.crashed_vms.clone())
    }

    /// Records VMs that were lost while they ran a request; tells whether one
    /// of them was not known.
    pub(super) fn record(&mut self, now: Time, fingerprint: Digest, vms: &[VmName]) -> bool {
        let known = self.entries.get(&fingerprint);
        let is_known = |vm| known.is_some_and(|s| s.crashed_vms.contains(vm));
        if vms.iter().all(is_known) {
            return false;
        }
        self.make_room(now);
        let entry = self.entries.entry(fingerprint).or_insert(SuspectRequest {
            crashed_vms: Vec::new(),
            since: now,
            quarantine: MIN_QUARANTINE,
        });
        entry.since = now;
        for vm in vms {
            if !entry.crashed_vms.contains(vm) {
                entry.crashed_vms.push(vm.clone());
            }
        }
        true
    }

    /// Clears a request that was answered.
    pub(super) fn clear(&mut self, fingerprint: &Digest) {
        self.entries.remove(fingerprint);
    }

    /// Returns for how long a request is still held off, if it is.
    ///
    /// When the time is over, one copy is let through and the next time is
    /// twice as long.
    pub(super) fn quarantine_left(&mut self, now: Time, fingerprint: &Digest) -> Option<Duration> {
        let entry = self.entries.get_mut(fingerprint)?;
        if entry.crashed_vms.len() < POISON_THRESHOLD {
            return None;
        }
        let end = entry.since + entry.quarantine;
        if now < end {
            return Some(end - now);
        }
        entry.since = now;
        entry.quarantine = (entry.quarantine * 2).min(MAX_QUARANTINE);
        None
    }

    fn make_room(&mut self, now: Time) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, s| now - s.since < RETENTION);
        }
        if self.entries.len() >= MAX_ENTRIES {
            let oldest = self.entries.iter().min_by_key(|(_, s)| s.since);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|fingerprint| self.entries.remove(&fingerprint));
        }
    }
}
