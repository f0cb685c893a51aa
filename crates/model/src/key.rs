//! Idempotency keys.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use serde::Serialize;
use uuid::Uuid;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::WallTime;

const MAX_KEY_BYTES: usize = 128;
const UUID_VERSION_7: usize = 7;

/// Key by which a caller identifies one operation, however often it is sent.
///
/// A key that is a UUID of version 7 carries its creation time. Other keys do not.
///
/// # Example
///
/// ```
/// use celeryshore_model::RequestKey;
/// use celeryshore_model::WallTime;
///
/// let key: RequestKey = "01890a5d-ac96-774b-bcce-b302099a8057".parse()?;
/// assert_eq!(key.created(), Some(WallTime::from_millis(1_688_096_058_518)));
/// assert_eq!("order-17".parse::<RequestKey>()?.created(), None);
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey(Bytes);

impl RequestKey {
    /// Returns the key as the caller sent it.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the creation time of a key that is a UUID of version 7.
    #[must_use]
    pub fn created(&self) -> Option<WallTime> {
        let uuid = Uuid::try_parse_ascii(&self.0).ok()?;
        if uuid.get_version_num() != UUID_VERSION_7 {
            return None;
        }
        let (secs, nanos) = uuid.get_timestamp()?.to_unix();
        let millis = secs * 1_000 + u64::from(nanos) / 1_000_000;
        Some(WallTime::from_millis(millis))
    }
}

impl FromStr for RequestKey {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let printable = s.bytes().all(|b| b.is_ascii_graphic());
        if s.is_empty() || s.len() > MAX_KEY_BYTES || !printable {
            return Err(Error::new(
                Category::Key,
                "1 to 128 printable ASCII characters without spaces",
                s,
            ));
        }
        Ok(Self(Bytes::copy_from_slice(s.as_bytes())))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&String::from_utf8_lossy(&self.0))
    }
}

impl fmt::Debug for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl Serialize for RequestKey {
    fn serialize<S: serde::Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}
