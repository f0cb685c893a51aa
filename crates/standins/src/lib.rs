//! Stand-ins for what surrounds celeryshore in production.
//!
//! Each stand-in is a small server for tests and measurements: the platform's
//! key-value service, a target, and a TCP relay between two ends of a link.
//! Each has a control port by which a test causes faults and reads counts.
//! No shipped package depends on this one.

pub mod client;
mod error;
pub mod executor;
mod loopback;
pub mod platform;
mod query;
pub mod relay;
pub mod server;
mod stream;
pub mod target;

pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::loopback::loopback;
pub use crate::query::Query;
pub use crate::stream::Stream;
