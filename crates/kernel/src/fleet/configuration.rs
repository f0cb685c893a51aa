//! The configuration in force and what was refused.

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

/// A text that was refused whole.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Digest of the text.
    pub digest: Digest,
    /// Why it was refused.
    pub error: celeryshore_rules::Error,
}

/// A configuration that was put in force.
#[derive(Debug)]
pub struct Installed {
    /// The rules text and its version.
    pub rules: RulesText,
    /// What the text says.
    pub snapshot: Arc<Snapshot>,
    /// The packed text, once it was needed.
    pub packed: Option<Bytes>,
    /// When it was put in force.
    pub since: Time,
}

/// The configuration in force; its version only ever grows.
#[derive(Debug, Default)]
pub struct Configuration {
    current: Option<Installed>,
    history: History,
    refusals: VecDeque<Refusal>,
}

impl Configuration {
    /// Returns the version in force, or the default if there is none.
    pub fn version(&self) -> Version {
        self.current
            .as_ref()
            .map_or_else(Version::default, |c| c.rules.version)
    }

    /// Returns the configuration in force.
    pub const fn current(&self) -> Option<&Installed> {
        self.current.as_ref()
    }

    /// Returns text and version in force, or the empty default.
    pub fn rules(&self) -> Option<RulesText> {
        self.current.as_ref().map(|c| c.rules.clone())
    }

    /// Puts a candidate in force if it is newer, and says whether it did.
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

    /// Keeps the packed text if it is still that of the version in force.
    pub fn set_packed(&mut self, version: Version, packed: Bytes) {
        if let Some(current) = self.current.as_mut().filter(|c| c.rules.version == version) {
            current.packed = Some(packed);
        }
    }

    /// Returns the deltas from `base` to the version in force, if all are held.
    pub fn deltas_since(&self, base: Version) -> Option<Vec<DeltaStep>> {
        self.history.deltas_since(base)
    }

    /// Returns the number of deltas that are held.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// Remembers a text that was refused; says whether it is the first time.
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

    /// Returns whether a text with this digest was refused.
    pub fn is_refused(&self, digest: &Digest) -> bool {
        self.refusals.iter().any(|r| &r.digest == digest)
    }

    /// Returns the texts that were refused, oldest first.
    pub fn refusals(&self) -> impl Iterator<Item = &Refusal> {
        self.refusals.iter()
    }
}
