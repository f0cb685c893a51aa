//! Names of services, upstreams, VMs, availability zones, routes and workspaces.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de;

use crate::Category;
use crate::Error;
use crate::Result;

const MAX_NAME_BYTES: usize = 63;
const EXPECTED: &str = "1 to 63 of a-z, 0-9, '-', '_' and '.', a letter or digit first";

fn validate(s: &str) -> Result<()> {
    let has_valid_chars = s
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b));
    let has_valid_start = s.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
    if has_valid_chars && has_valid_start && s.len() <= MAX_NAME_BYTES {
        Ok(())
    } else {
        Err(Error::new(Category::Name, EXPECTED, s))
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// A name has 1 to 63 of the characters a-z, 0-9, `-`, `_` and `.`, and
        /// starts with a letter or a digit. Clones share one allocation.
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                validate(s)?;
                Ok(Self(s.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
                String::deserialize(d)?.parse().map_err(de::Error::custom)
            }
        }
    };
}

name! {
    /// Name of a service.
    ServiceName
}
name! {
    /// Name of an upstream, that is, of one target of a service.
    UpstreamName
}
name! {
    /// Name of a VM. A VM runs one target and one node, so this also identifies the
    /// node.
    VmName
}
name! {
    /// Name of an availability zone.
    ZoneName
}
name! {
    /// Name of a route.
    RouteName
}
name! {
    /// Name of a workspace.
    WorkspaceName
}
