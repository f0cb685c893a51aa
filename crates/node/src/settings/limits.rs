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
/// Share of the grace period in which a stopping node goes on serving what can be answered
/// before its end. The rest is left to write the last answers.
const LEAVING_SHARE: (u32, u32) = (19, 20);

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
    /// Longest time for which a node that was told to stop goes on serving; nearly all of
    /// `grace` if absent. A longer one is cut to that.
    #[serde(deserialize_with = "leaving")]
    pub leaving: Option<Duration>,
    /// Time after which the platform kills a process that it has told to stop. Requests that
    /// may take longer than what is left of it are refused.
    #[serde(deserialize_with = "grace")]
    pub grace: Option<Duration>,
}

impl SettingsLimits {
    /// Returns the longest time for which a node that was told to stop goes on serving.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celeryshore_node::SettingsLimits;
    ///
    /// let limits = SettingsLimits {
    ///     grace: Some(Duration::from_secs(6)),
    ///     ..SettingsLimits::default()
    /// };
    /// assert_eq!(limits.leaving(), Duration::from_millis(5_700));
    /// ```
    #[must_use]
    pub fn leaving(&self) -> Duration {
        let (numerator, denominator) = LEAVING_SHARE;
        let share = self.grace.map(|grace| grace * numerator / denominator);
        let times = [self.leaving, share].into_iter().flatten();
        times.min().unwrap_or(DEFAULT_LEAVING)
    }
}

impl Default for SettingsLimits {
    fn default() -> Self {
        Self {
            header: ByteSize::new(DEFAULT_HEADER_BYTES),
            body: ByteSize::new(DEFAULT_BODY_BYTES),
            connections: DEFAULT_CONNECTIONS,
            idle: DEFAULT_IDLE,
            leaving: None,
            grace: None,
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

fn leaving<'de, D: Deserializer<'de>>(d: D) -> Result<Option<Duration>, D::Error> {
    parse_field("leaving", humantime::parse_duration, d).map(Some)
}

fn grace<'de, D: Deserializer<'de>>(d: D) -> Result<Option<Duration>, D::Error> {
    parse_field("grace", humantime::parse_duration, d).map(Some)
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
