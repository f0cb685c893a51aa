//! Parsing of a rules text into a snapshot.

use std::collections::HashMap;

use celeryshore_model::Digest;
use celeryshore_model::Index;
use celeryshore_model::Snapshot;
use celeryshore_model::Version;

use crate::Error;
use crate::Location;
use crate::Problem;
use crate::Result;
use crate::builder::SnapshotBuilder;
use crate::line;
use crate::rule::RuleKind;
use crate::rule::rule_kinds;

type RuleKinds = HashMap<&'static str, &'static RuleKind>;

/// Parses a rules text that the platform stores under a modification index.
///
/// # Errors
///
/// Fails if any line is invalid or refers to something undefined. The error
/// lists every problem.
///
/// # Example
///
/// ```
/// use celeryshore_model::Epoch;
/// use celeryshore_model::Index;
///
/// let snapshot = celeryshore_rules::from_slice(b"epoch 2  # operations\n", Index(7))?;
/// assert_eq!(snapshot.version.epoch, Epoch(2));
/// assert_eq!(snapshot.version.index, Index(7));
/// # Ok::<(), celeryshore_rules::Error>(())
/// ```
pub fn from_slice(text: &[u8], index: Index) -> Result<Snapshot> {
    let chars = std::str::from_utf8(text).map_err(|err| invalid_utf8(text, err.valid_up_to()))?;
    from_str(chars, index)
}

fn invalid_utf8(text: &[u8], offset: usize) -> Error {
    let before = &text[..offset];
    let mut lines = before.split(|b| *b == b'\n');
    let location = Location {
        line: lines.clone().count(),
        column: lines.next_back().map_or(0, <[u8]>::len) + 1,
    };
    let problem = Problem::new(location, "UTF-8", "an invalid byte");
    Error::rules(vec![problem])
}

/// Parses a rules text, like [`from_slice`].
///
/// # Errors
///
/// Fails if any line is invalid or refers to something undefined. The error
/// lists every problem.
///
/// # Example
///
/// ```
/// use celeryshore_model::Index;
///
/// let text = "epoch 1  # operations\nout zone=glasgow  # operations\n";
/// let err = celeryshore_rules::from_str(text, Index(1)).unwrap_err();
/// assert_eq!(
///     err.to_string(),
///     "rules:2:10: expected a defined zone, found \"glasgow\"",
/// );
/// ```
pub fn from_str(text: &str, index: Index) -> Result<Snapshot> {
    let kinds = rule_kinds().map(|kind| (kind.keyword, kind)).collect();
    let mut builder = SnapshotBuilder::with_capacity(text.lines().count());
    for (i, line) in text.lines().enumerate() {
        parse_line(i + 1, line, &kinds, &mut builder);
    }
    builder.resolve();
    if !builder.problems.is_empty() {
        builder.problems.sort_by_key(|problem| problem.location);
        return Err(Error::rules(builder.problems));
    }
    let digest = Digest::of(text.as_bytes());
    Ok(build_snapshot(builder, index, digest))
}

fn parse_line<'a>(
    number: usize,
    text: &'a str,
    kinds: &RuleKinds,
    builder: &mut SnapshotBuilder<'a>,
) {
    let Some(line) = line::parse(number, text, &mut builder.problems) else {
        return;
    };
    let Some(kind) = kinds.get(line.keyword.text) else {
        builder.report(
            line.keyword.location,
            expected_keyword(kinds),
            line.keyword.text,
        );
        return;
    };
    kind.check_keys(&line, builder);
    (kind.parse)(&line, builder);
}

fn expected_keyword(kinds: &RuleKinds) -> String {
    let mut keywords: Vec<_> = kinds.keys().copied().collect();
    keywords.sort_unstable();
    format!("one of {}", keywords.join(", "))
}

fn build_snapshot(builder: SnapshotBuilder<'_>, index: Index, digest: Digest) -> Snapshot {
    let mut snapshot = builder.snapshot;
    snapshot.version = Version::new(builder.epoch, index, digest);
    for (service, kind) in builder.kinds {
        if let Some(service) = snapshot.services.get_mut(&service) {
            service.kinds.insert(kind.name.clone(), kind);
        }
    }
    for (service, retry) in builder.retries {
        if let Some(service) = snapshot.services.get_mut(&service) {
            service.retry = retry;
        }
    }
    for upstream in snapshot.upstreams.values() {
        if let Some(service) = snapshot.services.get_mut(&upstream.service) {
            service.upstreams.push(upstream.name.clone());
        }
    }
    let mut splits = builder.splits;
    for route in &mut snapshot.routes {
        route.splits = splits.remove(&route.name).unwrap_or_default();
    }
    snapshot
}
