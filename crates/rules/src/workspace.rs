//! Rule `workspace`: callers with common keys, a priority and a quota.
//!
//! A rules text holds the digests of keys, never a key. Messages about a malformed digest
//! do not quote it, since it may be a key.

use std::collections::BTreeSet;

use celeryshore_model::KeyDigest;
use celeryshore_model::Priority;
use celeryshore_model::Quota;
use celeryshore_model::Rate;
use celeryshore_model::Workspace;

use crate::Location;
use crate::Problem;
use crate::builder::SnapshotBuilder;
use crate::line::Line;
use crate::line::Word;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;

inventory::submit! {
    RuleKind {
        keyword: "workspace",
        usage: "workspace NAME keys=DIGEST,... [priority=N] [rate=N/s burst=N]",
        keys: Keys::Only(&["keys", "priority", "rate", "burst"]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
    if let Some(workspace) = parse_workspace(line, builder) {
        let name = workspace.name.clone();
        builder.snapshot.workspaces.insert(name, workspace);
    }
}

fn parse_workspace<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) -> Option<Workspace> {
    let word = builder.sole_argument(line)?;
    builder.define(word, Symbol::Workspace(word.text));
    let name = builder.parse(word);
    let keys = builder.required_word(line, "keys");
    let keys = keys.map(|word| parse_keys(word, builder));
    let priority = builder.optional(line, "priority", Priority::default());
    let quota = parse_quota(line, builder);
    Some(Workspace {
        name: name?,
        keys: keys?,
        priority: priority?,
        quota,
    })
}

fn parse_keys<'a>(list: Word<'a>, builder: &mut SnapshotBuilder<'a>) -> BTreeSet<KeyDigest> {
    let mut keys = BTreeSet::new();
    for word in split_list(list) {
        let Ok(key) = word.text.parse() else {
            let expected = "the SHA-256 digest of a key, 64 hexadecimal digits";
            let problem = Problem::new(word.location, expected, "another text");
            builder.problems.push(problem);
            continue;
        };
        builder.define(word, Symbol::Key(key));
        keys.insert(key);
    }
    keys
}

/// Splits a word at its commas.
fn split_list(list: Word<'_>) -> impl Iterator<Item = Word<'_>> {
    let mut column = list.location.column;
    list.text.split(',').map(move |text| {
        let location = Location {
            column,
            ..list.location
        };
        column += text.len() + 1;
        Word { location, text }
    })
}

/// Parses the quota, which needs both its values. A problem with either makes the whole
/// text invalid, so that an absent quota is never an invalid one.
fn parse_quota<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) -> Option<Quota> {
    if line.value("rate").is_none() && line.value("burst").is_none() {
        return None;
    }
    let rate: Option<Rate> = builder.required(line, "rate");
    let burst = builder.required(line, "burst");
    let rate = rate?;
    if let Some(word) = line.value("rate").filter(|_| rate.per_mille() == 0) {
        builder.report(word.location, "a rate above 0/s", word.text);
    }
    Some(Quota {
        rate,
        burst: burst?,
    })
}
