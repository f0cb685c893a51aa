//! Frames from the node that accepted the connection.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::CatalogAnswer;
use celeryshore_kernel::KnownLoad;
use celeryshore_kernel::LoadReport;
use celeryshore_kernel::MAX_KNOWN_LOADS;
use celeryshore_kernel::NotRun;
use celeryshore_kernel::PeerReply;
use celeryshore_kernel::Reply;
use celeryshore_kernel::ReplyOutcome;
use celeryshore_kernel::Seen;
use celeryshore_kernel::Speed;
use celeryshore_kernel::Vote;
use celeryshore_model::Incarnation;
use celeryshore_model::Rate;

use crate::Error;
use crate::Result;
use crate::convert::micros;
use crate::convert::required;
use crate::convert::version;
use crate::frame;
use crate::generated::exchange as raw;
use crate::generated::exchange::reply::Outcome as RawOutcome;
use crate::generated::exchange::reply_frame::Kind as RawKind;
use crate::generated::exchange::vote::Seen as RawSeen;

/// Frame from the node that accepted the connection, in reply to a
/// [`RequestFrame`](crate::RequestFrame).
///
/// # Example
///
/// ```
/// use celeryshore_wire::ReplyFrame;
///
/// let frame = ReplyFrame::Pong.encode();
/// assert_eq!(ReplyFrame::decode(frame)?, ReplyFrame::Pong);
/// # Ok::<(), celeryshore_wire::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyFrame {
    /// Reply that completes an exchange.
    Reply(PeerReply),
    /// Response to a ping.
    Pong,
    /// Progress message, sent at a fixed interval while the reply is outstanding.
    Working,
    /// Items of the sender's copy of the platform's store.
    Catalog(Box<CatalogAnswer>),
}

impl ReplyFrame {
    /// Encodes the frame with its length prefix.
    #[must_use]
    pub fn encode(self) -> Bytes {
        let kind = match self {
            Self::Pong => RawKind::Pong(raw::Pong {}),
            Self::Working => RawKind::Working(raw::Working {}),
            Self::Catalog(answer) => RawKind::Catalog((*answer).into()),
            Self::Reply(PeerReply::Reply(reply)) => RawKind::Reply((*reply).into()),
            Self::Reply(PeerReply::Vote(vote)) => RawKind::Vote((*vote).into()),
        };
        frame::encode(&raw::ReplyFrame { kind: Some(kind) })
    }

    /// Decodes a complete frame with its length prefix.
    ///
    /// # Errors
    ///
    /// Fails if the frame does not contain a valid message, or if a field is missing
    /// or has an invalid value.
    pub fn decode(frame: Bytes) -> Result<Self> {
        let raw: raw::ReplyFrame = frame::decode(frame)?;
        match required(raw.kind, "kind")? {
            RawKind::Pong(raw::Pong {}) => Ok(Self::Pong),
            RawKind::Working(raw::Working {}) => Ok(Self::Working),
            RawKind::Catalog(raw) => {
                let answer = CatalogAnswer::try_from(raw)?;
                Ok(Self::Catalog(Box::new(answer)))
            }
            RawKind::Reply(raw) => {
                let reply = Reply::try_from(raw)?;
                Ok(Self::Reply(Box::new(reply).into()))
            }
            RawKind::Vote(raw) => {
                let vote = Vote::try_from(raw)?;
                Ok(Self::Reply(Box::new(vote).into()))
            }
        }
    }
}

impl From<Reply> for raw::Reply {
    fn from(reply: Reply) -> Self {
        Self {
            outcome: Some(reply.outcome.into()),
            load: Some(reply.load.into()),
            others: reply.others.into_iter().map(Into::into).collect(),
            run_time_micros: reply.run_time.map(micros),
            longest_run_micros: reply.longest_run.map(micros),
            statement: reply.statement.map(Into::into),
            version: Some(reply.version.into()),
            incarnation: reply.incarnation.0,
        }
    }
}

impl TryFrom<raw::Reply> for Reply {
    type Error = Error;

    fn try_from(raw: raw::Reply) -> Result<Self> {
        Ok(Self {
            outcome: required(raw.outcome, "outcome")?.try_into()?,
            load: required(raw.load, "load")?.into(),
            others: known_loads(raw.others),
            run_time: raw.run_time_micros.map(Duration::from_micros),
            longest_run: raw.longest_run_micros.map(Duration::from_micros),
            statement: raw.statement.map(Into::into),
            version: version(raw.version)?,
            incarnation: Incarnation(raw.incarnation),
        })
    }
}

impl From<ReplyOutcome> for RawOutcome {
    fn from(outcome: ReplyOutcome) -> Self {
        match outcome {
            ReplyOutcome::Answered(res) => Self::Answered(res.into()),
            ReplyOutcome::NotRun {
                reason,
                retry_after,
            } => Self::NotRun(raw::NotRun {
                reason: raw::NotRunReason::from(reason).into(),
                retry_after_micros: micros(retry_after),
                rate_limited: reason == NotRun::RateLimited,
            }),
            ReplyOutcome::Unknown(reason) => Self::Unknown(raw::Unknown {
                reason: raw::UnknownReason::from(reason).into(),
            }),
        }
    }
}

