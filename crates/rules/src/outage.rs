//! The rule `out`: a zone or a VM that operators have taken out of service.

use crate::builder::Draft;
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

fn parse<'a>(line: &Line<'a>, draft: &mut Draft<'a>) {
    for extra in line.bare() {
        draft.fault(extra.place, USAGE, extra.text);
    }
    match (line.value("zone"), line.value("vm")) {
        (Some(zone), None) => {
            draft.define(zone, Symbol::OutZone(zone.text));
            draft.refer(zone, Symbol::Zone(zone.text));
            let name = draft.parse(zone);
            draft.snapshot.outages.zones.extend(name);
        }
        (None, Some(vm)) => {
            draft.define(vm, Symbol::OutVm(vm.text));
            draft.refer(vm, Symbol::Vm(vm.text));
            let name = draft.parse(vm);
            draft.snapshot.outages.vms.extend(name);
        }
        _ => draft.fault(line.keyword.place, USAGE, line.keyword.text),
    }
}
