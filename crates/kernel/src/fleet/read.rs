//! Reads of the platform that are due, under way or done.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Digest;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::Version;

use super::event::ReadId;
use super::event::ReadQuery;

/// Whether this node is to read the platform now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// No.
    Off,
    /// Once in a while, because it cannot learn from peers.
    Occasional {
        /// Mean time between two reads.
        period: Duration,
    },
    /// It is one of the readers of its zone.
    Watch {
        /// Time between two watches, so that many readers stay bounded.
        pause: Duration,
    },
}

/// What a reader does at the moment.
#[derive(Debug)]
pub enum Activity {
    /// It waits for its next read.
    Idle {
        /// When the next read may start; absent while it is not its turn.
        not_before: Option<Time>,
    },
    /// It waits for an answer.
    Reading(Reading),
    /// It waits for the parts of a manifest.
    Parts(Parts),
    /// It waits for a judgement.
    Validating {
        /// Index of the answer.
        index: Index,
        /// Digest of the value.
        digest: Digest,
        /// When the judgement began.
        since: Time,
    },
}

/// A read of the rules key that is under way.
#[derive(Debug)]
pub struct Reading {
    /// Number of the read.
    pub read: ReadId,
    /// Whether it is one of a reader's watches.
    pub watch: bool,
    /// When it was sent.
    pub issued: Time,
    /// When it is given up.
    pub deadline: Time,
}

/// Reads of the parts of a manifest.
#[derive(Debug)]
pub struct Parts {
    /// Index of the manifest.
    pub index: Index,
    /// The manifest.
    pub manifest: Bytes,
    /// Reads that are under way, with the place of their part.
    pub waiting: BTreeMap<ReadId, usize>,
    /// The parts, empty until they were read.
    pub values: Vec<Bytes>,
    /// When they are given up.
    pub deadline: Time,
}

/// A call on the platform that is to be made.
#[derive(Debug)]
pub struct Call {
    /// Number of the read.
    pub read: ReadId,
    /// What to read.
    pub query: ReadQuery,
    /// When to give up.
    pub deadline: Time,
}

/// A value of the rules key, read whole.
#[derive(Debug)]
pub struct RulesValue {
    /// Index of the answer.
    pub index: Index,
    /// The value.
    pub value: Bytes,
    /// Parts, if the value is a manifest whose parts were read.
    pub parts: Vec<Bytes>,
}

/// What a value of the rules key was judged to be.
#[derive(Debug)]
pub struct Validated {
    /// Index of the answer.
    pub index: Index,
    /// Digest of the value.
    pub digest: Digest,
    /// Version that it gave; absent if it was refused.
    pub version: Option<Version>,
}
