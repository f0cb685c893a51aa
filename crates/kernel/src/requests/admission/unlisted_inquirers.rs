//! Judging nodes that this node's list of upstreams does not have.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::RequestKey;
use celeryshore_model::Time;
use celeryshore_model::VmName;

/// Time for which a judging node is remembered.
const HORIZON: Duration = Duration::from_mins(10);

/// Judging nodes that are unknown here, by the key that they judged.
///
/// A node that skips a version never learns of an upstream that only this
/// version had. If such an upstream judged a key, no other judgement of the
/// key is complete without it.
#[derive(Debug, Default)]
pub(super) struct Strangers {
    by_key: BTreeMap<RequestKey, Vec<VmName>>,
    by_age: VecDeque<(Time, RequestKey)>,
}

impl Strangers {
    /// Records that an unknown node judges a key.
    pub(super) fn record(&mut self, now: Time, key: &RequestKey, judge: &VmName) {
        self.expire(now);
        let judges = self.by_key.entry(key.clone()).or_default();
        if !judges.contains(judge) {
            judges.push(judge.clone());
        }
        self.by_age.push_back((now, key.clone()));
    }

    /// Tells whether an unknown node other than `judge` has judged a key.
    pub(super) fn have_judged(&self, key: &RequestKey, judge: &VmName) -> bool {
        let judges = self.by_key.get(key);
        judges.is_some_and(|judges| judges.iter().any(|vm| vm != judge))
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, _)) = self.by_age.front() {
            if now - *at <= HORIZON {
                return;
            }
            let oldest = self.by_age.pop_front();
            oldest.and_then(|(_, key)| self.by_key.remove(&key));
        }
    }
}
