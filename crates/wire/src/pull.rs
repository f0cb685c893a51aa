//! Conversions of pull requests, and of pull replies to the chunks of a gRPC
//! stream.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use celeryshore_kernel::DeltaStep;
use celeryshore_kernel::Helper;
use celeryshore_kernel::PullReply;
use celeryshore_kernel::PullRequest;
use celeryshore_model::Version;

use crate::Error;
use crate::Result;
use crate::convert;
use crate::convert::micros;
use crate::convert::parse;
use crate::convert::required;
use crate::datagram::parse_address;
use crate::generated::control as raw;
use crate::generated::control::pull_chunk::Kind;

/// Maximum payload of a chunk.
const CHUNK_BYTES: usize = 64 * 1_024;

/// Maximum payload of a pull reply, over all of its chunks.
const MAX_PULL_BYTES: usize = 8 * 1_024 * 1_024;

impl From<PullRequest> for raw::PullRequest {
    fn from(req: PullRequest) -> Self {
        let has_base = req.base != Version::default();
        Self {
            base: has_base.then(|| req.base.into()),
        }
    }
}

impl TryFrom<raw::PullRequest> for PullRequest {
    type Error = Error;

    fn try_from(raw: raw::PullRequest) -> Result<Self> {
        let base = match raw.base {
            Some(base) => convert::version(Some(base))?,
            None => Version::default(),
        };
        Ok(Self { base })
    }
}

/// Splits a reply into the chunks of a stream.
pub(crate) fn to_chunks(reply: PullReply) -> Vec<raw::PullChunk> {
    let kinds = match reply {
        PullReply::NotNewer { version } => vec![Kind::NotNewer(version.into())],
        PullReply::Busy {
            retry_after,
            others,
        } => vec![Kind::Busy(busy(retry_after, others))],
        PullReply::Deltas(steps) => steps.into_iter().map(delta).collect(),
        PullReply::Snapshot { version, packed } => snapshot(version, packed),
    };
    let count = kinds.len();
    let chunks = kinds.into_iter().enumerate();
    chunks
        .map(|(i, kind)| raw::PullChunk {
            kind: Some(kind),
            last: i + 1 == count,
        })
        .collect()
}

fn busy(retry_after: Duration, others: Vec<Helper>) -> raw::Busy {
    let others = others.into_iter().map(|helper| raw::Helper {
        vm: helper.vm.to_string(),
        control: helper.control.to_string(),
    });
    raw::Busy {
        retry_after_us: micros(retry_after),
        others: others.collect(),
    }
}

fn delta(step: DeltaStep) -> Kind {
    Kind::Delta(raw::DeltaStep {
        version: Some(step.version.into()),
        delta: step.delta,
    })
}

/// Returns the parts of a snapshot: at least one, of which the first has the version.
fn snapshot(version: Version, mut packed: Bytes) -> Vec<Kind> {
    let mut kinds = Vec::new();
    let mut version = Some(version.into());
    while version.is_some() || !packed.is_empty() {
        let data = packed.split_to(packed.len().min(CHUNK_BYTES));
        let version = version.take();
        kinds.push(Kind::Snapshot(raw::SnapshotPart { version, data }));
    }
    kinds
}

/// Assembles a reply from the chunks of a stream.
#[derive(Default)]
pub(crate) struct ReplyAssembler {
    reply: Option<PullReply>,
    version: Option<Version>,
    steps: Vec<DeltaStep>,
    packed: BytesMut,
    payload_bytes: usize,
}

impl ReplyAssembler {
    /// Adds a chunk. Returns the reply if this was the last chunk, or `None` if more
    /// chunks follow.
    pub(crate) fn push(&mut self, chunk: raw::PullChunk) -> Result<Option<PullReply>> {
        match required(chunk.kind, "kind")? {
            Kind::NotNewer(raw) => {
                let version = convert::version(Some(raw))?;
                self.reply = Some(PullReply::NotNewer { version });
            }
            Kind::Busy(raw) => self.reply = Some(from_busy(raw)?),
            Kind::Delta(raw) => self.push_delta(raw)?,
            Kind::Snapshot(raw) => self.push_snapshot_part(raw)?,
        }
        if chunk.last {
            Ok(Some(self.finish()))
        } else {
            Ok(None)
        }
    }

    fn push_delta(&mut self, raw: raw::DeltaStep) -> Result<()> {
        self.add_payload(raw.delta.len())?;
        self.steps.push(DeltaStep {
            version: convert::version(raw.version)?,
            delta: raw.delta,
        });
        Ok(())
    }

    fn push_snapshot_part(&mut self, raw: raw::SnapshotPart) -> Result<()> {
        self.add_payload(raw.data.len())?;
        if self.version.is_none() {
            self.version = Some(convert::version(raw.version)?);
        }
        self.packed.extend_from_slice(&raw.data);
        Ok(())
    }

    fn add_payload(&mut self, bytes: usize) -> Result<()> {
        self.payload_bytes += bytes;
        if self.payload_bytes > MAX_PULL_BYTES {
            return Err(Error::too_long(
                self.payload_bytes as u64,
                MAX_PULL_BYTES as u64,
            ));
        }
        Ok(())
    }

    fn finish(&mut self) -> PullReply {
        if let Some(reply) = self.reply.take() {
            return reply;
        }
        if let Some(version) = self.version.take() {
            let packed = std::mem::take(&mut self.packed).freeze();
            return PullReply::Snapshot { version, packed };
        }
        PullReply::Deltas(std::mem::take(&mut self.steps))
    }
}

fn from_busy(raw: raw::Busy) -> Result<PullReply> {
    let others = raw.others.into_iter().map(|helper| {
        Ok(Helper {
            vm: parse(&helper.vm)?,
            control: parse_address(&helper.control)?,
        })
    });
    Ok(PullReply::Busy {
        retry_after: Duration::from_micros(raw.retry_after_us),
        others: others.collect::<Result<_>>()?,
    })
}
