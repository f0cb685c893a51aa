//! Decisions of celeryshore, without sockets, clocks or threads.
//!
//! A process that stands between callers and targets has to decide where a
//! request goes, whether it may run, whether it may run again, and which
//! configuration is in force. This crate holds those decisions as state
//! machines: events and the time go in, actions come out. Whoever drives them
//! (the node process, a scenario in virtual time, a test) does the input and
//! output.
//!
//! [`Requests`] decides about requests, [`Fleet`] about membership and
//! configuration, and [`Kernel`] joins the two.

mod exchange;
mod fleet;
mod kernel;
mod plugin;
mod requests;

pub use crate::exchange::Delivery;
pub use crate::exchange::Fence;
pub use crate::exchange::Handover;
pub use crate::exchange::Inquiry;
pub use crate::exchange::LoadReport;
pub use crate::exchange::NotRun;
pub use crate::exchange::PeerReply;
pub use crate::exchange::PeerRequest;
pub use crate::exchange::Phase;
pub use crate::exchange::Reply;
pub use crate::exchange::ReplyOutcome;
pub use crate::exchange::Seen;
pub use crate::exchange::Unknown;
pub use crate::exchange::Vote;
pub use crate::fleet::Fleet;
pub use crate::fleet::MemberState;
pub use crate::kernel::Kernel;
pub use crate::plugin::Section;
pub use crate::plugin::sections;
pub use crate::requests::Answer;
pub use crate::requests::Begin;
pub use crate::requests::CallId;
pub use crate::requests::ExchangeId;
pub use crate::requests::InboundId;
pub use crate::requests::Journal;
pub use crate::requests::JournalConfig;
pub use crate::requests::KeyOutcome;
pub use crate::requests::KeyedCopy;
pub use crate::requests::Outcome;
pub use crate::requests::Progress;
pub use crate::requests::RequestAction;
pub use crate::requests::RequestEvent;
pub use crate::requests::Requests;
pub use crate::requests::RequestsConfig;
pub use crate::requests::Standing;
pub use crate::requests::Witness;
pub use crate::requests::WorkId;
