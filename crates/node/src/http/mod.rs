//! HTTP/1.1 messages, encoded and decoded by `async-h1`.
//!
//! The decoder of `async-h1` reads ahead without a limit and does not validate all
//! of its input. A [`Connection`] therefore reads one message at a time, within
//! limits, and `head` validates its header and determines how the body is framed.
//! The decoder gets only the validated header, through `head_input`. `request` and
//! `response` put the parts together, and `field` removes hop-by-hop header fields.

mod connection;
mod field;
mod head;
mod head_input;
mod request;
mod response;

pub(crate) use self::connection::Connection;
pub(crate) use self::connection::MessageLimits;
pub(crate) use self::request::Incoming;
pub(crate) use self::request::encode_request;
pub(crate) use self::request::read_request;
pub(crate) use self::response::encode_response;
pub(crate) use self::response::read_response;
