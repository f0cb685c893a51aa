//! Stand-ins for the services and the network around celeryshore in production.
//!
//! Each stand-in is a small server for tests and measurements: [`platform`] is
//! the platform's key-value service, [`target`] an HTTP service with limited
//! capacity, and [`relay`] a TCP relay between the two ends of a link. Each has
//! a control port, through which a test injects faults and reads counters.
//!
//! [`server`] and [`client`] are the HTTP code that the stand-ins and their
//! tests share; [`executor`] runs all of their tasks. No shipped package depends
//! on this one.

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
