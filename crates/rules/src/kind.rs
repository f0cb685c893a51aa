//! Rule `kind`: request kind of a service.

use celeryshore_model::Kind;
use celeryshore_model::Priority;
use celeryshore_model::ServiceName;

use crate::Location;
use crate::builder::SnapshotBuilder;
use crate::line::Line;
use crate::line::Word;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;

inventory::submit! {
    RuleKind {
        keyword: "kind",
        usage: "kind SERVICE/NAME semantics=idempotent|download|at-most-once deadline=TIME",
        keys: Keys::Only(&["semantics", "deadline"]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
    if let Some(kind) = parse_kind(line, builder) {
        builder.kinds.push(kind);
    }
}

fn parse_kind<'a>(
    line: &Line<'a>,
    builder: &mut SnapshotBuilder<'a>,
) -> Option<(ServiceName, Kind)> {
    let word = builder.sole_argument(line)?;
    let Some((service, name)) = split_kind_id(word) else {
        builder.report(word.location, "SERVICE/NAME", word.text);
        return None;
    };
    let symbol = Symbol::Kind {
        service: service.text,
        kind: name.text,
    };
    builder.define(word, symbol);
    builder.reference(service, Symbol::Service(service.text));
    let service = builder.parse(service);
    let name = builder.parse(name);
    let semantics = builder.required(line, "semantics");
    let deadline = builder.required(line, "deadline");
    let kind = Kind {
        name: name?,
        semantics: semantics?,
        deadline: deadline?,
        priority: Priority::default(),
        target_latency: None,
        attempts: None,
    };
    Some((service?, kind))
}

fn split_kind_id(word: Word<'_>) -> Option<(Word<'_>, Word<'_>)> {
    let (service, name) = word.text.split_once('/')?;
    let column = word.location.column + service.len() + 1;
    let name = Word {
        location: Location {
            column,
            ..word.location
        },
        text: name,
    };
    let service = Word {
        text: service,
        ..word
    };
    Some((service, name))
}
