//! Rule `zone`: availability zone and its region.

use celeryshore_model::Zone;
use celeryshore_model::ZoneName;

use crate::builder::SnapshotBuilder;
use crate::line::Line;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;

inventory::submit! {
    RuleKind {
        keyword: "zone",
        usage: "zone NAME region=NAME",
        keys: Keys::Only(&["region"]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
    if let Some(zone) = parse_zone(line, builder) {
        builder.snapshot.zones.insert(zone.name.clone(), zone);
    }
}

fn parse_zone<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) -> Option<Zone> {
    let word = builder.sole_argument(line)?;
    builder.define(word, Symbol::Zone(word.text));
    let name = builder.parse(word);
    let region: Option<ZoneName> = builder.required(line, "region");
    Some(Zone {
        name: name?,
        region: region?,
    })
}
