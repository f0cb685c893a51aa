//! Protocol between celeryshore's processes.
//!
//! A request travels from node to node as an exchange: one length-delimited
//! request frame and its reply frame on a connection that nothing else uses in
//! the meantime. [`RequestFrame`] and [`ReplyFrame`] turn between the typed
//! messages of the decisions and bytes; generated types stay in this crate.
//!
//! Heartbeats are datagrams, see [`DatagramFrame`]. A node that is behind pulls a
//! newer configuration by gRPC, see [`PullClient`] and [`PullServer`].

mod catalog;
mod convert;
mod datagram;
mod error;
mod frame;
mod generated;
mod pull;
mod pull_client;
mod pull_server;
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
pub use crate::reply::ReplyFrame;
pub use crate::request::RequestFrame;
