//! The rule `epoch`: generation of the platform's data.

use celeryshore_model::Epoch;

use crate::builder::Draft;
use crate::line::Line;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;

inventory::submit! {
    RuleKind {
        keyword: "epoch",
        usage: "epoch NUMBER",
        keys: Keys::Only(&[]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, draft: &mut Draft<'a>) {
    let Some(word) = draft.subject(line) else {
        return;
    };
    draft.define(word, Symbol::Epoch);
    if let Some(epoch) = draft.parse(word) {
        draft.epoch = Epoch(epoch);
    }
}
