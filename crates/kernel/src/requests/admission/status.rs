//! Summary of the requests at the local target.

use std::collections::BTreeMap;

use celeryshore_model::ByteSize;
use celeryshore_model::Time;

use super::Admission;
use super::shares::KindShare;
use super::urgent_slots::KindSlots;
use crate::KindCounts;
use crate::LoadReport;

/// Summary of the requests at the local target.
#[derive(Clone, Copy, Debug)]
pub(in crate::requests) struct AdmissionStatus {
    /// Load of the target.
    pub(in crate::requests) load: LoadReport,
    /// Responses whose rate limit could not be read.
    pub(in crate::requests) unreadable_limits: u64,
    /// Requests in the queue.
    pub(in crate::requests) queue: usize,
    /// Requests that didn't start at once though a slot was free.
    pub(in crate::requests) held_requests: u64,
    /// Keyed requests that are being checked for duplicates.
    pub(in crate::requests) duplicate_checks: usize,
    /// Copies and inquiring nodes that wait for a running copy.
    pub(in crate::requests) waiters: usize,
    /// Keys in the journal.
    pub(in crate::requests) keys: usize,
    /// Total size of the responses in the journal.
    pub(in crate::requests) response_size: ByteSize,
}

impl Admission {
    /// Returns the counts of the requests for the local target, by kind.
    pub(in crate::requests) fn kind_counts(&self) -> BTreeMap<String, KindCounts> {
        let counts = self.kind_stats.counts().iter();
        counts
            .map(|(kind, c)| (kind.to_string(), c.clone()))
            .collect()
    }

    /// Returns the measured load of each kind, and the slots that it leaves to more urgent
    /// kinds.
    pub(in crate::requests) fn kind_slots(&self, now: Time) -> BTreeMap<String, KindSlots> {
        self.scheduler.kind_slots(now)
    }

    /// Returns the credit of each kind for starts regardless of rank.
    pub(in crate::requests) fn kind_shares(&self, now: Time) -> BTreeMap<String, KindShare> {
        self.scheduler.kind_shares(now)
    }

    pub(in crate::requests) fn status(&self, now: Time) -> AdmissionStatus {
        AdmissionStatus {
            load: self.scheduler.load(now),
            unreadable_limits: self.unreadable_limits,
            queue: self.scheduler.queue().count(),
            held_requests: self.kind_stats.counts().values().map(|c| c.held).sum(),
            duplicate_checks: self.duplicate_checks.len(),
            waiters: self.waiters.len(),
            keys: self.journal.len(),
            response_size: self.journal.response_size(),
        }
    }
}
