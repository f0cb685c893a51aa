//! Error type of this crate.

use std::fmt;

use crate::Problem;

const RULES_FILE: &str = "rules";

/// Result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Error for an invalid rules text, delta, manifest or compressed text.
///
/// # Example
///
/// ```
/// use celeryshore_model::Index;
/// use celeryshore_rules::Category;
///
/// let err = celeryshore_rules::from_str("epoch 1\n", Index(1)).unwrap_err();
/// assert_eq!(err.classify(), Category::Rules);
/// assert_eq!(err.problems().len(), 1);
/// assert!(err.in_file("mesh.rules").to_string().starts_with("mesh.rules:1:8: "));
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Clone, PartialEq, Eq)]
struct Inner {
    category: Category,
    file: String,
    problems: Vec<Problem>,
    expected: &'static str,
}

/// Kind of input that an error is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Category {
    /// Rules text.
    #[display("rules")]
    Rules,
    /// Delta between two texts.
    #[display("delta")]
    Delta,
    /// Manifest of a text in parts, or one of the parts.
    #[display("manifest")]
    Manifest,
    /// Compressed text.
    #[display("packed text")]
    Pack,
}

impl Error {
    pub(crate) fn rules(problems: Vec<Problem>) -> Self {
        Self::from_inner(Category::Rules, problems, "rules without problems")
    }

    pub(crate) fn manifest(problems: Vec<Problem>) -> Self {
        Self::from_inner(Category::Manifest, problems, "a manifest without problems")
    }

    pub(crate) fn new(category: Category, expected: &'static str) -> Self {
        Self::from_inner(category, Vec::new(), expected)
    }

    fn from_inner(category: Category, problems: Vec<Problem>, expected: &'static str) -> Self {
        let inner = Inner {
            category,
            file: RULES_FILE.to_owned(),
            problems,
            expected,
        };
        Self {
            inner: Box::new(inner),
        }
    }

    /// Returns the kind of input that this error is about.
    #[must_use]
    pub fn classify(&self) -> Category {
        self.inner.category
    }

    /// Returns all problems of a rules text in the order of their locations, or
    /// those of a manifest. Empty for a delta or a compressed text.
    #[must_use]
    pub fn problems(&self) -> &[Problem] {
        &self.inner.problems
    }

    /// Sets the file name in the message; `rules` if not set.
    #[must_use]
    pub fn in_file(mut self, file: &str) -> Self {
        file.clone_into(&mut self.inner.file);
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Inner {
            category,
            file,
            problems,
            expected,
        } = &*self.inner;
        if problems.is_empty() {
            return write!(f, "invalid {category}: expected {expected}");
        }
        for (i, problem) in problems.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{file}:{problem}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({self})")
    }
}

impl std::error::Error for Error {}
