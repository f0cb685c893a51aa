//! Rule `out`: zone or VM that operators have taken out of service.

use crate::builder::SnapshotBuilder;
use crate::line::Line;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;

const USAGE: &str = "out zone=NAME, or out vm=NAME";

inventory::submit! {
    RuleKind {
        keyword: "out",
        usage: USAGE,
        keys: Keys::Only(&["zone", "vm"]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
    for extra in line.arguments() {
        builder.report(extra.location, USAGE, extra.text);
    }
    match (line.value("zone"), line.value("vm")) {
        (Some(zone), None) => {
            builder.define(zone, Symbol::ZoneOutage(zone.text));
            builder.reference(zone, Symbol::Zone(zone.text));
            let name = builder.parse(zone);
            builder.snapshot.outages.zones.extend(name);
        }
        (None, Some(vm)) => {
            builder.define(vm, Symbol::VmOutage(vm.text));
            builder.reference(vm, Symbol::Vm(vm.text));
            let name = builder.parse(vm);
            builder.snapshot.outages.vms.extend(name);
        }
        _ => builder.report(line.keyword.location, USAGE, line.keyword.text),
    }
}
