//! Deltas between two versions of a text.

use bytes::Bytes;
use celeryshore_model::Digest;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::manifest::MAX_TEXT_BYTES;
use crate::patience::common_runs;

/// Largest encoded delta that is accepted, in bytes. A larger change is sent as
/// a complete text.
pub const MAX_DELTA_BYTES: usize = 1_024 * 1_024;

/// Line edits that turn a base text into a result, with the digests of both.
///
/// # Example
///
/// ```
/// use celeryshore_rules::Delta;
///
/// let base = b"epoch 1  # ops\nout zone=perth  # ops\n";
/// let result = b"epoch 1  # ops\n";
/// let delta = Delta::from_slice(&Delta::between(base, result).to_vec())?;
/// assert_eq!(delta.apply(base)?, result[..]);
/// assert!(delta.apply(result).is_err());
/// # Ok::<(), celeryshore_rules::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    #[serde(deserialize_with = "deserialize_digest")]
    base: Digest,
    #[serde(deserialize_with = "deserialize_digest")]
    result: Digest,
    edits: Vec<Edit>,
}

/// One step of a delta. The steps consume the lines of the base in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Edit {
    /// Copies this many lines of the base.
    #[serde(rename = "k")]
    Keep(usize),
    /// Omits this many lines of the base.
    #[serde(rename = "s")]
    Skip(usize),
    /// Appends these bytes.
    #[serde(rename = "i")]
    Insert(#[serde(serialize_with = "serialize_text")] Bytes),
}

impl Delta {
    /// Computes the delta from `base` to `result`, in roughly linear time.
    #[must_use]
    pub fn between(base: &[u8], result: &[u8]) -> Self {
        Self {
            base: Digest::of(base),
            result: Digest::of(result),
            edits: compute_edits(&split_lines(base), &split_lines(result)),
        }
    }

    /// Returns the digest of the text that the delta applies to.
    #[must_use]
    pub fn base(&self) -> Digest {
        self.base
    }

    /// Returns the digest of the text that the delta produces.
    #[must_use]
    pub fn result(&self) -> Digest {
        self.result
    }

    /// Applies the delta to the base and verifies the digest of the result.
    ///
    /// # Errors
    ///
    /// Fails if `base` isn't the text that the delta was computed from, if the
    /// result exceeds [`MAX_TEXT_BYTES`], or if its digest doesn't match.
    pub fn apply(&self, base: &[u8]) -> Result<Bytes> {
        if Digest::of(base) != self.base {
            return Err(Error::new(
                Category::Delta,
                "a base with the digest in the delta",
            ));
        }
        let mut lines = base.split_inclusive(|b| *b == b'\n');
        let mut result = Vec::with_capacity(base.len());
        for edit in &self.edits {
            match edit {
                Edit::Keep(count) => lines.by_ref().take(*count).for_each(|l| result.extend(l)),
                Edit::Skip(count) => lines.by_ref().take(*count).for_each(drop),
                Edit::Insert(text) => result.extend(text),
            }
            if result.len() > MAX_TEXT_BYTES {
                return Err(Error::new(Category::Delta, "a result of at most 8 MiB"));
            }
        }
        if Digest::of(&result) != self.result {
            return Err(Error::new(
                Category::Delta,
                "a result with the digest in the delta",
            ));
        }
        Ok(result.into())
    }

    /// Encodes the delta as JSON.
    ///
    /// # Panics
    ///
    /// Never panics: every field can be encoded.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a delta has no maps and no fallible fields")
    }

    /// Decodes a delta from JSON.
    ///
    /// # Errors
    ///
    /// Fails if the bytes aren't an encoded delta or exceed
    /// [`MAX_DELTA_BYTES`].
    pub fn from_slice(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_DELTA_BYTES {
            return Err(Error::new(Category::Delta, "a delta of at most 1 MiB"));
        }
        serde_json::from_slice(bytes).map_err(|_| Error::new(Category::Delta, "an encoded delta"))
    }
}

fn deserialize_digest<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<Digest, D::Error> {
    let text = String::deserialize(d)?;
    text.parse().map_err(de::Error::custom)
}

/// Serializes valid UTF-8 as a string, which is shorter than a list of numbers.
fn serialize_text<S: Serializer>(bytes: &Bytes, s: S) -> std::result::Result<S::Ok, S::Error> {
    match std::str::from_utf8(bytes) {
        Ok(text) => s.serialize_str(text),
        Err(_) => s.serialize_bytes(bytes),
    }
}

fn split_lines(text: &[u8]) -> Vec<&[u8]> {
    text.split_inclusive(|b| *b == b'\n').collect()
}

fn compute_edits(base: &[&[u8]], result: &[&[u8]]) -> Vec<Edit> {
    let mut edits = Vec::new();
    let (mut from, mut to) = (0, 0);
    for common in common_runs(base, result) {
        push_skip(&mut edits, common.base - from);
        push_insert(&mut edits, &result[to..common.result]);
        push_keep(&mut edits, common.lines);
        from = common.base + common.lines;
        to = common.result + common.lines;
    }
    push_skip(&mut edits, base.len() - from);
    push_insert(&mut edits, &result[to..]);
    edits
}

fn push_skip(edits: &mut Vec<Edit>, lines: usize) {
    if lines > 0 {
        edits.push(Edit::Skip(lines));
    }
}

fn push_insert(edits: &mut Vec<Edit>, lines: &[&[u8]]) {
    if !lines.is_empty() {
        edits.push(Edit::Insert(lines.concat().into()));
    }
}

fn push_keep(edits: &mut Vec<Edit>, lines: usize) {
    if let Some(Edit::Keep(count)) = edits.last_mut() {
        *count += lines;
    } else if lines > 0 {
        edits.push(Edit::Keep(lines));
    }
}
