//! The rule `zone`: an availability zone and its region.

use celeryshore_model::Zone;
use celeryshore_model::ZoneName;

use crate::builder::Draft;
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

fn parse<'a>(line: &Line<'a>, draft: &mut Draft<'a>) {
    if let Some(zone) = zone(line, draft) {
        draft.snapshot.zones.insert(zone.name.clone(), zone);
    }
}

fn zone<'a>(line: &Line<'a>, draft: &mut Draft<'a>) -> Option<Zone> {
    let word = draft.subject(line)?;
    draft.define(word, Symbol::Zone(word.text));
    let name = draft.parse(word);
    let region: Option<ZoneName> = draft.required(line, "region");
    Some(Zone {
        name: name?,
        region: region?,
    })
}
