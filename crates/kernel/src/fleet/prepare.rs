//! Preparation of a received configuration: proving, judging and packing.
//!
//! A preparation is a pure function of what was received, and may take long
//! for a large configuration, so the driver runs it away from the decisions.

use std::sync::Arc;

use bytes::Bytes;
use celeryshore_model::Index;
use celeryshore_model::Snapshot;
use celeryshore_model::Version;

use super::pull::DeltaStep;

/// A rules text with the version that it was judged as.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base {
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
        base: Option<Base>,
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
        base: Base,
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
    Pack(Base),
}

/// Result of a preparation.
#[derive(Clone, Debug)]
pub enum Prepared {
    /// A configuration that may come into force.
    Ready(Candidate),
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
        /// Version of the text, with the default epoch if it has none.
        version: Version,
        /// Why it was refused.
        error: String,
    },
    /// What was received does not prove equal to its digest.
    Unproven,
    /// The packed configuration.
    Packed {
        /// Version of the configuration.
        version: Version,
        /// The packed rules text.
        packed: Bytes,
    },
}

/// A configuration that was proven and judged good.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The rules text and its version.
    pub text: Base,
    /// What the text says.
    pub snapshot: Arc<Snapshot>,
    /// Deltas that led here, from the version before them.
    pub steps: Option<Chain>,
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
