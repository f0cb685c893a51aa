//! Nodes that inquired about a key and aren't listed as upstreams here.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::RequestKey;
use celeryshore_model::Time;
use celeryshore_model::VmName;

/// Time for which an inquiring node is remembered.
const RETENTION: Duration = Duration::from_mins(10);

/// Inquiring nodes that this node's configuration doesn't list, by key.
///
/// A node that skips a version never learns of an upstream that only this version
/// listed. If such an upstream has checked a key, any other duplicate check of the key
/// is incomplete without it.
#[derive(Debug, Default)]
pub(super) struct UnlistedInquirers {
    by_key: BTreeMap<RequestKey, Vec<VmName>>,
    by_age: VecDeque<(Time, RequestKey)>,
}

impl UnlistedInquirers {
    /// Records that an unlisted node inquires about a key.
    pub(super) fn record(&mut self, now: Time, key: &RequestKey, inquirer: &VmName) {
        self.expire(now);
        let inquirers = self.by_key.entry(key.clone()).or_default();
        if !inquirers.contains(inquirer) {
            inquirers.push(inquirer.clone());
        }
        self.by_age.push_back((now, key.clone()));
    }

    /// Returns `true` if an unlisted node other than `inquirer` has inquired about a key.
    pub(super) fn has_other(&self, key: &RequestKey, inquirer: &VmName) -> bool {
        let inquirers = self.by_key.get(key);
        inquirers.is_some_and(|inquirers| inquirers.iter().any(|vm| vm != inquirer))
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, _)) = self.by_age.front() {
            if now - *at <= RETENTION {
                return;
            }
            let oldest = self.by_age.pop_front();
            oldest.and_then(|(_, key)| self.by_key.remove(&key));
        }
    }
}
