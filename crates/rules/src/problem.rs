//! Problems in a text, each with its location.

use std::fmt;

use derive_more::Display;
use serde::Serialize;

/// Line and column in a text, both starting at 1.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{line}:{column}")]
pub struct Location {
    /// Line number.
    pub line: usize,
    /// Column number, in bytes.
    pub column: usize,
}

/// One problem in a rules text or a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Start of the problem in the text.
    #[serde(rename = "place")]
    pub location: Location,
    /// Description of valid input.
    pub expected: String,
    /// Actual input.
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
