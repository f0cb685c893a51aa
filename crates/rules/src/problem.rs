//! Faults in a rules text, each with its location.

use std::fmt;

use derive_more::Display;
use serde::Serialize;

/// Line and column in a text, both counted from 1; columns count bytes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{line}:{column}")]
pub struct Location {
    /// Number of the line.
    pub line: usize,
    /// Number of the byte in the line.
    pub column: usize,
}

/// One fault in a rules text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Start of the problem in the text.
    #[serde(rename = "place")]
    pub location: Location,
    /// What would have been accepted.
    pub expected: String,
    /// What stands there.
    pub found: String,
}

impl Problem {
    pub(crate) fn new(
        location: Location,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) -> Self {
        Self {
            location,
            expected: expected.into(),
            found: found.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            location,
            expected,
            found,
        } = self;
        write!(f, "{location}: expected {expected}, found {found}")
    }
}
