//! Counts, which platforms may state as fractions, rates, sizes and durations.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use celeryshore_model::BitRate;
use celeryshore_model::ByteSize;
use serde::Deserialize;
use serde::Deserializer;
use serde::de;
use serde::de::Unexpected;

/// Deserializes a count, rounded down, or `None` if there is no value.
pub(super) fn whole<'de, D: Deserializer<'de>>(d: D) -> Result<Option<u32>, D::Error> {
    let number: Option<f64> = Option::deserialize(d)?;
    number.map(round_down).transpose()
}

fn round_down<E: de::Error>(number: f64) -> Result<u32, E> {
    let text = format!("{:.0}", number.floor());
    let is_count = number >= 0.0;
    let count = text.parse().ok().filter(|_| is_count);
    count.ok_or_else(|| E::invalid_value(Unexpected::Float(number), &"a count of at least 0"))
}

/// Deserializes the rate of a link, or `None` if there is no value or it is zero.
pub(super) fn bit_rate<'de, D: Deserializer<'de>>(d: D) -> Result<Option<BitRate>, D::Error> {
    let rate = parse_text::<BitRate, D>("link", d)?;
    Ok(rate.filter(|rate| !rate.is_zero()))
}

/// Deserializes the memory of a process, or `None` if there is no value or it is zero.
pub(super) fn size<'de, D: Deserializer<'de>>(d: D) -> Result<Option<ByteSize>, D::Error> {
    let size = parse_text::<ByteSize, D>("memory", d)?;
    Ok(size.filter(|size| size.get() > 0))
}

macro_rules! duration {
    ($name:ident) => {
        pub(super) fn $name<'de, D: Deserializer<'de>>(d: D) -> Result<Option<Duration>, D::Error> {
            duration(stringify!($name), d)
        }
    };
}

duration!(config_bound);
duration!(drain_bound);
duration!(outage_bound);
duration!(key_bound);
duration!(quota_window);

/// Deserializes a duration, or `None` if there is no value or the text is empty, as it is
/// on platforms that do not state the term.
fn duration<'de, D: Deserializer<'de>>(key: &str, d: D) -> Result<Option<Duration>, D::Error> {
    let text: Option<String> = Option::deserialize(d)?;
    let text = text.filter(|text| !text.is_empty());
    let value = text
        .map(|text| humantime::parse_duration(&text))
        .transpose();
    value.map_err(|err| de::Error::custom(format_args!("{key}: {err}")))
}

fn parse_text<'de, T, D>(key: &str, d: D) -> Result<Option<T>, D::Error>
where
    T: FromStr<Err: Display>,
    D: Deserializer<'de>,
{
    let text: Option<String> = Option::deserialize(d)?;
    let value = text.map(|text| text.parse()).transpose();
    value.map_err(|err| de::Error::custom(format_args!("{key}: {err}")))
}
