//! Protocol between celeryshore's processes.
//!
//! A request travels from node to node as an exchange: one length-delimited
//! request frame and its reply frame on a connection that nothing else uses in
//! the meantime. [`RequestFrame`] and [`ReplyFrame`] turn between the typed
//! messages of the decisions and bytes; generated types stay in this crate.

mod border;
mod error;
mod frame;
mod generated;
mod reason;
mod reply;
mod request;

pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::frame::FrameLimit;
pub use crate::frame::frame_size;
pub use crate::reply::ReplyFrame;
pub use crate::request::RequestFrame;
