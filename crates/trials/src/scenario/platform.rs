//! Simulated platform: a rules text that nodes read and watch, and the list of
//! leaving VMs.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::ReadAnswer;
use celeryshore_kernel::ReadFailure;
use celeryshore_kernel::ReadId;
use celeryshore_kernel::ReadQuery;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::VmName;

use super::event_queue::ProcessId;
use super::script::SourceMode;

/// Time for which the platform stays up, and then down, while it flaps.
const FLAP_PERIOD: Duration = Duration::from_millis(700);

/// Difference between the indexes of two consecutive values.
const INDEX_STEP: u64 = 10;

/// Read that blocks until the value changes or its wait time is over.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) pid: ProcessId,
    pub(super) read: ReadId,
    until: Time,
    /// Index that the node already has.
    known: Index,
}

/// Result of a read.
pub(super) type ReadResult = Result<ReadAnswer, ReadFailure>;

/// Published rules text with its index.
#[derive(Clone, Debug)]
struct Value {
    index: Index,
    text: Bytes,
}

/// Store of the platform with all values published so far.
#[derive(Debug, Default)]
pub(super) struct Platform {
    mode: SourceMode,
    values: Vec<Value>,
    /// Number of values when the mode was last set; `Stale` and `Older` show none
    /// of the later ones.
    visible_count: usize,
    watches: Vec<Watch>,
    /// VMs that are listed as leaving.
    pub(super) leaving: Vec<VmName>,
    /// Number of reads received so far.
    pub(super) reads: u64,
}

impl Platform {
    /// Publishes a value and returns its index.
    pub(super) fn publish(&mut self, text: Bytes) -> Index {
        let steps = u64::try_from(self.values.len()).unwrap_or_default() + 1;
        let index = Index(steps * INDEX_STEP);
        self.values.push(Value { index, text });
        index
    }

    /// Sets how the platform answers from now on.
    pub(super) fn set_mode(&mut self, mode: SourceMode) {
        self.mode = mode;
        self.visible_count = self.values.len();
    }

    /// Answers a read, or adds a watch and returns `None`.
    pub(super) fn read(
        &mut self,
        pid: ProcessId,
        read: ReadId,
        query: &ReadQuery,
        now: Time,
    ) -> Option<ReadResult> {
        self.reads += 1;
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
                    pid,
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

    /// Removes the watch of a read that the node abandoned.
    pub(super) fn abandon(&mut self, pid: ProcessId, read: ReadId) {
        self.watches.retain(|w| (w.pid, w.read) != (pid, read));
    }

    /// Removes and returns the watches that are due, with their results.
    pub(super) fn take_due(&mut self, now: Time) -> Vec<(Watch, ReadResult)> {
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
            SourceMode::Stale => self.values.get(self.visible_count.checked_sub(1)?),
            SourceMode::Older => {
                let older = self.values.get(self.visible_count.checked_sub(2)?);
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
