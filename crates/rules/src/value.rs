//! Conversion of words to typed values.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::ByteSize;
use celeryshore_model::KindName;
use celeryshore_model::Priority;
use celeryshore_model::Rate;
use celeryshore_model::RouteName;
use celeryshore_model::Semantics;
use celeryshore_model::ServiceName;
use celeryshore_model::Share;
use celeryshore_model::Slots;
use celeryshore_model::UpstreamName;
use celeryshore_model::VmName;
use celeryshore_model::Weight;
use celeryshore_model::WorkspaceName;
use celeryshore_model::ZoneName;

const MAX_ATTEMPTS: u32 = 10;
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// Description of valid input, returned for an invalid value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expected(pub(crate) &'static str);

type Result<T> = std::result::Result<T, Expected>;

/// Type that can be parsed from a word of a rule.
pub(crate) trait Value: Sized {
    /// Parses the text of a word.
    fn parse(text: &str) -> Result<Self>;
}

impl<T: Value> Value for Option<T> {
    fn parse(text: &str) -> Result<Self> {
        T::parse(text).map(Some)
    }
}

macro_rules! model_value {
    ($($name:ident)*) => {
        $(
            impl Value for $name {
                fn parse(text: &str) -> Result<Self> {
                    text.parse()
                        .map_err(|err: celeryshore_model::Error| Expected(err.expected()))
                }
            }
        )*
    };
}

model_value!(ByteSize KindName Priority Rate RouteName ServiceName Share UpstreamName VmName Weight WorkspaceName ZoneName);

impl Value for Slots {
    fn parse(text: &str) -> Result<Self> {
        let slots = text.parse().ok().filter(|n| *n > Self::new(0));
        slots.ok_or(Expected("a count from 1 to 4294967295"))
    }
}

impl Value for u64 {
    fn parse(text: &str) -> Result<Self> {
        text.parse().map_err(|_| Expected("a non-negative integer"))
    }
}

impl Value for Semantics {
    fn parse(text: &str) -> Result<Self> {
        text.parse()
            .map_err(|_| Expected("`idempotent`, `download` or `at-most-once`"))
    }
}

impl Value for SocketAddr {
    fn parse(text: &str) -> Result<Self> {
        let address = text.parse().ok().filter(|a: &Self| a.port() != 0);
        address.ok_or(Expected("an address such as 10.0.0.1:7101"))
    }
}

impl Value for Duration {
    fn parse(text: &str) -> Result<Self> {
        let duration = humantime::parse_duration(text).ok();
        let duration = duration.filter(|d| !d.is_zero() && *d <= MAX_DEADLINE);
        duration.ok_or(Expected("a duration such as 500ms or 2s, at most 1h"))
    }
}

/// Maximum number of attempts per request, including the first.
pub(crate) struct Attempts(pub(crate) u32);

impl Value for Attempts {
    fn parse(text: &str) -> Result<Self> {
        let count = text.parse().ok();
        let count = count.filter(|n| (1..=MAX_ATTEMPTS).contains(n));
        count.map(Self).ok_or(Expected("a count from 1 to 10"))
    }
}

/// Path prefix of a route, without a query.
pub(crate) struct PathPrefix(pub(crate) String);

impl Value for PathPrefix {
    fn parse(text: &str) -> Result<Self> {
        let is_plain = text.bytes().all(|b| b.is_ascii_graphic() && b != b'?');
        let has_trailing_slash = text != "/" && text.ends_with('/');
        if is_plain && text.starts_with('/') && !has_trailing_slash {
            return Ok(Self(text.to_owned()));
        }
        Err(Expected("a path such as /orders, without a trailing `/`"))
    }
}

/// Host name or address in lower case, without a port.
pub(crate) struct Host(pub(crate) String);

impl Value for Host {
    fn parse(text: &str) -> Result<Self> {
        let is_host_char =
            |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._[]:".contains(&b);
        let has_port = text.rsplit_once(':').is_some_and(|(h, _)| !h.contains(':'));
        if text.bytes().all(is_host_char) && !has_port {
            return Ok(Self(text.to_owned()));
        }
        Err(Expected("a lowercase host without a port"))
    }
}

/// HTTP method in upper case.
pub(crate) struct Method(pub(crate) String);

impl Value for Method {
    fn parse(text: &str) -> Result<Self> {
        if text.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') {
            return Ok(Self(text.to_owned()));
        }
        Err(Expected("an uppercase method"))
    }
}
