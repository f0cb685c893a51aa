//! Error type of this crate.

use std::fmt;

/// Result of this crate's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// Error for input that is not a valid value of the expected type.
///
/// # Example
///
/// ```
/// use celeryshore_model::Category;
/// use celeryshore_model::ZoneName;
///
/// let err = "Not A Name".parse::<ZoneName>().unwrap_err();
/// assert_eq!(err.classify(), Category::Name);
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Clone, PartialEq, Eq)]
struct Inner {
    category: Category,
    expected: &'static str,
    found: String,
}

/// Kind of value that is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Category {
    /// A name of a service, upstream, VM, availability zone, route or request kind.
    #[display("name")]
    Name,
    /// A number with a unit.
    #[display("unit")]
    Unit,
    /// A version or a digest.
    #[display("version")]
    Version,
    /// An idempotency key.
    #[display("key")]
    Key,
}

impl Error {
    pub(crate) fn new(category: Category, expected: &'static str, found: &str) -> Self {
        let inner = Inner {
            category,
            expected,
            found: found.to_owned(),
        };
        Self {
            inner: Box::new(inner),
        }
    }

    /// Returns the kind of value that is malformed.
    #[must_use]
    pub fn classify(&self) -> Category {
        self.inner.category
    }

    /// Returns a description of valid input.
    #[must_use]
    pub fn expected(&self) -> &'static str {
        self.inner.expected
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Inner {
            category,
            expected,
            found,
        } = &*self.inner;
        write!(f, "invalid {category} {found:?}: expected {expected}")
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({self})")
    }
}

impl std::error::Error for Error {}
