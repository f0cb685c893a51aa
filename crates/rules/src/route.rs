//! The rule `route`: which requests go to which service as which kind.

use celeryshore_model::Route;
use celeryshore_model::RouteMatch;

use crate::builder::Draft;
use crate::line::Line;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;
use crate::value::Host;
use crate::value::Method;
use crate::value::Path;

inventory::submit! {
    RuleKind {
        keyword: "route",
        usage: "route NAME path=PATH service=NAME kind=NAME [host=HOST] [method=METHOD]",
        keys: Keys::Only(&["path", "service", "kind", "host", "method"]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, draft: &mut Draft<'a>) {
    if let Some(route) = route(line, draft) {
        draft.snapshot.routes.push(route);
    }
}

fn route<'a>(line: &Line<'a>, draft: &mut Draft<'a>) -> Option<Route> {
    let word = draft.subject(line)?;
    draft.define(word, Symbol::Route(word.text));
    let name = draft.parse(word);
    let matches = matches(line, draft);
    let service = draft.required_word(line, "service");
    let kind = draft.required_word(line, "kind");
    let (service, kind) = (service?, kind?);
    draft.refer(service, Symbol::Service(service.text));
    draft.refer(service, Symbol::Backing(service.text));
    let symbol = Symbol::Kind {
        service: service.text,
        kind: kind.text,
    };
    draft.refer(kind, symbol);
    draft.route_kinds.insert(word.text, kind.text);
    let service = draft.parse(service);
    let kind = draft.parse(kind);
    Some(Route {
        name: name?,
        matches: matches?,
        service: service?,
        kind: kind?,
        splits: Vec::new(),
    })
}

fn matches<'a>(line: &Line<'a>, draft: &mut Draft<'a>) -> Option<RouteMatch> {
    let path: Option<Path> = draft.required(line, "path");
    let host = draft.optional(line, "host", None::<Host>);
    let method = draft.optional(line, "method", None::<Method>);
    Some(RouteMatch {
        host: host?.map(|host| host.0),
        path: path?.0,
        method: method?.map(|method| method.0),
    })
}
