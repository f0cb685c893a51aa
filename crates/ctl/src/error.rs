//! Error type of this crate.

use std::error::Error as StdError;
use std::fmt;

/// Result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to carry out a command.
///
/// # Example
///
/// ```
/// use celeryshore_ctl::Category;
///
/// let err = celeryshore_ctl::run(&["chekc".to_owned()], &mut Vec::new()).unwrap_err();
/// assert_eq!(err.classify(), Category::Usage);
/// ```
pub struct Error {
    inner: Box<Inner>,
}

struct Inner {
    category: Category,
    subject: String,
    source: Option<Box<dyn StdError + Send + Sync>>,
}

/// Reason why a command failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Category {
    /// The command line is invalid.
    #[display("wrong usage")]
    Usage,
    /// A file can't be read or written.
    #[display("no access to file")]
    File,
    /// A rules text was refused.
    #[display("refused")]
    Rules,
    /// A node doesn't respond, or its response is invalid.
    #[display("no answer from node")]
    Node,
    /// The output can't be written.
    #[display("no output")]
    Output,
}

impl Error {
    pub(crate) fn new(category: Category, subject: impl Into<String>) -> Self {
        let inner = Inner {
            category,
            subject: subject.into(),
            source: None,
        };
        Self {
            inner: Box::new(inner),
        }
    }

    pub(crate) fn with_source(
        mut self,
        source: impl Into<Box<dyn StdError + Send + Sync>>,
    ) -> Self {
        self.inner.source = Some(source.into());
        self
    }

    /// Returns the reason why the command failed.
    #[must_use]
    pub fn classify(&self) -> Category {
        self.inner.category
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Inner {
            category, subject, ..
        } = &*self.inner;
        write!(f, "{category}: {subject}")
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({self})")
    }
}

impl StdError for Error {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        let source = self.inner.source.as_ref()?;
        Some(&**source)
    }
}

impl From<std::io::Error> for Error {
    fn from(err: std::io::Error) -> Self {
        Self::new(Category::Output, "cannot write the output").with_source(err)
    }
}
