//! Data types shared by all parts of celeryshore: names, units, versions, the
//! configuration snapshot and HTTP messages.
//!
//! All types are plain data. Text is parsed into a typed value once, where it
//! enters the process:
//!
//! ```
//! use celeryshore_model::Share;
//! use celeryshore_model::ZoneName;
//!
//! let zone: ZoneName = "glasgow".parse()?;
//! let ratio: Share = "10%".parse()?;
//! assert_eq!(zone.as_str(), "glasgow");
//! assert_eq!(ratio.of(200), 20);
//! # Ok::<(), celeryshore_model::Error>(())
//! ```

mod dialect;
mod digest;
mod error;
mod http;
mod key;
mod kind_name;
mod name;
mod snapshot;
mod time;
mod unit;
mod version;
mod workspace;

pub use crate::dialect::Dialect;
pub use crate::digest::Digest;
pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::http::Header;
pub use crate::http::HttpRequest;
pub use crate::http::HttpResponse;
pub use crate::key::RequestKey;
pub use crate::kind_name::KindName;
pub use crate::kind_name::RoutePlace;
pub use crate::name::RouteName;
pub use crate::name::ServiceName;
pub use crate::name::UpstreamName;
pub use crate::name::VmName;
pub use crate::name::WorkspaceName;
pub use crate::name::ZoneName;
pub use crate::snapshot::CallerLimits;
pub use crate::snapshot::ColdStart;
pub use crate::snapshot::Kind;
pub use crate::snapshot::KindId;
pub use crate::snapshot::Limits;
pub use crate::snapshot::Outages;
pub use crate::snapshot::RetryPolicy;
pub use crate::snapshot::Route;
pub use crate::snapshot::RouteMatch;
pub use crate::snapshot::Semantics;
pub use crate::snapshot::Service;
pub use crate::snapshot::Snapshot;
pub use crate::snapshot::Split;
pub use crate::snapshot::Upstream;
pub use crate::snapshot::UpstreamState;
pub use crate::snapshot::Zone;
pub use crate::time::Now;
pub use crate::time::Time;
pub use crate::time::WallTime;
pub use crate::unit::Attempt;
pub use crate::unit::BitRate;
pub use crate::unit::ByteSize;
pub use crate::unit::Depth;
pub use crate::unit::Priority;
pub use crate::unit::Rate;
pub use crate::unit::Share;
pub use crate::unit::Slots;
pub use crate::unit::Weight;
pub use crate::version::Epoch;
pub use crate::version::Incarnation;
pub use crate::version::Index;
pub use crate::version::Version;
pub use crate::workspace::KeyDigest;
pub use crate::workspace::Quota;
pub use crate::workspace::Workspace;
