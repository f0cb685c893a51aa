//! Rule `split`: weighted services of a route.

use celeryshore_model::RouteName;
use celeryshore_model::Split;
use celeryshore_model::Weight;

use crate::builder::SnapshotBuilder;
use crate::line::Line;
use crate::line::Word;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;

inventory::submit! {
    RuleKind {
        keyword: "split",
        usage: "split ROUTE SERVICE=WEIGHT SERVICE=WEIGHT …",
        keys: Keys::Services,
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
    if let Some((route, splits)) = parse_split(line, builder) {
        builder.splits.insert(route, splits);
    }
}

fn parse_split<'a>(
    line: &Line<'a>,
    builder: &mut SnapshotBuilder<'a>,
) -> Option<(RouteName, Vec<Split>)> {
    let word = builder.sole_argument(line)?;
    builder.define(word, Symbol::Split(word.text));
    builder.reference(word, Symbol::Route(word.text));
    let route = builder.parse(word);
    let mut splits = Vec::new();
    for (service, weight) in line.key_values() {
        builder.reference(service, Symbol::Service(service.text));
        builder.reference(service, Symbol::UpstreamOf(service.text));
        builder.split_services.push((word.text, service));
        splits.extend(split_part(service, weight, builder));
    }
    if splits.iter().all(|split| split.weight == Weight::new(0)) {
        builder.report(word.location, "a service with a weight above 0", word.text);
    }
    Some((route?, splits))
}

fn split_part<'a>(
    service: Word<'a>,
    weight: Word<'a>,
    builder: &mut SnapshotBuilder<'a>,
) -> Option<Split> {
    let service = builder.parse(service);
    let weight = builder.parse(weight);
    Some(Split {
        service: service?,
        weight: weight?,
    })
}
