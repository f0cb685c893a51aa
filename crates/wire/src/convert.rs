//! Conversions of values that occur in several messages.

use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::TargetStatement;
use celeryshore_model::Digest;
use celeryshore_model::Epoch;
use celeryshore_model::Header;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_model::Index;
use celeryshore_model::KindId;
use celeryshore_model::KindName;
use celeryshore_model::Rate;
use celeryshore_model::RoutePlace;
use celeryshore_model::Version;

use crate::Error;
use crate::Result;
use crate::generated::exchange as raw;

/// Returns the value of a required field, or an error if it is absent.
pub(crate) fn required<T>(value: Option<T>, field: &'static str) -> Result<T> {
    value.ok_or_else(|| Error::missing_field(field))
}

/// Parses a name or an idempotency key.
pub(crate) fn parse<T>(value: &str) -> Result<T>
where
    T: FromStr<Err = celeryshore_model::Error>,
{
    Ok(value.parse()?)
}

/// Returns a duration in microseconds, saturating at `u64::MAX`.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

pub(crate) fn digest(value: &[u8]) -> Result<Digest> {
    Ok(Digest::from_slice(value)?)
}

pub(crate) fn raw_digest(value: &Digest) -> Bytes {
    Bytes::copy_from_slice(value.as_bytes())
}

impl From<TargetStatement> for raw::TargetStatement {
    fn from(statement: TargetStatement) -> Self {
        Self {
            rate_limit_per_mille: statement.rate_limit.map(Rate::per_mille),
            target: statement.target.0,
            age_micros: micros(statement.age),
            leaving: statement.is_leaving,
        }
    }
}

impl From<raw::TargetStatement> for TargetStatement {
    fn from(raw: raw::TargetStatement) -> Self {
        Self {
            rate_limit: raw.rate_limit_per_mille.map(Rate::from_per_mille),
            target: Incarnation(raw.target),
            age: Duration::from_micros(raw.age_micros),
            is_leaving: raw.leaving,
        }
    }
}

impl From<Version> for raw::Version {
    fn from(version: Version) -> Self {
        Self {
            epoch: version.epoch.0,
            index: version.index.0,
            digest: raw_digest(&version.digest),
        }
    }
}

pub(crate) fn version(raw: Option<raw::Version>) -> Result<Version> {
    let raw = required(raw, "version")?;
    Ok(Version::new(
        Epoch(raw.epoch),
        Index(raw.index),
        digest(&raw.digest)?,
    ))
}

impl From<KindId> for raw::KindId {
    fn from(id: KindId) -> Self {
        Self {
            service: id.service.to_string(),
            kind: id.kind.label().to_owned(),
            place: id.kind.place().map(|place| place.0),
        }
    }
}

pub(crate) fn kind_id(raw: Option<raw::KindId>) -> Result<KindId> {
    let raw = required(raw, "kind")?;
    Ok(KindId {
        service: parse(&raw.service)?,
        kind: parse::<KindName>(&raw.kind)?.with_place(raw.place.map(RoutePlace)),
    })
}

impl From<Header> for raw::Header {
    fn from(header: Header) -> Self {
        Self {
            name: header.name,
            value: header.value,
        }
    }
}

impl From<raw::Header> for Header {
    fn from(raw: raw::Header) -> Self {
        Self {
            name: raw.name,
            value: raw.value,
        }
    }
}

impl From<HttpRequest> for raw::HttpRequest {
    fn from(req: HttpRequest) -> Self {
        Self {
            method: req.method,
            host: req.host,
            path: req.path,
            headers: req.headers.into_iter().map(Into::into).collect(),
            body: req.body,
        }
    }
}

impl From<raw::HttpRequest> for HttpRequest {
    fn from(raw: raw::HttpRequest) -> Self {
        Self {
            method: raw.method,
            host: raw.host,
            path: raw.path,
            headers: raw.headers.into_iter().map(Into::into).collect(),
            body: raw.body,
        }
    }
}

impl From<HttpResponse> for raw::HttpResponse {
    fn from(res: HttpResponse) -> Self {
        Self {
            status: res.status.into(),
            headers: res.headers.into_iter().map(Into::into).collect(),
            body: res.body,
        }
    }
}

impl TryFrom<raw::HttpResponse> for HttpResponse {
    type Error = Error;

    fn try_from(raw: raw::HttpResponse) -> Result<Self> {
        let status = u16::try_from(raw.status).map_err(|_| Error::invalid_value("status"))?;
        Ok(Self {
            status,
            headers: raw.headers.into_iter().map(Into::into).collect(),
            body: raw.body,
        })
    }
}
