//! Bounds at the callers' port.

use std::str::FromStr;
use std::time::Duration;

use celeryshore_model::ByteSize;
use serde::Deserialize;
use serde::Deserializer;
use serde::de;

const DEFAULT_HEADER_BYTES: u64 = 7 * 1_024;
const DEFAULT_BODY_BYTES: u64 = 1_024 * 1_024;
const DEFAULT_CONNECTIONS: usize = 1_024;
const DEFAULT_IDLE: Duration = Duration::from_mins(1);

/// Bounds at the callers' port.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct SettingsLimits {
    /// Longest header of a request; a longer one is answered with 431.
    #[serde(deserialize_with = "from_text")]
    pub header: ByteSize,
    /// Longest body of a request; a longer one is answered with 413.
    #[serde(deserialize_with = "from_text")]
    pub body: ByteSize,
    /// Connections of callers; one more is answered with 503 and closed.
    pub connections: usize,
    /// Time after which a connection without progress is closed.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
}

impl Default for SettingsLimits {
    fn default() -> Self {
        Self {
            header: ByteSize::new(DEFAULT_HEADER_BYTES),
            body: ByteSize::new(DEFAULT_BODY_BYTES),
            connections: DEFAULT_CONNECTIONS,
            idle: DEFAULT_IDLE,
        }
    }
}

fn from_text<'de, D, T>(d: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: FromStr<Err = celeryshore_model::Error>,
{
    String::deserialize(d)?.parse().map_err(de::Error::custom)
}
