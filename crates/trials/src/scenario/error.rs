//! The one error of scenarios.

use std::fmt;

/// Result of scenarios.
pub type Result<T> = std::result::Result<T, Error>;

/// A scenario that cannot be read, or that ended otherwise than expected.
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

/// Why a scenario failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Category {
    /// A line is no statement.
    #[display("syntax")]
    Syntax,
    /// A statement names something that is not there.
    #[display("reference")]
    Reference,
    /// An expectation does not hold.
    #[display("expectation")]
    Expectation,
    /// Something happened that never may.
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

    /// Returns why the scenario failed.
    #[must_use]
    pub fn classify(&self) -> Category {
        self.inner.category
    }

    /// Returns the line of the statement that failed.
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
