//! Rule `route`: conditions on requests, and the service and request kind of
//! those that match.

use celeryshore_model::Route;
use celeryshore_model::RouteMatch;

use crate::builder::SnapshotBuilder;
use crate::line::Line;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;
use crate::value::Host;
use crate::value::Method;
use crate::value::PathPrefix;

/// Argument of a route that needs no key.
const PUBLIC: &str = "public";

inventory::submit! {
    RuleKind {
        keyword: "route",
        usage: "route NAME path=PATH service=NAME kind=NAME [host=HOST] [method=METHOD] [public]",
        keys: Keys::Only(&["path", "service", "kind", "host", "method"]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
    if let Some(route) = parse_route(line, builder) {
        builder.snapshot.routes.push(route);
    }
}

fn parse_route<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) -> Option<Route> {
    let (word, is_public) = builder.argument_with_flag(line, Some(PUBLIC))?;
    builder.define(word, Symbol::Route(word.text));
    let name = builder.parse(word);
    let matches = parse_matches(line, builder);
    let service = builder.required_word(line, "service");
    let kind = builder.required_word(line, "kind");
    let (service, kind) = (service?, kind?);
    builder.reference(service, Symbol::Service(service.text));
    builder.reference(service, Symbol::UpstreamOf(service.text));
    let symbol = Symbol::Kind {
        service: service.text,
        kind: kind.text,
    };
    builder.reference(kind, symbol);
    builder.route_kinds.insert(word.text, kind.text);
    let service = builder.parse(service);
    let kind = builder.parse(kind);
    Some(Route {
        name: name?,
        matches: matches?,
        service: service?,
        kind: kind?,
        splits: Vec::new(),
        is_public,
    })
}

fn parse_matches<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) -> Option<RouteMatch> {
    let path: Option<PathPrefix> = builder.required(line, "path");
    let host = builder.optional(line, "host", None::<Host>);
    let method = builder.optional(line, "method", None::<Method>);
    Some(RouteMatch {
        host: host?.map(|host| host.0),
        path: path?.0,
        method: method?.map(|method| method.0),
    })
}
