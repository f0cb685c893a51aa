//! Conversions of catalog messages, by which nodes share the items of the
//! platform's store.

use std::io::Read;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::CatalogAnswer;
use celeryshore_kernel::CatalogProgress;
use celeryshore_kernel::CatalogRequest;
use celeryshore_kernel::Item;
use celeryshore_kernel::ItemKey;
use celeryshore_kernel::Position;
use celeryshore_kernel::StoreEra;
use celeryshore_kernel::StoreRevision;
use celeryshore_kernel::StoreSection;
use celeryshore_model::Incarnation;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::read::ZlibEncoder;

use crate::Error;
use crate::Result;
use crate::convert::micros;
use crate::convert::required;
use crate::convert::version;
use crate::generated::exchange as raw;
use crate::generated::exchange::catalog_item::Value as RawValue;

/// Shorter values are sent uncompressed, because compression would save little.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// Limit of the decompressed size of a value. Stores hold values of up to a
/// megabyte.
const MAX_VALUE_BYTES: u64 = 4 * 1_024 * 1_024;

/// A revision of each section.
type Revisions = [StoreRevision; StoreSection::ALL.len()];

impl From<Position> for raw::Position {
    fn from(position: Position) -> Self {
        Self {
            incarnation: position.incarnation.0,
            sequence: position.sequence,
        }
    }
}

impl From<raw::Position> for Position {
    fn from(raw: raw::Position) -> Self {
        Self {
            incarnation: Incarnation(raw.incarnation),
            sequence: raw.sequence,
        }
    }
}

impl From<CatalogRequest> for raw::CatalogRequest {
    fn from(request: CatalogRequest) -> Self {
        Self {
            position: request.position.map(Into::into),
            wait_micros: micros(request.wait),
            known: request.known.map(encode_revisions),
        }
    }
}

impl From<raw::CatalogRequest> for CatalogRequest {
    fn from(raw: raw::CatalogRequest) -> Self {
        Self {
            position: raw.position.map(Into::into),
            wait: Duration::from_micros(raw.wait_micros),
            known: raw.known.map(decode_revisions),
        }
    }
}

impl From<CatalogAnswer> for raw::CatalogAnswer {
    fn from(answer: CatalogAnswer) -> Self {
        let [configuration, upstreams] = answer.revisions;
        Self {
            position: Some(answer.position.into()),
            age_micros: answer.age.map(micros),
            version: Some(answer.version.into()),
            configuration_revision: configuration.number,
            upstreams_revision: upstreams.number,
            configuration_era: configuration.era.0,
            upstreams_era: upstreams.era.0,
            settled: answer.progress.map(|p| encode_revisions(p.settled)),
            history: answer.progress.map(|p| encode_revisions(p.history)),
            is_whole: answer.is_whole,
            items: answer.items.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<raw::CatalogAnswer> for CatalogAnswer {
    type Error = Error;

    fn try_from(raw: raw::CatalogAnswer) -> Result<Self> {
        let items: Result<_> = raw.items.into_iter().map(decode_item).collect();
        Ok(Self {
            position: required(raw.position, "position")?.into(),
            age: raw.age_micros.map(Duration::from_micros),
            version: version(raw.version)?,
            revisions: [
                StoreRevision::new(StoreEra(raw.configuration_era), raw.configuration_revision),
                StoreRevision::new(StoreEra(raw.upstreams_era), raw.upstreams_revision),
            ],
            progress: raw.settled.zip(raw.history).map(|(settled, history)| {
                let settled = decode_revisions(settled);
                let history = decode_revisions(history);
                CatalogProgress { settled, history }
            }),
            is_whole: raw.is_whole,
            items: items?,
        })
    }
}

impl From<(StoreSection, Item)> for raw::CatalogItem {
    fn from((section, item): (StoreSection, Item)) -> Self {
        let section = match section {
            StoreSection::Configuration => raw::StoreSection::Configuration,
            StoreSection::Upstreams => raw::StoreSection::Upstreams,
        };
        Self {
            section: section.into(),
            key: item.key.to_string(),
            revision: item.revision.number,
            era: item.revision.era.0,
            value: item.value.map(compress),
        }
    }
}

const fn encode_revisions(revisions: Revisions) -> raw::Revisions {
    let [configuration, upstreams] = revisions;
    raw::Revisions {
        configuration: configuration.number,
        configuration_era: configuration.era.0,
        upstreams: upstreams.number,
        upstreams_era: upstreams.era.0,
    }
}

const fn decode_revisions(raw: raw::Revisions) -> Revisions {
    [
        StoreRevision::new(StoreEra(raw.configuration_era), raw.configuration),
        StoreRevision::new(StoreEra(raw.upstreams_era), raw.upstreams),
    ]
}

fn decode_item(raw: raw::CatalogItem) -> Result<(StoreSection, Item)> {
    let section = match raw.section() {
        raw::StoreSection::Configuration => StoreSection::Configuration,
        raw::StoreSection::Upstreams => StoreSection::Upstreams,
        raw::StoreSection::Unspecified => return Err(Error::invalid_value("section")),
    };
    let item = Item {
        key: ItemKey::new(&raw.key),
        revision: StoreRevision::new(StoreEra(raw.era), raw.revision),
        value: raw.value.map(decompress).transpose()?,
    };
    Ok((section, item))
}

fn compress(value: Bytes) -> RawValue {
    let mut deflated = Vec::new();
    if value.len() < MIN_COMPRESSED_BYTES {
        return RawValue::Plain(value);
    }
    let result = ZlibEncoder::new(&value[..], Compression::fast()).read_to_end(&mut deflated);
    match result {
        Ok(_) => RawValue::Deflated(deflated.into()),
        Err(_) => RawValue::Plain(value),
    }
}

fn decompress(raw: RawValue) -> Result<Bytes> {
    match raw {
        RawValue::Plain(value) => Ok(value),
        RawValue::Deflated(deflated) => {
            let mut value = Vec::new();
            let read = ZlibDecoder::new(&deflated[..])
                .take(MAX_VALUE_BYTES + 1)
                .read_to_end(&mut value)
                .map_err(|_| Error::invalid_value("deflated"))?;
            if read as u64 > MAX_VALUE_BYTES {
                return Err(Error::invalid_value("deflated"));
            }
            Ok(value.into())
        }
    }
}
