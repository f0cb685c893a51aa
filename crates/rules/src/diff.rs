//! Comparison of two snapshots, rule by rule.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use celeryshore_model::RouteName;
use celeryshore_model::Snapshot;
use serde::Serialize;

use crate::canonical::canonical_rules;

/// Differences between two snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Rules that were added, changed or removed, sorted by keyword and name.
    pub changes: Vec<Change>,
    /// Routes of both snapshots whose preceding route has changed, in their new
    /// order. Order matters because the first matching route wins.
    pub moved: Vec<RouteName>,
}

/// One rule that was added, changed or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Keyword and name of the rule.
    pub rule: String,
    /// Old values; `None` if the rule was added.
    pub old: Option<String>,
    /// New values; `None` if the rule was removed.
    pub new: Option<String>,
}

/// Compares two snapshots rule by rule.
///
/// The comparison ignores comments, the order of lines other than routes, and
/// whether a default value is written out.
///
/// # Example
///
/// ```
/// use celeryshore_model::Index;
///
/// let old = "epoch 1  # ops\nzone perth region=scotland  # ops\n";
/// let new = "zone perth region=tayside  # B. Reid\nepoch 1  # ops\n";
/// let old = celeryshore_rules::from_str(old, Index(1))?;
/// let new = celeryshore_rules::from_str(new, Index(2))?;
/// let diff = celeryshore_rules::diff(&old, &new);
/// assert_eq!(
///     diff.to_string(),
///     "- zone perth region=scotland\n+ zone perth region=tayside\n",
/// );
/// # Ok::<(), celeryshore_rules::Error>(())
/// ```
#[must_use]
pub fn diff(old: &Snapshot, new: &Snapshot) -> Diff {
    let mut changes: BTreeMap<String, Change> = BTreeMap::new();
    for rule in canonical_rules(old) {
        let change = Change {
            rule: rule.name.clone(),
            old: Some(rule.values),
            new: None,
        };
        changes.insert(rule.name, change);
    }
    for rule in canonical_rules(new) {
        let change = changes.entry(rule.name.clone()).or_insert(Change {
            rule: rule.name,
            old: None,
            new: None,
        });
        change.new = Some(rule.values);
    }
    let changes = changes.into_values();
    Diff {
        changes: changes.filter(|c| c.old != c.new).collect(),
        moved: moved_routes(old, new),
    }
}

impl Diff {
    /// Returns `true` if the snapshots contain the same rules.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.moved.is_empty()
    }
}

fn moved_routes(old: &Snapshot, new: &Snapshot) -> Vec<RouteName> {
    let (before, after) = (predecessors(old, new), predecessors(new, old));
    let routes = new.routes.iter().map(|route| &route.name);
    let moved = routes.filter(|name| before.get(name) != after.get(name));
    moved.cloned().collect()
}

/// Maps each route of both snapshots to the one before it in `snapshot`.
/// Routes that `other` lacks are skipped, so adding or removing a route doesn't
/// count as a move of the next one.
fn predecessors<'a>(
    snapshot: &'a Snapshot,
    other: &Snapshot,
) -> HashMap<&'a RouteName, Option<&'a RouteName>> {
    let others: HashSet<_> = other.routes.iter().map(|route| &route.name).collect();
    let common = snapshot.routes.iter().map(|route| &route.name);
    let common = common.filter(|name| others.contains(name));
    let mut last = None;
    common.map(|name| (name, last.replace(name))).collect()
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.changes.iter().try_for_each(|change| change.fmt(f))?;
        let mut moved = self.moved.iter();
        moved.try_for_each(|route| writeln!(f, "~ route {route} stands elsewhere"))
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let signs = [('-', &self.old), ('+', &self.new)];
        for (sign, values) in signs {
            if let Some(values) = values {
                let line = format!("{sign} {} {values}", self.rule);
                writeln!(f, "{}", line.trim_end())?;
            }
        }
        Ok(())
    }
}
