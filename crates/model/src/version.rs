//! Versions of the configuration and incarnations of processes.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use serde::Serialize;

use crate::Category;
use crate::Digest;
use crate::Error;
use crate::Result;

/// Generation of the platform's data, set by operators in the rules file.
///
/// Operators increase it after the platform was restored from a backup, because its
/// index may then restart at a lower number.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Epoch(pub u64);

/// Modification index that the platform assigned to a value.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Index(pub u64);

/// Version of the configuration.
///
/// Versions are totally ordered by epoch, then index, then digest, so that all nodes
/// agree on the newer of two versions without coordination.
///
/// # Example
///
/// ```
/// use celeryshore_model::Digest;
/// use celeryshore_model::Epoch;
/// use celeryshore_model::Index;
/// use celeryshore_model::Version;
///
/// let old = Version::new(Epoch(1), Index(40), Digest::of(b"a"));
/// let new = Version::new(Epoch(1), Index(41), Digest::of(b"a"));
/// assert!(new > old);
/// assert_eq!(new.to_string().parse::<Version>()?, new);
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Version {
    /// Generation of the platform's data.
    pub epoch: Epoch,
    /// Modification index of the rules text on the platform.
    pub index: Index,
    /// Digest of the complete rules text.
    pub digest: Digest,
}

impl Version {
    /// Creates a version from its three parts.
    #[must_use]
    pub const fn new(epoch: Epoch, index: Index, digest: Digest) -> Self {
        Self {
            epoch,
            index,
            digest,
        }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.epoch, self.index, self.digest)
    }
}

impl FromStr for Version {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let err = || Error::new(Category::Version, "EPOCH.INDEX.DIGEST", s);
        let mut parts = s.splitn(3, '.');
        let mut next = || parts.next().ok_or_else(err);
        let epoch = next()?.parse().map_err(|_| err())?;
        let index = next()?.parse().map_err(|_| err())?;
        let digest = next()?.parse()?;
        Ok(Self::new(Epoch(epoch), Index(index), digest))
    }
}

/// Identifier of one run of a process, chosen at random when it starts.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);
