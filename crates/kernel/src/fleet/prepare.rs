//! Preparation of a received configuration: proving, judging and packing.
//!
//! A preparation is a pure function of what was received, and may take long
//! for a large configuration, so the driver runs it away from the decisions.

use std::sync::Arc;

use bytes::Bytes;
use celeryshore_model::Digest;
use celeryshore_model::Index;
use celeryshore_model::Snapshot;
use celeryshore_model::Version;
use celeryshore_rules::Delta;
use celeryshore_rules::Manifest;

use super::pull::DeltaStep;

/// A rules text with the version that it was judged as.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RulesText {
    /// Version of the text.
    pub version: Version,
    /// The whole rules text.
    pub text: Bytes,
}

/// Work to be done away from the decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prepare {
    /// Judge what the platform answered.
    Read {
        /// Configuration in force, to compute the delta from.
        base: Option<RulesText>,
        /// Index of the answer.
        index: Index,
        /// The value of the key, and of its parts if it is a manifest.
        value: Bytes,
        /// Parts that the manifest names, in its order.
        parts: Vec<Bytes>,
    },
    /// Prove and judge a chain of deltas.
    Deltas {
        /// Configuration that the chain starts from.
        base: RulesText,
        /// The chain, oldest first.
        steps: Vec<DeltaStep>,
    },
    /// Prove and judge a packed configuration.
    Snapshot {
        /// Version that the helper claims.
        version: Version,
        /// The packed rules text.
        packed: Bytes,
    },
    /// Pack the configuration in force for peers that are behind.
    Pack(RulesText),
}

/// Result of a preparation.
#[derive(Clone, Debug)]
pub enum Prepared {
    /// A configuration that may come into force.
    Ready {
        /// Where it came from.
        origin: Origin,
        /// The configuration.
        candidate: Candidate,
    },
    /// The value is a manifest: its parts must be read first.
    NeedParts {
        /// Index of the manifest.
        index: Index,
        /// The manifest.
        manifest: Bytes,
        /// Keys of the parts, in order.
        keys: Vec<String>,
    },
    /// The text was judged bad.
    Refused {
        /// Where it came from.
        origin: Origin,
        /// Digest of the text.
        digest: Digest,
        /// Why it was refused.
        error: celeryshore_rules::Error,
    },
    /// What was received does not prove equal to its digest.
    Unverified(Origin),
    /// The packed configuration.
    Packed {
        /// Version of the configuration.
        version: Version,
        /// The packed rules text.
        packed: Bytes,
    },
}

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform.
    Source,
    /// Another node.
    Peer,
}

/// A configuration that was proven and judged good.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The rules text and its version.
    pub rules: RulesText,
    /// What the text says.
    pub snapshot: Arc<Snapshot>,
    /// Deltas that led here, from the version before them.
    pub chain: Option<Chain>,
    /// The packed text, if it came packed.
    pub packed: Option<Bytes>,
}

/// A chain of deltas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    /// Version that the chain starts from.
    pub from: Version,
    /// The deltas, oldest first.
    pub steps: Vec<DeltaStep>,
}

impl Prepare {
    /// Does the work. Depends on nothing but what was received.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_kernel::Prepare;
    /// use celeryshore_kernel::Prepared;
    /// use celeryshore_model::Index;
    ///
    /// let work = Prepare::Read {
    ///     base: None,
    ///     index: Index(7),
    ///     value: b"epoch 1  # operations\nzone glasgow region=scotland  # operations\n"[..].into(),
    ///     parts: Vec::new(),
    /// };
    /// assert!(matches!(work.run(), Prepared::Ready { .. }));
    /// ```
    #[must_use]
    pub fn run(self) -> Prepared {
        match self {
            Self::Read {
                base,
                index,
                value,
                parts,
            } => run_read(base.as_ref(), index, value, &parts),
            Self::Deltas { base, steps } => run_deltas(&base, steps),
            Self::Snapshot { version, packed } => run_snapshot(version, packed),
            Self::Pack(base) => Prepared::Packed {
                version: base.version,
                packed: celeryshore_rules::pack(&base.text),
            },
        }
    }
}

fn run_read(base: Option<&RulesText>, index: Index, value: Bytes, parts: &[Bytes]) -> Prepared {
    let text = match Manifest::from_slice(&value) {
        None => value,
        Some(Err(error)) => return refuse(Origin::Source, &value, error),
        Some(Ok(manifest)) if parts.is_empty() => {
            let keys = manifest.parts().iter().map(|p| p.key.clone()).collect();
            return Prepared::NeedParts {
                index,
                manifest: value,
                keys,
            };
        }
        Some(Ok(manifest)) => match manifest.join(parts) {
            Ok(text) => text,
            Err(_) => return Prepared::Unverified(Origin::Source),
        },
    };
    match celeryshore_rules::from_slice(&text, index) {
        Err(error) => refuse(Origin::Source, &text, error),
        Ok(snapshot) => {
            let chain = base.map(|base| delta_chain(base, &text, snapshot.version));
            ready(Origin::Source, text, snapshot, chain, None)
        }
    }
}

fn delta_chain(base: &RulesText, text: &Bytes, version: Version) -> Chain {
    let delta = Delta::between(&base.text, text).to_vec().into();
    Chain {
        from: base.version,
        steps: vec![DeltaStep { version, delta }],
    }
}

fn run_deltas(base: &RulesText, steps: Vec<DeltaStep>) -> Prepared {
    let Some(version) = steps.last().map(|s| s.version) else {
        return Prepared::Unverified(Origin::Peer);
    };
    let applied = steps.iter().try_fold(base.text.clone(), |text, step| {
        Delta::from_slice(&step.delta)?.apply(&text)
    });
    let chain = Chain {
        from: base.version,
        steps,
    };
    match applied {
        Ok(text) => verify(version, text, Some(chain), None),
        Err(_) => Prepared::Unverified(Origin::Peer),
    }
}

fn run_snapshot(version: Version, packed: Bytes) -> Prepared {
    match celeryshore_rules::unpack(&packed) {
        Ok(text) => verify(version, text, None, Some(packed)),
        Err(_) => Prepared::Unverified(Origin::Peer),
    }
}

/// Proves that a text is the one that a version names, and judges it.
fn verify(version: Version, text: Bytes, chain: Option<Chain>, packed: Option<Bytes>) -> Prepared {
    if Digest::of(&text) != version.digest {
        return Prepared::Unverified(Origin::Peer);
    }
    match celeryshore_rules::from_slice(&text, version.index) {
        Err(error) => refuse(Origin::Peer, &text, error),
        Ok(snapshot) if snapshot.version != version => Prepared::Unverified(Origin::Peer),
        Ok(snapshot) => ready(Origin::Peer, text, snapshot, chain, packed),
    }
}

fn refuse(origin: Origin, text: &Bytes, error: celeryshore_rules::Error) -> Prepared {
    Prepared::Refused {
        origin,
        digest: Digest::of(text),
        error,
    }
}

fn ready(
    origin: Origin,
    text: Bytes,
    snapshot: Snapshot,
    chain: Option<Chain>,
    packed: Option<Bytes>,
) -> Prepared {
    let version = snapshot.version;
    let candidate = Candidate {
        rules: RulesText { version, text },
        snapshot: Arc::new(snapshot),
        chain,
        packed,
    };
    Prepared::Ready { origin, candidate }
}
