//! Rule `retry`: limits for retries by the mesh.

use celeryshore_model::RetryPolicy;
use celeryshore_model::ServiceName;
use celeryshore_model::Share;

use crate::builder::SnapshotBuilder;
use crate::line::Line;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;
use crate::value::Attempts;

/// Retry policy of a service without a `retry` rule.
pub(crate) const DEFAULT: RetryPolicy = RetryPolicy {
    attempts: 2,
    budget: Share::from_per_mille(100),
};

inventory::submit! {
    RuleKind {
        keyword: "retry",
        usage: "retry SERVICE [attempts=N] [budget=SHARE]",
        keys: Keys::Only(&["attempts", "budget"]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
    if let Some((service, policy)) = parse_retry(line, builder) {
        builder.retries.insert(service, policy);
    }
}

fn parse_retry<'a>(
    line: &Line<'a>,
    builder: &mut SnapshotBuilder<'a>,
) -> Option<(ServiceName, RetryPolicy)> {
    let word = builder.sole_argument(line)?;
    builder.define(word, Symbol::Retry(word.text));
    builder.reference(word, Symbol::Service(word.text));
    let service = builder.parse(word);
    let attempts = builder.optional(line, "attempts", Attempts(DEFAULT.attempts));
    let budget = builder.optional(line, "budget", DEFAULT.budget);
    let policy = RetryPolicy {
        attempts: attempts?.0,
        budget: budget?,
    };
    Some((service?, policy))
}
