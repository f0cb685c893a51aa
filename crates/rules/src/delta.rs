//! Deltas: how to make one text of another.

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

/// Largest encoded delta that is decoded; a larger change travels as a whole text.
pub const MAX_DELTA_BYTES: usize = 1_024 * 1_024;

/// Line edits that make one text of another, with the digests of both.
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

/// One edit; the edits together pass over the base from its first line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Edit {
    /// Take over so many lines of the base.
    #[serde(rename = "k")]
    Keep(usize),
    /// Leave out so many lines of the base.
    #[serde(rename = "s")]
    Skip(usize),
    /// Add these bytes.
    #[serde(rename = "i")]
    Insert(#[serde(serialize_with = "serialize_text")] Bytes),
}

impl Delta {
    /// Computes a delta, in about linear time.
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

    /// Returns the digest of the text that the delta makes.
    #[must_use]
    pub fn result(&self) -> Digest {
        self.result
    }

    /// Makes the result of the base, and proves it by its digest.
    ///
    /// # Errors
    ///
    /// Fails if `base` is another text than the delta was made for, or if the
    /// edits do not give the text that they should.
    pub fn apply(&self, base: &[u8]) -> Result<Bytes> {
        if Digest::of(base) != self.base {
            return Err(Error::new(Category::Delta, "the base of this delta"));
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
                "a result with the digest named",
            ));
        }
        Ok(result.into())
    }

    /// Encodes the delta.
    ///
    /// # Panics
    ///
    /// Never: each part of a delta has an encoding.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a delta has no maps and no fallible parts")
    }

    /// Decodes a delta.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an encoded delta, or more than
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

/// Text takes less room than a list of numbers.
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
