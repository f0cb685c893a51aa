//! Usual answer times of a target, to notice when they jump.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;

/// An answer that takes this many times as long as usual is slow.
const JUMP_FACTOR: u32 = 3;
/// Answers this much slower than usual are not slow, whatever the factor.
const JITTER: Duration = Duration::from_millis(10);
/// Slow answers in a row that make a jump.
const JUMP_ANSWERS: u32 = 3;
/// Weight of the latest answer in the usual time, as a divisor.
const SMOOTHING: u32 = 8;

/// Usual answer times by request kind.
#[derive(Debug)]
pub(super) struct Latency {
    usual: BTreeMap<KindId, Duration>,
    slow: u32,
}

impl Latency {
    /// Makes the times of a target that nothing is known of.
    pub(super) const fn new() -> Self {
        Self {
            usual: BTreeMap::new(),
            slow: 0,
        }
    }

    /// Takes one answer's time; tells whether times have jumped.
    pub(super) fn is_jump(&mut self, kind: &KindId, elapsed: Duration) -> bool {
        let Some(usual) = self.usual.get_mut(kind) else {
            self.usual.insert(kind.clone(), elapsed);
            return false;
        };
        if elapsed > *usual * JUMP_FACTOR + JITTER {
            self.slow += 1;
            return self.slow >= JUMP_ANSWERS;
        }
        self.slow = 0;
        *usual = (*usual * (SMOOTHING - 1) + elapsed) / SMOOTHING;
        false
    }
}
