//! Exchanges with the nodes of other VMs: a request and the reply that ends it.
//!
//! [`Peers`] sends requests, one at a time on each connection, and keeps idle
//! connections in a pool. [`probe_idle`] pings these, so that a broken connection is
//! found before a request needs it. [`listen`] serves the exchanges that other nodes
//! open.

mod framed_stream;
mod inbound;
mod outbound;
mod pool;
mod probe;

pub(crate) use self::inbound::listen;
pub(crate) use self::outbound::Peers;
pub(crate) use self::probe::probe_idle;
