//! The rule `service`: a service and what each of its targets can bear.

use std::collections::BTreeMap;

use celeryshore_model::ByteSize;
use celeryshore_model::Limits;
use celeryshore_model::Service;
use celeryshore_model::Slots;

use crate::builder::Draft;
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

fn parse<'a>(line: &Line<'a>, draft: &mut Draft<'a>) {
    if let Some(service) = service(line, draft) {
        let name = service.name.clone();
        draft.snapshot.services.insert(name, service);
    }
}

fn service<'a>(line: &Line<'a>, draft: &mut Draft<'a>) -> Option<Service> {
    let word = draft.subject(line)?;
    draft.define(word, Symbol::Service(word.text));
    let name = draft.parse(word);
    let limits = limits(line, draft);
    Some(Service {
        name: name?,
        limits: limits?,
        retry: retry::DEFAULT,
        kinds: BTreeMap::new(),
        upstreams: Vec::new(),
        health: None,
    })
}

fn limits<'a>(line: &Line<'a>, draft: &mut Draft<'a>) -> Option<Limits> {
    let slots: Option<Slots> = draft.required(line, "slots");
    let cold_slots = draft.optional(line, "cold-slots", DEFAULT_COLD_SLOTS);
    let default_queue = slots.map_or(0, Slots::get);
    let default_queue = default_queue.saturating_mul(DEFAULT_QUEUE_PER_SLOT);
    let queue = draft.optional(line, "queue", Slots::new(default_queue));
    let connections = draft.required(line, "connections");
    let body = draft.optional(line, "body", DEFAULT_BODY);
    let limits = Limits {
        slots: slots?,
        cold_slots: cold_slots?,
        cold_start: None,
        queue: queue?,
        connections: connections?,
        body: body?,
    };
    check_cold_slots(line, limits, draft);
    Some(limits)
}

fn check_cold_slots<'a>(line: &Line<'a>, limits: Limits, draft: &mut Draft<'a>) {
    if let Some(word) = line.value("cold-slots")
        && limits.cold_slots > limits.slots
    {
        draft.fault(word.place, "no more cold slots than slots", word.text);
    }
}
