//! SHA-256 digests of rules texts and requests.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use crate::Category;
use crate::Error;
use crate::Result;

const DIGEST_BYTES: usize = 32;
const SHORT_BYTES: usize = 4;

/// SHA-256 digest of a byte string.
///
/// `Debug` prints only the first eight hexadecimal digits.
///
/// # Example
///
/// ```
/// use celeryshore_model::Digest;
///
/// let digest = Digest::of(b"abc");
/// assert_eq!(digest.to_string().parse::<Digest>()?, digest);
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Creates a digest from its 32 bytes, as received from another process.
    ///
    /// # Errors
    ///
    /// Fails if the length is not 32 bytes.
    pub fn from_slice(bytes: &[u8]) -> Result<Self> {
        let bytes = bytes
            .try_into()
            .map_err(|_| Error::new(Category::Version, "32 bytes", "wrong length"))?;
        Ok(Self(bytes))
    }

    /// Returns the 32 bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// Returns the first eight hexadecimal digits, for display.
    #[must_use]
    pub fn short(&self) -> String {
        hex(&self.0[..SHORT_BYTES])
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, b| {
        text.push(nibble(b >> 4));
        text.push(nibble(b & 0x0f));
        text
    })
}

fn nibble(n: u8) -> char {
    char::from_digit(n.into(), 16).unwrap_or('?')
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let err = || Error::new(Category::Version, "64 hexadecimal digits", s);
        if s.len() != 2 * DIGEST_BYTES || !s.is_ascii() {
            return Err(err());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let pair = &s[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| err())?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex(&self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.short())
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}
