//! Exchanges with the nodes of other VMs.

mod framed_stream;
mod inbound;
mod outbound;
mod pool;
mod probe;

pub(crate) use self::inbound::listen;
pub(crate) use self::outbound::Peers;
pub(crate) use self::probe::probe_idle;
