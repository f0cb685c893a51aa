//! Rule `upstream`: target of a service, with the addresses of its node.

use std::net::SocketAddr;

use celeryshore_model::Incarnation;
use celeryshore_model::Upstream;
use celeryshore_model::UpstreamState;
use celeryshore_model::VmName;

use crate::builder::SnapshotBuilder;
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

fn parse<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
    if let Some(upstream) = parse_upstream(line, builder) {
        let name = upstream.name.clone();
        builder.snapshot.upstreams.insert(name, upstream);
    }
}

fn parse_upstream<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) -> Option<Upstream> {
    let word = builder.sole_argument(line)?;
    builder.define(word, Symbol::Upstream(word.text));
    let name = builder.parse(word);
    let service = builder.required_word(line, "service").and_then(|word| {
        builder.reference(word, Symbol::Service(word.text));
        builder.mark_defined(Symbol::UpstreamOf(word.text));
        builder.parse(word)
    });
    let zone = builder.required_word(line, "zone").and_then(|word| {
        builder.reference(word, Symbol::Zone(word.text));
        builder.parse(word)
    });
    let vm = parse_vm(line, builder);
    let peer = parse_address(line, "peer", builder);
    let control = parse_address(line, "control", builder);
    Some(Upstream {
        name: name?,
        service: service?,
        vm: vm?,
        zone: zone?,
        peer: peer?,
        control: control?,
        slots: None,
        incarnation: Incarnation::default(),
        state: UpstreamState::Serving,
        is_cold: false,
    })
}

fn parse_vm<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) -> Option<VmName> {
    let word = builder.required_word(line, "vm")?;
    builder.define(word, Symbol::Vm(word.text));
    builder.parse(word)
}

fn parse_address<'a>(
    line: &Line<'a>,
    key: &str,
    builder: &mut SnapshotBuilder<'a>,
) -> Option<SocketAddr> {
    let word = builder.required_word(line, key)?;
    let address = builder.parse(word)?;
    builder.define(word, Symbol::Address(address));
    Some(address)
}
