//! The rule `upstream`: one target of a service, with its node.

use std::net::SocketAddr;

use celeryshore_model::Incarnation;
use celeryshore_model::Upstream;
use celeryshore_model::UpstreamState;
use celeryshore_model::VmName;

use crate::builder::Draft;
use crate::line::Line;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;

inventory::submit! {
    RuleKind {
        keyword: "upstream",
        usage: "upstream NAME service=NAME zone=NAME vm=NAME peer=ADDRESS control=ADDRESS",
        keys: Keys::Only(&["service", "zone", "vm", "peer", "control"]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, draft: &mut Draft<'a>) {
    if let Some(upstream) = upstream(line, draft) {
        let name = upstream.name.clone();
        draft.snapshot.upstreams.insert(name, upstream);
    }
}

fn upstream<'a>(line: &Line<'a>, draft: &mut Draft<'a>) -> Option<Upstream> {
    let word = draft.subject(line)?;
    draft.define(word, Symbol::Upstream(word.text));
    let name = draft.parse(word);
    let service = draft.required_word(line, "service").and_then(|word| {
        draft.refer(word, Symbol::Service(word.text));
        draft.provide(Symbol::Backing(word.text));
        draft.parse(word)
    });
    let zone = draft.required_word(line, "zone").and_then(|word| {
        draft.refer(word, Symbol::Zone(word.text));
        draft.parse(word)
    });
    let vm = vm(line, draft);
    let peer = address(line, "peer", draft);
    let control = address(line, "control", draft);
    Some(Upstream {
        name: name?,
        service: service?,
        vm: vm?,
        zone: zone?,
        peer: peer?,
        control: control?,
        slots: None,
        life: Incarnation::default(),
        state: UpstreamState::Serving,
        is_cold: false,
    })
}

fn vm<'a>(line: &Line<'a>, draft: &mut Draft<'a>) -> Option<VmName> {
    let word = draft.required_word(line, "vm")?;
    draft.define(word, Symbol::Vm(word.text));
    draft.parse(word)
}

fn address<'a>(line: &Line<'a>, key: &str, draft: &mut Draft<'a>) -> Option<SocketAddr> {
    let word = draft.required_word(line, key)?;
    let address = draft.parse(word)?;
    draft.define(word, Symbol::Address(address));
    Some(address)
}
