//! State machines of a celeryshore node, without sockets, clocks or threads.
//!
//! A node is a proxy between callers and targets. It decides where a request
//! goes, whether it may run, whether it may be retried, and which configuration
//! is in effect. This crate implements these decisions as state machines that
//! take events and the current time, and return actions. The driver, which is
//! the node process, a simulation in virtual time or a test, performs the I/O.
//!
//! [`Requests`] handles requests. [`Fleet`] handles membership and the
//! distribution of the configuration. [`Feed`] takes the place of the fleet on
//! platforms that publish the configuration and the upstreams in a store.
//! [`Kernel`] combines the three. `exchange` and `inquiry` define the messages between
//! nodes about requests, and `dump` the sections of the state dump.

mod dump;
mod exchange;
mod feed;
mod fleet;
mod inquiry;
mod kernel;
mod load;
mod requests;
mod statement;

pub use crate::dump::DumpSection;
pub use crate::dump::dump_sections;
pub use crate::exchange::Delivery;
pub use crate::exchange::Handover;
pub use crate::exchange::NotRun;
pub use crate::exchange::PeerReply;
pub use crate::exchange::PeerRequest;
pub use crate::exchange::Phase;
pub use crate::exchange::Reply;
pub use crate::exchange::ReplyOutcome;
pub use crate::exchange::Unknown;
pub use crate::feed::Adapter;
pub use crate::feed::AdapterError;
pub use crate::feed::AdapterPlugin;
pub use crate::feed::CatalogAnswer;
pub use crate::feed::CatalogRequest;
pub use crate::feed::ChangeBound;
pub use crate::feed::Changes;
pub use crate::feed::Era as StoreEra;
pub use crate::feed::Feed;
pub use crate::feed::FeedAction;
pub use crate::feed::FeedConfig;
pub use crate::feed::FeedEvent;
pub use crate::feed::FeedReport;
pub use crate::feed::FeedStatus;
pub use crate::feed::FeedTiming;
pub use crate::feed::FeedView;
pub use crate::feed::FetchFailure;
pub use crate::feed::FetchId;
pub use crate::feed::Heartbeat;
pub use crate::feed::Item;
pub use crate::feed::ItemKey;
pub use crate::feed::Page;
pub use crate::feed::PeerProblem;
pub use crate::feed::PollId;
pub use crate::feed::Position;
pub use crate::feed::Progress as CatalogProgress;
pub use crate::feed::Record;
pub use crate::feed::Revision as StoreRevision;
pub use crate::feed::Section as StoreSection;
pub use crate::feed::SourceName;
pub use crate::feed::UpstreamRecord;
pub use crate::feed::find_adapter;
pub use crate::fleet::Candidate;
pub use crate::fleet::Chain;
pub use crate::fleet::Datagram;
pub use crate::fleet::DatagramBody;
pub use crate::fleet::DeltaStep;
pub use crate::fleet::Fleet;
pub use crate::fleet::FleetAction;
pub use crate::fleet::FleetConfig;
pub use crate::fleet::FleetEvent;
pub use crate::fleet::FleetStatus;
pub use crate::fleet::Helper;
pub use crate::fleet::InboundPullId;
pub use crate::fleet::MAX_DATAGRAM_BYTES;
pub use crate::fleet::MemberState;
pub use crate::fleet::Origin;
pub use crate::fleet::Prepare;
pub use crate::fleet::Prepared;
pub use crate::fleet::PullId;
pub use crate::fleet::PullReply;
pub use crate::fleet::PullRequest;
pub use crate::fleet::ReadAnswer;
pub use crate::fleet::ReadFailure;
pub use crate::fleet::ReadId;
pub use crate::fleet::ReadQuery;
pub use crate::fleet::Refutation;
pub use crate::fleet::Report;
pub use crate::fleet::RulesText;
pub use crate::fleet::Sender;
pub use crate::fleet::Sequence;
pub use crate::fleet::StageKind;
pub use crate::fleet::TrafficCount;
pub use crate::fleet::TrafficKind;
pub use crate::fleet::Update;
pub use crate::inquiry::Fence;
pub use crate::inquiry::Inquiry;
pub use crate::inquiry::Seen;
pub use crate::inquiry::Vote;
pub use crate::kernel::Action;
pub use crate::kernel::Event;
pub use crate::kernel::Kernel;
pub use crate::kernel::KernelConfig;
pub use crate::load::KnownLoad;
pub use crate::load::LoadReport;
pub use crate::load::MAX_KNOWN_LOADS;
pub use crate::load::Speed;
pub use crate::requests::Answer;
pub use crate::requests::CallId;
pub use crate::requests::ColdStartTerms;
pub use crate::requests::CrashEvidence;
pub use crate::requests::ExchangeId;
pub use crate::requests::Health;
pub use crate::requests::InboundId;
pub use crate::requests::InquiryDecision;
pub use crate::requests::Journal;
pub use crate::requests::JournalConfig;
pub use crate::requests::KeyDecision;
pub use crate::requests::KeyOutcome;
pub use crate::requests::KeyRole;
pub use crate::requests::KeyedCopy;
pub use crate::requests::KindCounts;
pub use crate::requests::LARGE_SHARE;
pub use crate::requests::LARGE_TRANSFER;
pub use crate::requests::LoadCounters;
pub use crate::requests::Outcome;
pub use crate::requests::Progress;
pub use crate::requests::QuotaAnswer;
pub use crate::requests::QuotaAsk;
pub use crate::requests::QuotaMessage;
pub use crate::requests::QuotaReport;
pub use crate::requests::QuotaStatus;
pub use crate::requests::QuotaTerms;
pub use crate::requests::Quotas;
pub use crate::requests::RequestAction;
pub use crate::requests::RequestCounters;
pub use crate::requests::RequestEvent;
pub use crate::requests::RequestReport;
pub use crate::requests::RequestStep;
pub use crate::requests::Requests;
pub use crate::requests::RequestsConfig;
pub use crate::requests::RequestsStatus;
pub use crate::requests::RetryTerms;
pub use crate::requests::TargetReport;
pub use crate::requests::Terms;
pub use crate::requests::WorkId;
pub use crate::requests::WorkSummary;
pub use crate::statement::ResponseStatement;
pub use crate::statement::StatedRate;
pub use crate::statement::TargetStatement;
