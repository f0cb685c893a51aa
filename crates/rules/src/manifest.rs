//! Rules texts that are published in parts.
//!
//! The platform stores values of up to a megabyte. A larger text is published
//! in parts, and the main value is then a manifest that lists the keys and
//! digests of the parts. The key of a part contains its digest, so publishing a
//! new text never overwrites a part of the text in effect. The manifest is
//! published last.

use std::str::FromStr;

use bytes::Bytes;
use celeryshore_model::Digest;

use crate::Category;
use crate::Error;
use crate::Problem;
use crate::Result;
use crate::line;
use crate::line::Line;

/// Largest complete text that is accepted, in bytes.
pub const MAX_TEXT_BYTES: usize = 8 * 1_024 * 1_024;

/// Maximum part size for [`split`], in bytes. The platform stores values of up
/// to a megabyte.
pub const MAX_PART_BYTES: usize = 900_000;

const MAX_PARTS: usize = 64;
const KEYWORD: &str = "part";
const EXPECTED_LINE: &str = "`part KEY DIGEST`";

/// Part of a text, as listed in a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Key under which the platform stores the part.
    pub key: String,
    /// Digest of the part's content.
    pub digest: Digest,
}

/// List of the parts of a text, in order.
///
/// # Example
///
/// ```
/// use celeryshore_rules::Manifest;
///
/// let text = "epoch 1  # ops\nzone perth region=scotland  # ops\n";
/// let split = celeryshore_rules::split(text.as_bytes(), 20, "ops");
/// let manifest = Manifest::from_slice(&split.manifest).unwrap()?;
/// let parts: Vec<_> = split.parts.iter().map(|(_, part)| part.clone()).collect();
/// assert_eq!(manifest.parts().len(), 2);
/// assert_eq!(manifest.join(&parts)?, text);
/// assert!(Manifest::from_slice(text.as_bytes()).is_none());
/// # Ok::<(), celeryshore_rules::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    parts: Vec<Part>,
}

impl Manifest {
    /// Parses a manifest. Returns `None` for any other value, such as a rules
    /// text: the keyword of the first rule must be `part`.
    #[must_use]
    pub fn from_slice(value: &[u8]) -> Option<Result<Self>> {
        let first = value.split(|b| *b == b'\n').map(<[u8]>::trim_ascii_start);
        let mut first = first.filter(|line| !line.is_empty() && !line.starts_with(b"#"));
        let rest = first.next()?.strip_prefix(KEYWORD.as_bytes())?;
        let is_keyword = rest.first().is_none_or(u8::is_ascii_whitespace);
        is_keyword
            .then(|| std::str::from_utf8(value).map_or_else(|_| Err(invalid_utf8()), str::parse))
    }

    /// Returns the parts in order.
    #[must_use]
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Joins the values of the parts, given in order, to the complete text.
    ///
    /// # Errors
    ///
    /// Fails if a part is missing or doesn't match its digest, or if the text
    /// exceeds [`MAX_TEXT_BYTES`].
    pub fn join(&self, values: &[Bytes]) -> Result<Bytes> {
        let digests = values.iter().map(|value| Digest::of(value));
        if !digests.eq(self.parts.iter().map(|part| part.digest)) {
            let expected = "every part with the digest in the manifest";
            return Err(Error::new(Category::Manifest, expected));
        }
        if values.iter().map(Bytes::len).sum::<usize>() > MAX_TEXT_BYTES {
            return Err(Error::new(Category::Manifest, "a text of at most 8 MiB"));
        }
        Ok(values.concat().into())
    }
}

fn invalid_utf8() -> Error {
    Error::new(Category::Manifest, "UTF-8")
}

impl FromStr for Manifest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut problems = Vec::new();
        let mut parts = Vec::new();
        for (i, text) in text.lines().enumerate() {
            if let Some(line) = line::parse(i + 1, text, &mut problems) {
                parts.extend(parse_part(&line, &mut problems));
            }
        }
        if !problems.is_empty() {
            return Err(Error::manifest(problems));
        }
        if parts.len() > MAX_PARTS {
            return Err(Error::new(Category::Manifest, "at most 64 parts"));
        }
        Ok(Self { parts })
    }
}

fn parse_part(line: &Line<'_>, problems: &mut Vec<Problem>) -> Option<Part> {
    let words: Vec<_> = line.arguments().collect();
    if line.keyword.text != KEYWORD || words.len() != 2 || line.items.len() != 2 {
        let found = format!("{:?}", line.keyword.text);
        problems.push(Problem::new(line.keyword.location, EXPECTED_LINE, found));
        return None;
    }
    let Ok(digest) = words[1].text.parse() else {
        let found = format!("{:?}", words[1].text);
        let problem = Problem::new(
            words[1].location,
            "a digest of 64 hexadecimal digits",
            found,
        );
        problems.push(problem);
        return None;
    };
    Some(Part {
        key: words[0].text.to_owned(),
        digest,
    })
}

/// Text split into parts for publishing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitText {
    /// Main value, to be published after all parts.
    pub manifest: Bytes,
    /// Keys and values of the parts, in order.
    pub parts: Vec<(String, Bytes)>,
}

/// Splits a text at line ends into parts of at most `max_part_bytes` each. A
/// longer line becomes a part of its own. Each line of the manifest names
/// `requester` in its comment.
#[must_use]
pub fn split(text: &[u8], max_part_bytes: usize, requester: &str) -> SplitText {
    let mut parts = Vec::new();
    let mut part: Vec<u8> = Vec::new();
    for line in text.split_inclusive(|b| *b == b'\n') {
        if !part.is_empty() && part.len() + line.len() > max_part_bytes {
            parts.push(std::mem::take(&mut part));
        }
        part.extend(line);
    }
    parts.push(part);
    let parts: Vec<_> = parts.into_iter().map(with_key).collect();
    let manifest: String = parts
        .iter()
        .map(|part| manifest_line(part, requester))
        .collect();
    SplitText {
        manifest: manifest.into(),
        parts,
    }
}

fn with_key(part: Vec<u8>) -> (String, Bytes) {
    (format!("part-{}", Digest::of(&part)), part.into())
}

fn manifest_line((key, value): &(String, Bytes), requester: &str) -> String {
    format!("{KEYWORD} {key} {}  # {requester}\n", Digest::of(value))
}
