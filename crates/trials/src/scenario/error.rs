//! Error type of the scenarios.

use std::fmt;

/// Result of parsing or running a scenario.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a scenario that cannot be parsed, or whose run failed.
///
/// # Example
///
/// ```
/// use celeryshore_trials::scenario::Category;
/// use celeryshore_trials::scenario::Scenario;
///
/// let err = "nodes many".parse::<Scenario>().unwrap_err();
/// assert_eq!(err.classify(), Category::Syntax);
/// assert_eq!(err.line(), 1);
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Clone, PartialEq, Eq)]
struct Inner {
    category: Category,
    line: usize,
    expected: String,
    found: String,
}

/// Cause of a scenario's failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Category {
    /// A line is not a valid statement.
    #[display("syntax")]
    Syntax,
    /// A statement refers to a node, place, text, request or time that does not
    /// exist.
    #[display("reference")]
    Reference,
    /// An `expect` statement does not hold.
    #[display("expectation")]
    Expectation,
    /// An invariant was violated; see [`Violation`](super::Violation).
    #[display("violation")]
    Violation,
}

impl Error {
    pub(crate) fn new(
        category: Category,
        line: usize,
        expected: impl fmt::Display,
        found: impl fmt::Display,
    ) -> Self {
        let inner = Inner {
            category,
            line,
            expected: expected.to_string(),
            found: found.to_string(),
        };
        Self {
            inner: Box::new(inner),
        }
    }

    /// Returns the cause of the failure.
    #[must_use]
    pub fn classify(&self) -> Category {
        self.inner.category
    }

    /// Returns the line number, from 1, of the statement that failed.
    #[must_use]
    pub fn line(&self) -> usize {
        self.inner.line
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Inner {
            category,
            line,
            expected,
            found,
        } = &*self.inner;
        write!(
            f,
            "line {line}: {category}: expected {expected}, found {found}"
        )
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({self})")
    }
}

impl std::error::Error for Error {}
