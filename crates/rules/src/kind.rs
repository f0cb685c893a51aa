//! The rule `kind`: a kind of request within a service.

use celeryshore_model::Kind;
use celeryshore_model::Priority;
use celeryshore_model::ServiceName;

use crate::Place;
use crate::builder::Draft;
use crate::line::Line;
use crate::line::Word;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;

inventory::submit! {
    RuleKind {
        keyword: "kind",
        usage: "kind SERVICE/NAME semantics=idempotent|at-most-once deadline=TIME",
        keys: Keys::Only(&["semantics", "deadline"]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, draft: &mut Draft<'a>) {
    if let Some(kind) = kind(line, draft) {
        draft.kinds.push(kind);
    }
}

fn kind<'a>(line: &Line<'a>, draft: &mut Draft<'a>) -> Option<(ServiceName, Kind)> {
    let word = draft.subject(line)?;
    let Some((service, name)) = split(word) else {
        draft.fault(word.place, "SERVICE/NAME", word.text);
        return None;
    };
    let symbol = Symbol::Kind {
        service: service.text,
        kind: name.text,
    };
    draft.define(word, symbol);
    draft.refer(service, Symbol::Service(service.text));
    let service = draft.parse(service);
    let name = draft.parse(name);
    let semantics = draft.required(line, "semantics");
    let deadline = draft.required(line, "deadline");
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

fn split(word: Word<'_>) -> Option<(Word<'_>, Word<'_>)> {
    let (service, name) = word.text.split_once('/')?;
    let column = word.place.column + service.len() + 1;
    let name = Word {
        place: Place {
            column,
            ..word.place
        },
        text: name,
    };
    let service = Word {
        text: service,
        ..word
    };
    Some((service, name))
}
