//! Kinds of rules, which register themselves.

use crate::builder::SnapshotBuilder;
use crate::line::Line;

/// A kind of rule. Each registers itself.
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
    /// First word of the line.
    pub keyword: &'static str,
    /// Form of the line, for people.
    pub usage: &'static str,
    pub(crate) keys: Keys,
    pub(crate) parse: for<'a> fn(&Line<'a>, &mut SnapshotBuilder<'a>),
}

/// Keys that a kind of rule takes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Keys {
    /// These keys.
    Only(&'static [&'static str]),
    /// Names of services.
    Services,
}

inventory::collect!(RuleKind);

/// Returns all kinds of rules, in no fixed order.
pub fn rule_kinds() -> impl Iterator<Item = &'static RuleKind> {
    inventory::iter::<RuleKind>.into_iter()
}

impl RuleKind {
    /// Records a fault for every key that is unknown or given twice.
    pub(crate) fn check_keys<'a>(&self, line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
        for (i, (key, _)) in line.key_values().enumerate() {
            if let Keys::Only(keys) = self.keys
                && !keys.contains(&key.text)
            {
                builder.report(key.location, format!("`{}`", self.usage), key.text);
            } else if line.key_values().take(i).any(|(k, _)| k.text == key.text) {
                builder.report(key.location, "each key once", key.text);
            }
        }
    }
}
