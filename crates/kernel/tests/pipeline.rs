//! Exhaustive search over the orders of events on one connection: its reader, its writer and
//! the stop of the node.

use std::collections::HashSet;
use std::collections::VecDeque;

use celeryshore_kernel::Pipeline;
use celeryshore_kernel::PipelineStep;
use celeryshore_model::Time;

/// Requests that the caller sends ahead. Its last one asks to close the connection in one of
/// the searches.
const REQUESTS: usize = 4;

/// Time at which a request that was passed on at the start has taken long.
const LONG: Time = Time::from_millis(1_000);

/// State of the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Model {
    pipeline: Pipeline,
    is_stopping: bool,
    /// Time since the start; a request that was passed on before `LONG` has taken long.
    now: Time,
    /// Requests that the reader has read.
    read: usize,
    /// Whether the latest of them waits to be passed on.
    is_waiting: bool,
    passed_on: usize,
    answered: usize,
    /// When each request that is not answered yet was passed on.
    unanswered: VecDeque<Time>,
    /// Whether the response in transfer closes the connection.
    writing: Option<bool>,
    is_ended: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Stop,
    TimePasses,
    Read,
    Admit,
    StartWriting,
    FinishWriting,
    IdleTimeout,
}

const EVENTS: [Event; 7] = [
    Event::Stop,
    Event::TimePasses,
    Event::Read,
    Event::Admit,
    Event::StartWriting,
    Event::FinishWriting,
    Event::IdleTimeout,
];

impl Model {
    fn new() -> Self {
        Self {
            pipeline: Pipeline::default(),
            is_stopping: false,
            now: Time::ZERO,
            read: 0,
            is_waiting: false,
            passed_on: 0,
            answered: 0,
            unanswered: VecDeque::new(),
            writing: None,
            is_ended: false,
        }
    }

    /// Returns the state after an event; `None` if it can't happen or changes nothing.
    fn after(&self, event: Event, closes_last: bool) -> Option<Self> {
        let mut next = self.clone();
        match event {
            Event::Stop if !self.is_stopping => next.is_stopping = true,
            Event::TimePasses if self.now == Time::ZERO => next.now = LONG,
            Event::Read if !self.is_waiting && self.read < REQUESTS => {
                if self.pipeline.is_closed() {
                    return None;
                }
                next.read += 1;
                next.is_waiting = true;
            }
            Event::Admit if self.is_waiting => next.admit(closes_last),
            Event::StartWriting if self.writing.is_none() && self.answered < self.passed_on => {
                next.writing = Some(next.pipeline.closes(self.is_stopping));
            }
            Event::FinishWriting => {
                next.pipeline.finish();
                next.answered += 1;
                next.unanswered.pop_front();
                next.is_ended = next.writing.take()?;
            }
            Event::IdleTimeout if !self.is_waiting => next.is_ended = next.pipeline.close_idle(),
            _ => return None,
        }
        (next != *self).then_some(next)
    }

    fn admit(&mut self, closes_last: bool) {
        let is_last = closes_last && self.read == REQUESTS;
        let step = self.pipeline.admit(self.now, is_last, self.is_stopping);
        match step {
            PipelineStep::PassOn => {
                assert_ne!(
                    self.writing,
                    Some(true),
                    "behind the last response: {self:?}"
                );
                let oldest = self.unanswered.front();
                let is_held_up = oldest.is_some_and(|since| *since < self.now);
                assert!(
                    !is_held_up || !self.is_stopping,
                    "behind a long one: {self:?}"
                );
                self.unanswered.push_back(self.now);
                self.passed_on += 1;
                self.is_waiting = false;
            }
            PipelineStep::Reject => self.is_waiting = false,
            PipelineStep::Wait => {}
        }
    }
}

/// Visits all states. Returns their number.
fn search(closes_last: bool) -> usize {
    let mut seen = HashSet::new();
    let mut open = vec![Model::new()];
    while let Some(model) = open.pop() {
        if !seen.insert(format!("{model:?}")) {
            continue;
        }
        if model.is_ended {
            assert_eq!(model.answered, model.passed_on, "cut: {model:?}");
            continue;
        }
        let next: Vec<_> = EVENTS
            .iter()
            .filter_map(|event| model.after(*event, closes_last))
            .collect();
        assert!(!next.is_empty(), "stuck: {model:?}");
        open.extend(next);
    }
    seen.len()
}

/// Guards against requests that are passed on behind the response that closes their
/// connection, and against connections that are never closed.
#[test]
fn all_orders() {
    for closes_last in [false, true] {
        let states = search(closes_last);
        assert!(states > 50, "{states}");
    }
}