impl TryFrom<RawOutcome> for ReplyOutcome {
    type Error = Error;

    fn try_from(raw: RawOutcome) -> Result<Self> {
        match raw {
            RawOutcome::Answered(res) => Ok(Self::Answered(res.try_into()?)),
            RawOutcome::NotRun(not_run) => Ok(Self::NotRun {
                reason: if not_run.rate_limited {
                    NotRun::RateLimited
                } else {
                    not_run.reason().try_into()?
                },
                retry_after: Duration::from_micros(not_run.retry_after_micros),
            }),
            RawOutcome::Unknown(unknown) => Ok(Self::Unknown(unknown.reason().try_into()?)),
        }
    }
}

impl From<LoadReport> for raw::LoadReport {
    fn from(load: LoadReport) -> Self {
        Self {
            in_flight: load.in_flight,
            limit: load.limit,
            phase: raw::Phase::from(load.phase).into(),
            wait_micros: micros(load.wait),
            service_time_micros: micros(load.service_time),
            link_wait_micros: micros(load.link_wait),
            starts_per_mille: load.starts.per_mille(),
            speed_per_mille: load.speed.map_or(0, Speed::per_mille),
        }
    }
}

impl From<raw::LoadReport> for LoadReport {
    fn from(raw: raw::LoadReport) -> Self {
        Self {
            in_flight: raw.in_flight,
            limit: raw.limit,
            phase: raw.phase().into(),
            wait: Duration::from_micros(raw.wait_micros),
            service_time: Duration::from_micros(raw.service_time_micros),
            link_wait: Duration::from_micros(raw.link_wait_micros),
            starts: Rate::from_per_mille(raw.starts_per_mille),
            speed: Some(raw.speed_per_mille)
                .filter(|per_mille| *per_mille > 0)
                .map(Speed::from_per_mille),
        }
    }
}

impl From<KnownLoad> for raw::KnownLoad {
    fn from(known: KnownLoad) -> Self {
        Self {
            upstream: known.upstream.to_string(),
            target: known.target.0,
            age_micros: micros(known.age),
            load: Some(known.load.into()),
        }
    }
}

/// Decodes the reports of other targets. A malformed one is left out, because the reply is
/// valid without it.
fn known_loads(raw: Vec<raw::KnownLoad>) -> Vec<KnownLoad> {
    let known = raw.into_iter().take(MAX_KNOWN_LOADS);
    known
        .filter_map(|known| {
            Some(KnownLoad {
                upstream: known.upstream.parse().ok()?,
                target: Incarnation(known.target),
                age: Duration::from_micros(known.age_micros),
                load: known.load?.into(),
            })
        })
        .collect()
}

impl From<Vote> for raw::Vote {
    fn from(vote: Vote) -> Self {
        Self {
            seen: Some(vote.seen.into()),
            version: Some(vote.version.into()),
            incarnation: vote.incarnation.0,
        }
    }
}

impl TryFrom<raw::Vote> for Vote {
    type Error = Error;

    fn try_from(raw: raw::Vote) -> Result<Self> {
        Ok(Self {
            seen: required(raw.seen, "seen")?.try_into()?,
            version: version(raw.version)?,
            incarnation: Incarnation(raw.incarnation),
        })
    }
}

impl From<Seen> for RawSeen {
    fn from(seen: Seen) -> Self {
        match seen {
            Seen::Fenced => Self::Fenced(raw::Fenced {}),
            Seen::Outranked(fence) => Self::Outranked(fence.into()),
            Seen::Done(answer) => Self::Done(raw::Done {
                answer: answer.map(Into::into),
            }),
            Seen::Lost => Self::Lost(raw::Lost {}),
            Seen::OtherRequest => Self::OtherRequest(raw::OtherRequest {}),
            Seen::TooYoung => Self::TooYoung(raw::TooYoung {}),
            Seen::Behind => Self::Behind(raw::Behind {}),
        }
    }
}

impl TryFrom<RawSeen> for Seen {
    type Error = Error;

    fn try_from(raw: RawSeen) -> Result<Self> {
        match raw {
            RawSeen::Fenced(_) => Ok(Self::Fenced),
            RawSeen::Outranked(fence) => Ok(Self::Outranked(fence.try_into()?)),
            RawSeen::Done(done) => {
                let answer = done.answer.map(TryInto::try_into).transpose()?;
                Ok(Self::Done(answer))
            }
            RawSeen::Lost(_) => Ok(Self::Lost),
            RawSeen::OtherRequest(_) => Ok(Self::OtherRequest),
            RawSeen::TooYoung(_) => Ok(Self::TooYoung),
            RawSeen::Behind(_) => Ok(Self::Behind),
        }
    }
}
