//! Configuration in effect, and refused rules texts.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use celeryshore_model::Digest;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Version;

use super::history::History;
use super::prepare::Candidate;
use super::prepare::RulesText;
use super::pull::DeltaStep;

const MAX_REFUSALS: usize = 8;

/// Rules text that failed validation. It is refused as a whole.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Digest of the rules text.
    pub digest: Digest,
    /// Reason of the refusal.
    pub error: celeryshore_rules::Error,
}

/// Configuration in effect.
#[derive(Debug)]
pub struct Installed {
    /// Rules text and its version.
    pub rules: RulesText,
    /// Parsed form of the rules text.
    pub snapshot: Arc<Snapshot>,
    /// Packed (compressed) rules text. Absent until a peer needs it.
    pub packed: Option<Bytes>,
    /// Time at which the configuration took effect.
    pub since: Time,
}

/// Holder of the configuration in effect. Its version never decreases.
#[derive(Debug, Default)]
pub struct Configuration {
    current: Option<Installed>,
    history: History,
    refusals: VecDeque<Refusal>,
}

impl Configuration {
    /// Returns the version in effect, or the default version if there is none.
    pub fn version(&self) -> Version {
        self.current
            .as_ref()
            .map_or_else(Version::default, |c| c.rules.version)
    }

    /// Returns the configuration in effect.
    pub const fn current(&self) -> Option<&Installed> {
        self.current.as_ref()
    }

    /// Returns the rules text in effect and its version.
    pub fn rules(&self) -> Option<RulesText> {
        self.current.as_ref().map(|c| c.rules.clone())
    }

    /// Installs a candidate if it is newer than the version in effect. Returns
    /// `true` if it was installed.
    pub fn install(&mut self, candidate: Candidate, now: Time) -> bool {
        let version = self.version();
        if candidate.rules.version <= version {
            return false;
        }
        self.history.extend(version, candidate.chain);
        self.current = Some(Installed {
            rules: candidate.rules,
            snapshot: candidate.snapshot,
            packed: candidate.packed,
            since: now,
        });
        true
    }

    /// Stores the packed rules text if `version` is still in effect.
    pub fn set_packed(&mut self, version: Version, packed: Bytes) {
        if let Some(current) = self.current.as_mut().filter(|c| c.rules.version == version) {
            current.packed = Some(packed);
        }
    }

    /// Returns the deltas from `base` to the version in effect, or `None` if
    /// some of them are no longer kept.
    pub fn deltas_since(&self, base: Version) -> Option<Vec<DeltaStep>> {
        self.history.deltas_since(base)
    }

    /// Returns the number of deltas kept.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// Records a refused rules text. Returns `false` if it was recorded before.
    pub fn refuse(&mut self, digest: Digest, error: celeryshore_rules::Error) -> bool {
        if self.is_refused(&digest) {
            return false;
        }
        if self.refusals.len() == MAX_REFUSALS {
            self.refusals.pop_front();
        }
        self.refusals.push_back(Refusal { digest, error });
        true
    }

    /// Returns `true` if the rules text with this digest was refused.
    pub fn is_refused(&self, digest: &Digest) -> bool {
        self.refusals.iter().any(|r| &r.digest == digest)
    }

    /// Returns the last refused rules texts, oldest first.
    pub fn refusals(&self) -> impl Iterator<Item = &Refusal> {
        self.refusals.iter()
    }
}
