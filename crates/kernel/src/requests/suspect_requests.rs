//! Requests that may crash the targets that run them, and their quarantine.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Digest;
use celeryshore_model::Time;
use celeryshore_model::VmName;

/// Number of crashed VMs at which a request is quarantined.
pub(super) const POISON_THRESHOLD: usize = 2;
/// Duration of the first quarantine of a request.
const MIN_QUARANTINE: Duration = Duration::from_secs(30);
/// Maximum duration of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_mins(10);
/// Age at which an entry may be removed when the table is full.
const RETENTION: Duration = Duration::from_mins(20);
/// Maximum number of suspect requests.
const MAX_ENTRIES: usize = 4_096;

/// Requests that were in flight when targets crashed, by their digests.
///
/// A request that only ran at the same time as the one that crashed the target is
/// cleared by its next response. Until then it isn't quarantined, unless it was in
/// flight at two crashes.
#[derive(Debug, Default)]
pub(super) struct SuspectRequests {
    entries: BTreeMap<Digest, SuspectRequest>,
}

#[derive(Debug)]
struct SuspectRequest {
    crashed_vms: Vec<VmName>,
    /// When the latest crash was recorded or the latest copy was let through.
    since: Time,
    quarantine: Duration,
}

impl SuspectRequests {
    /// Returns the number of suspect requests.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the VMs that crashed while they ran a request.
    pub(super) fn crashed_vms(&self, fingerprint: &Digest) -> Vec<VmName> {
        self.entries
            .get(fingerprint)
            .map_or_else(Vec::new, |s| s.crashed_vms.clone())
    }

    /// Records VMs that crashed while they ran a request. Returns `true` if any of them
    /// is new.
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

    /// Clears a request after a response.
    pub(super) fn clear(&mut self, fingerprint: &Digest) {
        self.entries.remove(fingerprint);
    }

    /// Returns the time left in the quarantine of a request, if it is in one.
    ///
    /// When the quarantine has ended, one copy may run and a quarantine of twice the
    /// duration begins.
    pub(super) fn check_quarantine(&mut self, now: Time, fingerprint: &Digest) -> Option<Duration> {
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
