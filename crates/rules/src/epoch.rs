//! Rule `epoch`: generation of the platform's data.

use celeryshore_model::Epoch;

use crate::builder::SnapshotBuilder;
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

fn parse<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
    let Some(word) = builder.sole_argument(line) else {
        return;
    };
    builder.define(word, Symbol::Epoch);
    if let Some(epoch) = builder.parse(word) {
        builder.epoch = Epoch(epoch);
    }
}
