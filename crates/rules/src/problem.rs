//! Faults in a rules text, each with its place.

use std::fmt;

use derive_more::Display;
use serde::Serialize;

/// Line and column in a text, both counted from 1; columns count bytes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{line}:{column}")]
pub struct Place {
    /// Number of the line.
    pub line: usize,
    /// Number of the byte in the line.
    pub column: usize,
}

/// One fault in a rules text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Where it is.
    pub place: Place,
    /// What would have been accepted.
    pub expected: String,
    /// What stands there.
    pub found: String,
}

impl Problem {
    pub(crate) fn new(place: Place, expected: impl Into<String>, found: impl Into<String>) -> Self {
        Self {
            place,
            expected: expected.into(),
            found: found.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            place,
            expected,
            found,
        } = self;
        write!(f, "{place}: expected {expected}, found {found}")
    }
}
