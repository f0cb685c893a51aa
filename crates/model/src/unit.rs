//! Counts, sizes, shares and rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use crate::Category;
use crate::Error;
use crate::Result;

fn parse_number<T: FromStr>(s: &str, expected: &'static str) -> Result<T> {
    s.parse()
        .map_err(|_| Error::new(Category::Unit, expected, s))
}

macro_rules! count {
    ($(#[$doc:meta])* $name:ident($int:ty), $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize,
        )]
        pub struct $name($int);

        impl $name {
            /// Creates the value from a number.
            #[must_use]
            pub const fn new(count: $int) -> Self {
                Self(count)
            }

            /// Returns the value as a number.
            #[must_use]
            pub const fn get(self) -> $int {
                self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                parse_number(s, $expected).map(Self)
            }
        }
    };
}

count! {
    /// Number of requests that may run or wait at the same time.
    Slots(u32), "a count of slots from 0 to 4294967295"
}
count! {
    /// Relative weight of one service in a split route.
    Weight(u32), "a weight from 0 to 4294967295"
}
count! {
    /// Priority of a request kind; 0 is the most urgent.
    Priority(u32), "a priority from 0 to 4294967295"
}
count! {
    /// Number of times that a caller has sent a key; 1 for the first time.
    Attempt(u32), "an attempt number from 1"
}
count! {
    /// Nesting depth of a call: the number of calls through the mesh between the first
    /// caller and this one.
    Depth(u8), "a depth from 0 to 255"
}

/// Size in bytes.
///
/// # Example
///
/// ```
/// use celeryshore_model::ByteSize;
///
/// let size: ByteSize = "64KiB".parse()?;
/// assert_eq!(size.get(), 65_536);
/// assert_eq!(size.to_string(), "64KiB");
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct ByteSize(u64);

const KIB: u64 = 1_024;
const MIB: u64 = 1_024 * KIB;

impl ByteSize {
    /// Creates a size from a number of bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl FromStr for ByteSize {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        const EXPECTED: &str = "a size such as 512B, 64KiB or 1MiB";
        let units = [("KiB", 1_024.0), ("MiB", 1_048_576.0), ("B", 1.0)];
        let split = units
            .iter()
            .find_map(|(unit, scale)| s.strip_suffix(unit).map(|n| (n, *scale)));
        let (n, scale) = split.ok_or_else(|| Error::new(Category::Unit, EXPECTED, s))?;
        let n: f64 = parse_number(n, EXPECTED)?;
        let bytes = format!("{:.0}", (n * scale).floor()).parse();
        bytes
            .map(Self)
            .map_err(|_| Error::new(Category::Unit, EXPECTED, s))
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n > 0 && n % MIB == 0 => write!(f, "{}MiB", n / MIB),
            n if n > 0 && n % KIB == 0 => write!(f, "{}KiB", n / KIB),
            n => write!(f, "{n}B"),
        }
    }
}

/// Transfer rate of a network link in bits per second.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use celeryshore_model::BitRate;
/// use celeryshore_model::ByteSize;
///
/// let rate: BitRate = "12.5Mbit/s".parse()?;
/// assert_eq!(rate.to_string(), "12.5Mbit/s");
/// assert_eq!(rate.time(ByteSize::new(6_250)), Duration::from_millis(4));
/// assert_eq!(rate.bytes_in(Duration::from_millis(4)).get(), 6_250);
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct BitRate(u64);

const BITS_PER_BYTE: u64 = 8;
const BITS_PER_MBIT: u64 = 1_000_000;

impl BitRate {
    /// Returns `true` if the link sends nothing.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Returns the time in which a number of bytes is sent.
    #[must_use]
    pub fn time(self, size: ByteSize) -> Duration {
        let bits = size.get().saturating_mul(BITS_PER_BYTE);
        let micros = u128::from(bits) * 1_000_000 / u128::from(self.0.max(1));
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the number of bytes that are sent in a time.
    #[must_use]
    pub fn bytes_in(self, time: Duration) -> ByteSize {
        let bits = u128::from(self.0) * time.as_micros() / 1_000_000;
        let bytes = bits / u128::from(BITS_PER_BYTE);
        ByteSize(u64::try_from(bytes).unwrap_or(u64::MAX))
    }

    /// Returns this share of the rate.
    #[must_use]
    pub fn times(self, share: Share) -> Self {
        let rate = u128::from(self.0) * u128::from(share.per_mille()) / 1_000;
        Self(u64::try_from(rate).unwrap_or(u64::MAX))
    }
}

impl FromStr for BitRate {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        const EXPECTED: &str = "a transfer rate such as 100Mbit/s or 12.5Mbit/s";
        let err = || Error::new(Category::Unit, EXPECTED, s);
        let mbit: f64 = parse_number(s.strip_suffix("Mbit/s").ok_or_else(err)?, EXPECTED)?;
        let bits = format!("{:.0}", mbit * 1_000_000.0).parse().ok();
        bits.map(Self).ok_or_else(err)
    }
}

