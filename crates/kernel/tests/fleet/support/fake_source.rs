//! A stand-in for the platform's key-value store.

use std::collections::BTreeMap;

use bytes::Bytes;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::VmName;

/// A stand-in for the platform's key-value store.
#[derive(Debug, Default)]
pub struct FakeSource {
    pub index: Index,
    pub value: Bytes,
    pub parts: BTreeMap<String, Bytes>,
    pub leaving: Vec<VmName>,
    pub down: bool,
    /// When calls came, one entry a call.
    pub calls: Vec<Time>,
}

impl FakeSource {
    pub fn publish(&mut self, value: Bytes) {
        self.index.0 += 1;
        self.value = value;
    }

    /// Publishes a text in parts.
    pub fn publish_parts(&mut self, text: &[u8], bound: usize) {
        let split = celeryshore_rules::split(text, bound, "operations");
        self.parts.extend(split.parts);
        self.publish(split.manifest);
    }

    /// Returns the calls within a span of time.
    pub fn calls_between(&self, from: Time, to: Time) -> usize {
        self.calls
            .iter()
            .filter(|t| **t >= from && **t < to)
            .count()
    }
}
