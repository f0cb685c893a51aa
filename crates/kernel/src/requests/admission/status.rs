//! Summary of the work at the own target.

use std::collections::BTreeMap;

use celeryshore_model::ByteSize;
use celeryshore_model::Time;

use super::Admitting;
use crate::KindCounts;
use crate::LoadReport;

/// Summary of the work at the own target.
#[derive(Clone, Copy, Debug)]
pub(in crate::requests) struct AdmittingStatus {
    /// Load of the target.
    pub(in crate::requests) load: LoadReport,
    /// Requests that wait for a slot.
    pub(in crate::requests) queue: usize,
    /// Keyed copies that are being judged.
    pub(in crate::requests) judgements: usize,
    /// Those who wait for the end of a keyed copy.
    pub(in crate::requests) waiters: usize,
    /// Keys that are remembered.
    pub(in crate::requests) keys: usize,
    /// Answers that are remembered.
    pub(in crate::requests) answers: ByteSize,
}

impl Admitting {
    /// Returns what became of the requests for the own target, by kind.
    pub(in crate::requests) fn kind_counts(&self) -> BTreeMap<String, KindCounts> {
        let counts = self.tally.counts().iter();
        counts
            .map(|(kind, c)| (kind.to_string(), c.clone()))
            .collect()
    }

    /// Returns a summary.
    pub(in crate::requests) fn status(&self, now: Time) -> AdmittingStatus {
        AdmittingStatus {
            load: self.admission.load(now),
            queue: self.admission.queue().count(),
            judgements: self.judgements.len(),
            waiters: self.waiters.len(),
            keys: self.journal.len(),
            answers: self.journal.response_size(),
        }
    }
}
