//! Limits at the callers' port.

use std::fmt::Display;
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
const DEFAULT_LEAVING: Duration = Duration::from_secs(1);

/// Limits at the callers' port. If the configuration sets limits too, its limits replace
/// `body` and `idle`, and the smaller header limit applies.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct SettingsLimits {
    /// Maximum length of a request header; a longer one is answered with 431.
    #[serde(deserialize_with = "header")]
    pub header: ByteSize,
    /// Maximum length of a request body; a longer one is answered with 413.
    #[serde(deserialize_with = "body")]
    pub body: ByteSize,
    /// Maximum number of open connections; a further one is answered with 503 and closed.
    pub connections: usize,
    /// Time without progress after which a connection is closed.
    #[serde(deserialize_with = "idle")]
    pub idle: Duration,
    /// Time for which a draining node keeps idle connections and accepts new ones, so
    /// that a request already sent is answered.
    #[serde(deserialize_with = "leaving")]
    pub leaving: Duration,
}

impl Default for SettingsLimits {
    fn default() -> Self {
        Self {
            header: ByteSize::new(DEFAULT_HEADER_BYTES),
            body: ByteSize::new(DEFAULT_BODY_BYTES),
            connections: DEFAULT_CONNECTIONS,
            idle: DEFAULT_IDLE,
            leaving: DEFAULT_LEAVING,
        }
    }
}

fn header<'de, D: Deserializer<'de>>(d: D) -> Result<ByteSize, D::Error> {
    parse_field("header", ByteSize::from_str, d)
}

fn body<'de, D: Deserializer<'de>>(d: D) -> Result<ByteSize, D::Error> {
    parse_field("body", ByteSize::from_str, d)
}

fn idle<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    parse_field("idle", humantime::parse_duration, d)
}

fn leaving<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    parse_field("leaving", humantime::parse_duration, d)
}

/// Parses a value. The error names its key, which the YAML deserializer omits.
fn parse_field<'de, D, T, E>(
    key: &str,
    parse: impl FnOnce(&str) -> Result<T, E>,
    d: D,
) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    E: Display,
{
    let text = String::deserialize(d)?;
    parse(&text).map_err(|err| de::Error::custom(format_args!("{key}: {err}")))
}
