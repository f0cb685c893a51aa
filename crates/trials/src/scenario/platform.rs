//! The fake platform: one value that can be read and watched.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::ReadAnswer;
use celeryshore_kernel::ReadFailure;
use celeryshore_kernel::ReadId;
use celeryshore_kernel::ReadQuery;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::VmName;

use super::event_queue::Life;
use super::script::SourceMode;

/// Time that the platform is up, and then down, while it flaps.
const FLAP_PERIOD: Duration = Duration::from_millis(700);

/// Steps of the index from one value to the next.
const INDEX_STEP: u64 = 10;

/// A read that waits for another value.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) life: Life,
    pub(super) read: ReadId,
    until: Time,
    known: Index,
}

/// Reply to a read.
pub(super) type ReadResult = Result<ReadAnswer, ReadFailure>;

/// A value of the platform.
#[derive(Clone, Debug)]
struct Value {
    index: Index,
    text: Bytes,
}

/// One value that can be read and watched, and a list of leaving VMs.
#[derive(Debug, Default)]
pub(super) struct Platform {
    mode: SourceMode,
    values: Vec<Value>,
    /// Number of values that are visible while the platform is stale.
    visible: usize,
    watches: Vec<Watch>,
    pub(super) leaving: Vec<VmName>,
    pub(super) calls: u64,
}

impl Platform {
    /// Stores a value and returns its index.
    pub(super) fn publish(&mut self, text: Bytes) -> Index {
        let steps = u64::try_from(self.values.len()).unwrap_or_default() + 1;
        let index = Index(steps * INDEX_STEP);
        self.values.push(Value { index, text });
        index
    }

    /// Changes the state of the platform.
    pub(super) fn set_mode(&mut self, mode: SourceMode) {
        self.mode = mode;
        self.visible = self.values.len();
    }

    /// Answers a read, unless it has to wait.
    pub(super) fn read(
        &mut self,
        life: Life,
        read: ReadId,
        query: &ReadQuery,
        now: Time,
    ) -> Option<ReadResult> {
        self.calls += 1;
        if self.is_down(now) {
            return Some(Err(ReadFailure::Unreachable));
        }
        match query {
            ReadQuery::Rules { index, wait } => {
                let known = index.filter(|known| self.index() == Some(*known));
                let Some(known) = known else {
                    return Some(self.value());
                };
                let until = now + *wait;
                let watch = Watch {
                    life,
                    read,
                    until,
                    known,
                };
                self.watches.push(watch);
                None
            }
            ReadQuery::Part { .. } => Some(Err(ReadFailure::Status)),
            ReadQuery::Vms => Some(Ok(ReadAnswer::Leaving(self.leaving.clone()))),
        }
    }

    /// Forgets a read that was given up.
    pub(super) fn abandon(&mut self, life: Life, read: ReadId) {
        self.watches.retain(|w| (w.life, w.read) != (life, read));
    }

    /// Returns the watches that now have an answer.
    pub(super) fn due(&mut self, now: Time) -> Vec<(Watch, ReadResult)> {
        let is_down = self.is_down(now);
        let index = self.index();
        let (due, waiting) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|w| is_down || w.until <= now || Some(w.known) != index);
        self.watches = waiting;
        let due: Vec<Watch> = due;
        let answers = due.into_iter().map(|watch| {
            let answer = if is_down {
                Err(ReadFailure::Unreachable)
            } else {
                self.value()
            };
            (watch, answer)
        });
        answers.collect()
    }

    fn is_down(&self, now: Time) -> bool {
        match self.mode {
            SourceMode::Down => true,
            SourceMode::Flap => {
                let periods = (now - Time::ZERO).as_millis() / FLAP_PERIOD.as_millis();
                periods % 2 == 1
            }
            _ => false,
        }
    }

    fn current(&self) -> Option<&Value> {
        match self.mode {
            SourceMode::Stale => self.values.get(self.visible.checked_sub(1)?),
            SourceMode::Older => {
                let older = self.values.get(self.visible.checked_sub(2)?);
                older.or(self.values.first())
            }
            _ => self.values.last(),
        }
    }

    fn index(&self) -> Option<Index> {
        self.current().map(|value| value.index)
    }

    fn value(&self) -> ReadResult {
        let Some(Value { index, text }) = self.current().cloned() else {
            return Err(ReadFailure::Status);
        };
        let value = match self.mode {
            SourceMode::Torn => text.slice(..text.len() / 2),
            _ => text,
        };
        Ok(ReadAnswer::Value { index, value })
    }
}
