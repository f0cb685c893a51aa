//! Registry of rule kinds. Each module of a rule submits its own.

use crate::builder::SnapshotBuilder;
use crate::line::Line;

/// Kind of rule, identified by its keyword.
///
/// # Example
///
/// ```
/// let mut keywords: Vec<_> = celeryshore_rules::rule_kinds().map(|r| r.keyword).collect();
/// keywords.sort_unstable();
/// assert!(keywords.contains(&"route"));
/// keywords.dedup();
/// assert_eq!(keywords.len(), celeryshore_rules::rule_kinds().count());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RuleKind {
    /// First word of a line with this rule.
    pub keyword: &'static str,
    /// Syntax of the line, shown in messages about unknown keys.
    pub usage: &'static str,
    pub(crate) keys: Keys,
    pub(crate) parse: for<'a> fn(&Line<'a>, &mut SnapshotBuilder<'a>),
}

/// Keys that a kind of rule accepts.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Keys {
    /// Only the listed keys.
    Only(&'static [&'static str]),
    /// Any keys; they are names of services.
    Services,
}

inventory::collect!(RuleKind);

/// Returns all kinds of rules, in unspecified order.
pub fn rule_kinds() -> impl Iterator<Item = &'static RuleKind> {
    inventory::iter::<RuleKind>.into_iter()
}

impl RuleKind {
    /// Records a problem for every key that is unknown or repeated.
    pub(crate) fn check_keys<'a>(&self, line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
        for (i, (key, _)) in line.key_values().enumerate() {
            if let Keys::Only(keys) = self.keys
                && !keys.contains(&key.text)
            {
                builder.report(key.location, format!("`{}`", self.usage), key.text);
            } else if line.key_values().take(i).any(|(k, _)| k.text == key.text) {
                builder.report(key.location, "each key at most once", key.text);
            }
        }
    }
}
