//! Decisions about requests: routing, admission, retries, at most once.

mod event;
mod journal;

use celeryshore_model::Incarnation;
use celeryshore_model::Now;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

pub use self::event::Answer;
pub use self::event::CallId;
pub use self::event::ExchangeId;
pub use self::event::InboundId;
pub use self::event::Outcome;
pub use self::event::Progress;
pub use self::event::RequestAction;
pub use self::event::RequestEvent;
pub use self::event::WorkId;
pub use self::journal::Begin;
pub use self::journal::Journal;
pub use self::journal::JournalConfig;
pub use self::journal::KeyOutcome;
pub use self::journal::KeyedCopy;
pub use self::journal::Standing;
pub use self::journal::Witness;

/// What a node knows of itself before it knows any configuration.
#[derive(Clone, Debug)]
pub struct RequestsConfig {
    /// VM that the node runs on.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Decides about requests, as the handing node and as the admitting node.
#[derive(Debug)]
pub struct Requests {
    cfg: RequestsConfig,
}

impl Requests {
    /// Makes the decisions of a process that starts now and knows nothing.
    #[must_use]
    pub fn new(cfg: RequestsConfig, now: Now) -> Self {
        let _ = now;
        Self { cfg }
    }

    /// Takes one event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Now, event: RequestEvent, actions: &mut Vec<RequestAction>) {
        let _ = (now, event, actions, &self.cfg);
    }
}
