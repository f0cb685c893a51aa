//! Rule `service`: service and the limits of each of its targets.

use std::collections::BTreeMap;

use celeryshore_model::ByteSize;
use celeryshore_model::Limits;
use celeryshore_model::Service;
use celeryshore_model::Slots;

use crate::builder::SnapshotBuilder;
use crate::line::Line;
use crate::retry;
use crate::rule::Keys;
use crate::rule::RuleKind;
use crate::symbol::Symbol;

const DEFAULT_COLD_SLOTS: Slots = Slots::new(1);
const DEFAULT_QUEUE_PER_SLOT: u32 = 2;
const DEFAULT_BODY: ByteSize = ByteSize::new(1_024 * 1_024);

inventory::submit! {
    RuleKind {
        keyword: "service",
        usage: "service NAME slots=N connections=N [cold-slots=N] [queue=N] [body=SIZE]",
        keys: Keys::Only(&["slots", "cold-slots", "queue", "connections", "body"]),
        parse,
    }
}

fn parse<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) {
    if let Some(service) = parse_service(line, builder) {
        let name = service.name.clone();
        builder.snapshot.services.insert(name, service);
    }
}

fn parse_service<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) -> Option<Service> {
    let word = builder.sole_argument(line)?;
    builder.define(word, Symbol::Service(word.text));
    let name = builder.parse(word);
    let limits = parse_limits(line, builder);
    Some(Service {
        name: name?,
        limits: limits?,
        retry: retry::DEFAULT,
        kinds: BTreeMap::new(),
        upstreams: Vec::new(),
        health_path: None,
    })
}

fn parse_limits<'a>(line: &Line<'a>, builder: &mut SnapshotBuilder<'a>) -> Option<Limits> {
    let slots: Option<Slots> = builder.required(line, "slots");
    let cold_slots = builder.optional(line, "cold-slots", DEFAULT_COLD_SLOTS);
    let default_queue = slots.map_or(0, Slots::get);
    let default_queue = default_queue.saturating_mul(DEFAULT_QUEUE_PER_SLOT);
    let queue = builder.optional(line, "queue", Slots::new(default_queue));
    let connections = builder.required(line, "connections");
    let body = builder.optional(line, "body", DEFAULT_BODY);
    let limits = Limits {
        slots: slots?,
        cold_slots: cold_slots?,
        cold_start: None,
        queue: queue?,
        connections: connections?,
        body: body?,
    };
    check_cold_slots(line, limits, builder);
    Some(limits)
}

fn check_cold_slots<'a>(line: &Line<'a>, limits: Limits, builder: &mut SnapshotBuilder<'a>) {
    if let Some(word) = line.value("cold-slots")
        && limits.cold_slots > limits.slots
    {
        builder.report(
            word.location,
            "at most as many cold slots as slots",
            word.text,
        );
    }
}
