//! Index of the workspaces by the digests of their keys.
//!
//! Load pattern: many workspaces, and callers that guess keys. A lookup costs one digest
//! of what the caller sent and one search in a hash table. Its time depends neither on the
//! number of workspaces nor on how much of a wrong key is right.

use std::collections::HashMap;

use celeryshore_model::Dialect;
use celeryshore_model::HttpRequest;
use celeryshore_model::KeyDigest;
use celeryshore_model::Priority;
use celeryshore_model::Snapshot;
use celeryshore_model::WorkspaceName;

/// Longest key that is looked up, in bytes. Longer ones are refused unread.
const MAX_KEY_BYTES: usize = 4_096;

/// Index of the workspaces of one configuration.
#[derive(Debug, Default)]
pub(super) struct Workspaces {
    are_required: bool,
    by_key: HashMap<KeyDigest, WorkspaceName>,
    most_urgent: Priority,
}

impl Workspaces {
    /// Builds the index of a configuration.
    pub(super) fn new(snapshot: &Snapshot) -> Self {
        let all = || snapshot.workspaces.values();
        Self {
            most_urgent: all().map(|w| w.priority).min().unwrap_or_default(),
            are_required: !snapshot.workspaces.is_empty(),
            by_key: all()
                .flat_map(|w| w.keys.iter().map(|key| (*key, w.name.clone())))
                .collect(),
        }
    }

    /// Returns `true` if requests need a key, except on public routes.
    pub(super) const fn are_required(&self) -> bool {
        self.are_required
    }

    /// Returns the priority of the most urgent workspace, or the most urgent priority
    /// without workspaces.
    pub(super) const fn most_urgent(&self) -> Priority {
        self.most_urgent
    }

    /// Returns the workspace of the key that a request carries. There is none if the key
    /// is unknown, missing, empty, too long, or sent more than once.
    pub(super) fn find(&self, dialect: &Dialect, request: &HttpRequest) -> Option<&WorkspaceName> {
        let name = dialect.key.as_ref()?;
        let mut fields = request.headers.iter().filter(|h| h.name == name);
        let key = &fields.next()?.value;
        let is_valid = (1..=MAX_KEY_BYTES).contains(&key.len()) && fields.next().is_none();
        if !is_valid {
            return None;
        }
        self.by_key.get(&KeyDigest::of(key))
    }
}
