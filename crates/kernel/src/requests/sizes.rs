//! Usual sizes of responses by request kind.

use std::collections::BTreeMap;

use celeryshore_model::ByteSize;
use celeryshore_model::HttpResponse;
use celeryshore_model::KindId;

/// Inverse weight of the latest response in the moving average.
const SMOOTHING: u64 = 8;
/// Maximum number of kinds whose sizes are kept.
const MAX_KINDS: usize = 4_096;

/// Exponentially weighted averages of the sizes of response bodies by request kind.
#[derive(Debug, Default)]
pub(super) struct ResponseSizes {
    averages: BTreeMap<KindId, ByteSize>,
}

impl ResponseSizes {
    /// Updates the average of a kind with the size of a response.
    pub(super) fn observe(&mut self, kind: &KindId, size: ByteSize) {
        if let Some(average) = self.averages.get_mut(kind) {
            let sum = average.get().saturating_mul(SMOOTHING - 1) + size.get();
            *average = ByteSize::new(sum / SMOOTHING);
        } else if self.averages.len() < MAX_KINDS {
            self.averages.insert(kind.clone(), size);
        }
    }

    /// Returns the average of a kind, or `None` before its first response.
    pub(super) fn get(&self, kind: &KindId) -> Option<ByteSize> {
        self.averages.get(kind).copied()
    }
}

/// Returns the size of a response's body.
pub(super) fn body_size(response: &HttpResponse) -> ByteSize {
    ByteSize::new(response.body.len() as u64)
}
