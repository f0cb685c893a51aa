//! Fake of the platform's key-value store.

use std::collections::BTreeMap;

use bytes::Bytes;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::VmName;

/// Fake of the platform's key-value store.
#[derive(Debug, Default)]
pub struct FakeSource {
    pub index: Index,
    pub value: Bytes,
    /// Parts of a text that is published in parts, by key.
    pub parts: BTreeMap<String, Bytes>,
    /// VMs that the platform lists as leaving.
    pub leaving_vms: Vec<VmName>,
    pub is_down: bool,
    /// Times of the calls.
    pub calls: Vec<Time>,
}

impl FakeSource {
    pub fn publish(&mut self, value: Bytes) {
        self.index.0 += 1;
        self.value = value;
    }

    /// Publishes a text in parts of at most `max_part_bytes`.
    pub fn publish_parts(&mut self, text: &[u8], max_part_bytes: usize) {
        let split = celeryshore_rules::split(text, max_part_bytes, "operations");
        self.parts.extend(split.parts);
        self.publish(split.manifest);
    }

    /// Returns the number of calls from `from` until before `to`.
    pub fn calls_between(&self, from: Time, to: Time) -> usize {
        self.calls
            .iter()
            .filter(|t| **t >= from && **t < to)
            .count()
    }
}
