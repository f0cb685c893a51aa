//! The one error of this package.

use std::fmt;

use crate::Problem;

const RULES_FILE: &str = "rules";

/// Result of this package's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// A text or a packed form of it that was refused.
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

/// What was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Category {
    /// A rules text.
    #[display("rules")]
    Rules,
    /// A delta between two texts.
    #[display("delta")]
    Delta,
    /// A list of parts, or a part.
    #[display("manifest")]
    Manifest,
    /// A compressed text.
    #[display("packed text")]
    Pack,
}

impl Error {
    pub(crate) fn rules(problems: Vec<Problem>) -> Self {
        Self::from_inner(Category::Rules, problems, "rules without faults")
    }

    pub(crate) fn manifest(problems: Vec<Problem>) -> Self {
        Self::from_inner(Category::Manifest, problems, "a list without faults")
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

    /// Returns what was refused.
    #[must_use]
    pub fn classify(&self) -> Category {
        self.inner.category
    }

    /// Returns every fault of a rules text, in the order of its lines.
    #[must_use]
    pub fn problems(&self) -> &[Problem] {
        &self.inner.problems
    }

    /// Names the file that the text was read from.
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
            return write!(f, "bad {category}: expected {expected}");
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
