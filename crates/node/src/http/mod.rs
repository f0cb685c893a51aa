//! HTTP/1.1 messages, by `async-h1`, on connections that read one message at a time.
//!
//! The codec of `async-h1` reads ahead without bound and trusts its input in a
//! few places. A [`Connection`] therefore frames each message itself and gives
//! the codec only what it has checked.

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
