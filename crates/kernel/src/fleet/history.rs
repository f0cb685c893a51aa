//! Latest deltas, the last of which produced the configuration in effect.

use std::collections::VecDeque;

use celeryshore_model::Version;

use super::prepare::Chain;
use super::pull::DeltaStep;

const MAX_DELTAS: usize = 64;
const MAX_DELTA_BYTES: usize = 512 * 1_024;

/// Contiguous chain of the latest deltas, oldest first. The oldest ones are
/// dropped when their number or total size exceeds its limit.
#[derive(Debug, Default)]
pub struct History {
    from: Version,
    steps: VecDeque<DeltaStep>,
    bytes: usize,
}

impl History {
    /// Appends a chain of deltas that starts from `base`. Clears the history if
    /// there is no chain or it starts from another version.
    pub fn extend(&mut self, base: Version, chain: Option<Chain>) {
        let Some(chain) = chain.filter(|c| c.from == base) else {
            *self = Self::default();
            return;
        };
        if self.steps.back().map(|s| s.version) != Some(base) {
            *self = Self::default();
            self.from = base;
        }
        self.bytes += chain.steps.iter().map(|s| s.delta.len()).sum::<usize>();
        self.steps.extend(chain.steps);
        while self.steps.len() > MAX_DELTAS || self.bytes > MAX_DELTA_BYTES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(step) = self.steps.pop_front() {
            self.bytes -= step.delta.len();
            self.from = step.version;
        }
    }

    /// Returns the deltas from `base` to the newest version, or `None` if
    /// `base` is not in the history.
    pub fn deltas_since(&self, base: Version) -> Option<Vec<DeltaStep>> {
        if self.steps.is_empty() {
            return None;
        }
        if base == self.from {
            return Some(self.steps.iter().cloned().collect());
        }
        let at = self.steps.iter().position(|s| s.version == base)?;
        Some(self.steps.iter().skip(at + 1).cloned().collect())
    }

    /// Returns the number of deltas kept.
    pub fn len(&self) -> usize {
        self.steps.len()
    }
}
