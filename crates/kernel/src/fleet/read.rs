//! Types that describe reads of the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Digest;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::Version;

use super::event::ReadId;
use super::event::ReadQuery;

/// Whether and how this node reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// The node does not read.
    Off,
    /// The node reads occasionally, because it cannot learn the configuration
    /// from peers.
    Occasional {
        /// Mean time between two reads.
        period: Duration,
    },
    /// The node is one of the readers of its zone and watches the rules key.
    Watch {
        /// Mean time between two watches. Limits the total rate when many nodes
        /// consider themselves readers.
        pause: Duration,
    },
}

/// Current activity of a reader.
#[derive(Debug)]
pub enum Activity {
    /// The reader waits for its next read.
    Idle {
        /// Earliest time of the next read. Absent while no read is planned.
        not_before: Option<Time>,
    },
    /// The reader waits for the response to a read.
    Reading(Reading),
    /// The reader waits for the parts of a manifest.
    Parts(Parts),
    /// The reader waits for the validation of a value.
    Validating {
        /// Index of the response.
        index: Index,
        /// Digest of the value.
        digest: Digest,
        /// Time at which the validation started.
        since: Time,
    },
}

/// Read of the rules key in progress.
#[derive(Debug)]
pub struct Reading {
    /// Identifier of the read.
    pub read: ReadId,
    /// Whether it was started as a watch.
    pub watch: bool,
    /// Time at which the read was sent.
    pub issued: Time,
    /// Time at which the read is abandoned.
    pub deadline: Time,
}

/// Reads of the parts of a manifest.
#[derive(Debug)]
pub struct Parts {
    /// Index of the manifest.
    pub index: Index,
    /// The manifest.
    pub manifest: Bytes,
    /// Reads in progress, with the position of their part in `values`.
    pub waiting: BTreeMap<ReadId, usize>,
    /// Parts in the order of the manifest. Empty until they were read.
    pub values: Vec<Bytes>,
    /// Time at which the reads are abandoned.
    pub deadline: Time,
}

/// Call to the platform that is to be sent.
#[derive(Debug)]
pub struct Call {
    /// Identifier of the read.
    pub read: ReadId,
    /// What is read.
    pub query: ReadQuery,
    /// Time at which the call is abandoned.
    pub deadline: Time,
}

/// Value of the rules key, complete with its parts if they were read.
#[derive(Debug)]
pub struct RulesValue {
    /// Index of the response.
    pub index: Index,
    /// The value.
    pub value: Bytes,
    /// Parts, if the value is a manifest. Empty until they were read.
    pub parts: Vec<Bytes>,
}

/// Result of the validation of a value of the rules key.
#[derive(Debug)]
pub struct Validated {
    /// Index of the response.
    pub index: Index,
    /// Digest of the value.
    pub digest: Digest,
    /// Version of the rules text. Absent if it was refused.
    pub version: Option<Version>,
}
