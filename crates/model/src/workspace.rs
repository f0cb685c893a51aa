//! Workspaces: groups of callers with common keys, a priority and a quota.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use crate::Digest;
use crate::Error;
use crate::Priority;
use crate::Rate;
use crate::Result;
use crate::WorkspaceName;

/// Group of callers that share keys, a priority and a quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Digests of the keys that its callers send.
    pub keys: BTreeSet<KeyDigest>,
    /// Priority of its requests, which is compared before that of their kinds.
    pub priority: Priority,
    /// Limit on its requests, for all nodes together; absent for no limit.
    pub quota: Option<Quota>,
}

/// Limit on the requests of a workspace, for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Quota {
    /// Requests per second in the long run.
    pub rate: Rate,
    /// Number of requests that may come at once beyond the rate.
    pub burst: u64,
}

/// SHA-256 digest of a caller's key. Keys themselves are not kept.
///
/// `Display` prints only the first eight hexadecimal digits, the fingerprint of the key.
///
/// # Example
///
/// ```
/// use celeryshore_model::KeyDigest;
///
/// let digest = KeyDigest::of(b"abc");
/// assert_eq!(digest.to_string(), "ba7816bf");
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Digest::of(key))
    }
}

impl FromStr for KeyDigest {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        s.parse().map(Self)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0.short())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: serde::Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}
