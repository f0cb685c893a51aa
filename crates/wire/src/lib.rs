//! Wire protocol between celeryshore nodes.
//!
//! This crate converts between the message types of `celeryshore_kernel` and
//! their Protocol Buffers encoding. The generated types are private to it.
//!
//! - A request is forwarded from node to node in an exchange: a length-delimited
//!   [`RequestFrame`] and its [`ReplyFrame`], on a connection that carries nothing
//!   else until the exchange is complete.
//! - Heartbeats are UDP datagrams, encoded by [`DatagramFrame`]. Messages about quotas are
//!   other datagrams at the same port, encoded by [`QuotaFrame`].
//! - A node with an outdated configuration pulls a newer one over gRPC, with
//!   [`PullClient`] and [`PullServer`].

mod catalog;
mod convert;
mod datagram;
mod error;
mod frame;
mod generated;
mod pull;
mod pull_client;
mod pull_server;
mod quota;
mod reason;
mod reply;
mod request;

pub use crate::datagram::DatagramFrame;
pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::frame::FrameLimit;
pub use crate::frame::frame_size;
pub use crate::pull_client::PullClient;
pub use crate::pull_server::PullHandler;
pub use crate::pull_server::PullServer;
pub use crate::quota::QuotaFrame;
pub use crate::reply::ReplyFrame;
pub use crate::request::RequestFrame;
