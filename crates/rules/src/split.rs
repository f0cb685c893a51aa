//! The rule `split`: services of a route by weight.

use celeryshore_model::RouteName;
use celeryshore_model::Split;
use celeryshore_model::Weight;

use crate::builder::Draft;
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

fn parse<'a>(line: &Line<'a>, draft: &mut Draft<'a>) {
    if let Some((route, splits)) = split(line, draft) {
        draft.splits.insert(route, splits);
    }
}

fn split<'a>(line: &Line<'a>, draft: &mut Draft<'a>) -> Option<(RouteName, Vec<Split>)> {
    let word = draft.subject(line)?;
    draft.define(word, Symbol::Split(word.text));
    draft.refer(word, Symbol::Route(word.text));
    let route = draft.parse(word);
    let mut splits = Vec::new();
    for (service, weight) in line.pairs() {
        draft.refer(service, Symbol::Service(service.text));
        draft.refer(service, Symbol::Backing(service.text));
        draft.split_services.push((word.text, service));
        splits.extend(part(service, weight, draft));
    }
    if splits.iter().all(|split| split.weight == Weight::new(0)) {
        draft.fault(word.place, "a service with a weight over 0", word.text);
    }
    Some((route?, splits))
}

fn part<'a>(service: Word<'a>, weight: Word<'a>, draft: &mut Draft<'a>) -> Option<Split> {
    let service = draft.parse(service);
    let weight = draft.parse(weight);
    Some(Split {
        service: service?,
        weight: weight?,
    })
}