impl fmt::Display for BitRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, part) = (self.0 / BITS_PER_MBIT, self.0 % BITS_PER_MBIT);
        if part == 0 {
            return write!(f, "{whole}Mbit/s");
        }
        let part = format!("{part:06}");
        write!(f, "{whole}.{}Mbit/s", part.trim_end_matches('0'))
    }
}

/// Proportion in thousandths, such as `2.5%`.
///
/// A parsed share is at most 100%; [`from_per_mille`](Self::from_per_mille) has no
/// limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Share(u32);

impl Share {
    /// Creates a share from thousandths.
    #[must_use]
    pub const fn from_per_mille(per_mille: u32) -> Self {
        Self(per_mille)
    }

    /// Returns the share in thousandths.
    #[must_use]
    pub const fn per_mille(self) -> u32 {
        self.0
    }

    /// Returns this share of `whole`, rounded down; less if `whole` is nearly `u64::MAX`.
    #[must_use]
    pub const fn of(self, whole: u64) -> u64 {
        whole.saturating_mul(self.0 as u64) / 1_000
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        const EXPECTED: &str = "a share such as 10% or 2.5%, at most 100%";
        let err = || Error::new(Category::Unit, EXPECTED, s);
        let n = s.strip_suffix('%').ok_or_else(err)?;
        let (whole, tenths) = n.split_once('.').unwrap_or((n, "0"));
        if tenths.len() != 1 {
            return Err(err());
        }
        let whole: u32 = parse_number(whole, EXPECTED)?;
        let tenths: u32 = parse_number(tenths, EXPECTED)?;
        let per_mille = whole.saturating_mul(10).saturating_add(tenths);
        if per_mille > 1_000 {
            return Err(err());
        }
        Ok(Self(per_mille))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 % 10 {
            0 => write!(f, "{}%", self.0 / 10),
            tenths => write!(f, "{}.{tenths}%", self.0 / 10),
        }
    }
}

/// Requests per second, in thousandths of a request.
///
/// # Example
///
/// ```
/// use celeryshore_model::Rate;
/// use celeryshore_model::Share;
///
/// let rate: Rate = "9.5/s".parse()?;
/// assert_eq!(rate, Rate::from_per_mille(9_500));
/// assert_eq!(rate.times(Share::from_per_mille(1_500)).whole(), 14);
/// assert_eq!(rate.interval().unwrap().as_millis(), 105);
/// assert_eq!(rate.to_string(), "9.5/s");
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate from thousandths of a request per second.
    #[must_use]
    pub const fn from_per_mille(per_mille: u64) -> Self {
        Self(per_mille)
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn per_mille(self) -> u64 {
        self.0
    }

    /// Creates a rate from requests per second, rounded to thousandths.
    ///
    /// Returns `None` if the number is negative, too large or not a number.
    #[must_use]
    pub fn from_f64(per_second: f64) -> Option<Self> {
        format!("{:.0}", per_second * 1_000.0)
            .parse()
            .ok()
            .map(Self)
    }

    /// Returns the requests per second, rounded down.
    #[must_use]
    pub const fn whole(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time between two requests, or `None` if the rate is zero.
    #[must_use]
    pub const fn interval(self) -> Option<Duration> {
        const NANOS_PER_MILLE: u64 = 1_000_000_000_000;
        match NANOS_PER_MILLE.checked_div(self.0) {
            Some(nanos) => Some(Duration::from_nanos(nanos)),
            None => None,
        }
    }

    /// Returns this rate multiplied by a share, which may exceed 100%.
    #[must_use]
    pub const fn times(self, share: Share) -> Self {
        Self(share.of(self.0))
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        const EXPECTED: &str = "a rate such as 16/s or 9.5/s";
        let err = || Error::new(Category::Unit, EXPECTED, s);
        let per_second: f64 = parse_number(s.strip_suffix("/s").ok_or_else(err)?, EXPECTED)?;
        Self::from_f64(per_second).ok_or_else(err)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, part) = (self.0 / 1_000, self.0 % 1_000);
        if part == 0 {
            return write!(f, "{whole}/s");
        }
        let part = format!("{part:03}");
        write!(f, "{whole}.{}/s", part.trim_end_matches('0'))
    }
}
