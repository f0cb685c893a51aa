//! Preparation of a configuration: verification, validation and packing.
//!
//! Verification checks a rules text against the digest in its version.
//! Validation parses and checks the rules. Packing compresses the text.
//!
//! A preparation is a pure function of its input. It may take long for a large
//! configuration, so the driver runs it outside the state machine.

use std::sync::Arc;

use bytes::Bytes;
use celeryshore_model::Digest;
use celeryshore_model::Index;
use celeryshore_model::Snapshot;
use celeryshore_model::Version;
use celeryshore_rules::Delta;
use celeryshore_rules::Manifest;

use super::pull::DeltaStep;

/// Rules text with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RulesText {
    /// Version of the text.
    pub version: Version,
    /// Full rules text.
    pub text: Bytes,
}

/// Work that the driver runs outside the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prepare {
    /// Validate a value read from the platform.
    Read {
        /// Rules text in effect, from which the delta is computed.
        base: Option<RulesText>,
        /// Index of the response.
        index: Index,
        /// Value of the rules key: the rules text, or a manifest of its parts.
        value: Bytes,
        /// Parts that the manifest names, in its order. Empty until they were
        /// read.
        parts: Vec<Bytes>,
    },
    /// Verify and validate a chain of deltas.
    Deltas {
        /// Rules text that the chain starts from.
        base: RulesText,
        /// Deltas of the chain, oldest first.
        steps: Vec<DeltaStep>,
    },
    /// Verify and validate a packed configuration.
    Snapshot {
        /// Version that the sender claims.
        version: Version,
        /// The packed rules text.
        packed: Bytes,
    },
    /// Pack the rules text in effect for peers that are behind.
    Pack(RulesText),
}

/// Result of a preparation.
#[derive(Clone, Debug)]
pub enum Prepared {
    /// The configuration is valid and may be installed.
    Ready {
        /// Origin of the rules text.
        origin: Origin,
        /// The configuration.
        candidate: Candidate,
    },
    /// The value is a manifest, so its parts must be read first.
    NeedParts {
        /// Index of the manifest.
        index: Index,
        /// The manifest.
        manifest: Bytes,
        /// Keys of the parts, in order.
        keys: Vec<String>,
    },
    /// The rules text is invalid.
    Refused {
        /// Origin of the rules text.
        origin: Origin,
        /// Digest of the rules text.
        digest: Digest,
        /// Reason of the refusal.
        error: celeryshore_rules::Error,
    },
    /// The received data could not be verified against its digest and version.
    Unverified(Origin),
    /// The rules text was packed.
    Packed {
        /// Version of the configuration.
        version: Version,
        /// The packed rules text.
        packed: Bytes,
    },
}

/// Origin of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform.
    Source,
    /// Another node.
    Peer,
}

/// Verified and valid configuration that may be installed.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Rules text and its version.
    pub rules: RulesText,
    /// Parsed form of the rules text.
    pub snapshot: Arc<Snapshot>,
    /// Deltas that lead to this version. Absent if it was received in full
    /// without a base.
    pub chain: Option<Chain>,
    /// Packed rules text, if it was received in packed form.
    pub packed: Option<Bytes>,
}

/// Chain of deltas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    /// Version that the chain starts from.
    pub from: Version,
    /// Deltas, oldest first.
    pub steps: Vec<DeltaStep>,
}

impl Prepare {
    /// Runs the preparation. The result depends only on its input.
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

/// Verifies that a rules text matches a version, and validates it.
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
