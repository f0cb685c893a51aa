//! Membership of the nodes and distribution of the configuration.
//!
//! [`Fleet`] is a state machine without input or output of its own:
//! [`FleetEvent`]s and the time go in, [`FleetAction`]s come out. It decides
//! which members are alive, which configuration is in effect, and which nodes
//! read the platform. The submodules fit together as follows:
//!
//! - Failure detection: `prober` schedules heartbeats, `round` runs them and
//!   notices freezes of the process, and `heartbeat` handles datagrams
//!   (`message`). `members` keeps the liveness of each `member`, `zone` detects
//!   the loss of a whole zone, and `gossip` spreads member updates by
//!   piggybacking them on datagrams.
//! - Reads of the platform: `source` selects the readers of the zone and
//!   handles the responses. `reader` runs the reads (`read`), with `health` and
//!   `backoff` for failures. `rendezvous` gives the order in which nodes become
//!   readers, and `view` tracks how old the knowledge about the platform is.
//! - Distribution: `prepare` verifies and validates a received configuration,
//!   `configuration` holds the one in effect, with the deltas in `history`.
//!   `spread` installs and announces a new version. `puller` selects a peer to
//!   pull it from, and `serve` replies to the pulls of peers (`pull`).
//! - `stage` decides whether the node may serve requests yet, `budget` limits
//!   the control traffic, and `status` renders the state dump.

mod backoff;
mod budget;
mod change;
mod config;
mod configuration;
mod event;
mod gossip;
mod health;
mod heartbeat;
mod history;
mod member;
mod members;
mod message;
mod prepare;
mod prober;
mod pull;
mod puller;
mod read;
mod reader;
mod rendezvous;
mod round;
mod serve;
mod source;
mod spread;
mod stage;
mod status;
mod view;
mod zone;

use celeryshore_model::Now;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;

pub(crate) use self::backoff::Backoff;
pub(crate) use self::backoff::jitter;
use self::budget::Traffic;
pub use self::budget::TrafficCount;
pub use self::budget::TrafficKind;
pub use self::config::FleetConfig;
use self::configuration::Configuration;
pub use self::event::FleetAction;
pub use self::event::FleetEvent;
pub use self::event::InboundPullId;
pub use self::event::PullId;
pub use self::event::ReadAnswer;
pub use self::event::ReadFailure;
pub use self::event::ReadId;
pub use self::event::ReadQuery;
pub use self::event::Report;
use self::gossip::Gossip;
pub use self::member::MemberState;
use self::members::Members;
pub use self::message::Datagram;
pub use self::message::DatagramBody;
pub use self::message::MAX_DATAGRAM_BYTES;
pub use self::message::Refutation;
pub use self::message::Sender;
pub use self::message::Sequence;
pub use self::message::Update;
pub use self::prepare::Candidate;
pub use self::prepare::Chain;
pub use self::prepare::Origin;
pub use self::prepare::Prepare;
pub use self::prepare::Prepared;
pub use self::prepare::RulesText;
use self::prober::Prober;
pub use self::pull::DeltaStep;
pub use self::pull::Helper;
pub use self::pull::PullReply;
pub use self::pull::PullRequest;
use self::puller::Puller;
use self::reader::Reader;
pub(crate) use self::rendezvous::rank;
use self::stage::Learning;
use self::stage::Stage;
pub use self::stage::StageKind;
pub use self::status::FleetStatus;
use self::view::View;

/// State that this node reports about itself.
#[derive(Debug, Default)]
struct OwnState {
    refutation: Refutation,
    leaving: bool,
    unwell: bool,
}

/// State machine for membership and configuration, as seen by one node.
#[derive(Debug)]
pub struct Fleet {
    cfg: FleetConfig,
    rng: fastrand::Rng,
    stage: Stage,
    configuration: Configuration,
    /// Whether the rules text in effect is being packed.
    is_packing: bool,
    members: Members,
    own: OwnState,
    gossip: Gossip,
    prober: Prober,
    puller: Puller,
    reader: Reader,
    is_reader: bool,
    /// VMs of this node's zone in rendezvous order, including this node.
    reader_order: Vec<VmName>,
    view: View,
    traffic: Traffic,
    /// Clocks at the last event.
    observed: Now,
    /// Earliest time that a [`FleetAction::WakeAt`] requested and that has not
    /// passed yet.
    wake: Option<Time>,
    out: Vec<FleetAction>,
}

impl Fleet {
    /// Creates the state machine of a process that starts at `now` without any
    /// state.
    #[must_use]
    pub fn new(mut cfg: FleetConfig, now: Now) -> Self {
        let own = cfg.peer;
        cfg.seeds.retain(|seed| *seed != own);
        let mut rng = fastrand::Rng::with_seed(cfg.seed);
        let first_round = now.mono + prober::PERIOD.mul_f64(rng.f64() / 5.0);
        Self {
            stage: Learning::new(cfg.seeds.len()).into(),
            rng,
            configuration: Configuration::default(),
            is_packing: false,
            members: Members::new(cfg.vm.clone(), cfg.seed),
            own: OwnState::default(),
            gossip: Gossip::default(),
            prober: Prober::new(first_round),
            puller: Puller::default(),
            reader: Reader::new(),
            is_reader: false,
            reader_order: Vec::new(),
            view: View::default(),
            traffic: Traffic::new(now.mono),
            observed: now,
            wake: None,
            out: Vec::new(),
            cfg,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Now, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        self.observe(now, actions);
        let now = now.mono;
        self.dispatch(event, now);
        self.publish_changes(now);
        self.advance_stage(now);
        self.start_pull(now);
        self.schedule_wakeup(now);
        actions.append(&mut self.out);
    }

    fn dispatch(&mut self, event: FleetEvent, now: Time) {
        match event {
            FleetEvent::Received { from, datagram } => self.on_datagram(from, &datagram, now),
            FleetEvent::PullReceived { inbound, request } => self.serve(inbound, &request, now),
            FleetEvent::Pulled { pull, reply } => self.on_pulled(pull, reply, now),
            FleetEvent::PullFailed { pull } => self.on_pull_failed(pull, now),
            FleetEvent::Read { read, answer } => self.on_read(read, answer, now),
            FleetEvent::ReadFailed { read, failure } => self.on_read_failed(read, failure, now),
            FleetEvent::Prepared(prepared) => self.on_prepared(*prepared, now),
            FleetEvent::CatchUp { version, from } => self.catch_up(version, &from, now),
            FleetEvent::Tick => self.tick(now),
            FleetEvent::Drain => self.drain(now),
        }
    }

    fn tick(&mut self, now: Time) {
        self.run_round(now);
        self.run_timeouts(now);
        self.members.expire_suspicions(now);
        self.run_reader(now);
    }

    /// Returns the configuration in effect.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.configuration.current().map(|c| c.snapshot.as_ref())
    }

    /// Returns the version in effect, or the default if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.configuration.version()
    }

    /// Returns the lifecycle stage of the node.
    #[must_use]
    pub const fn stage(&self) -> StageKind {
        self.stage.kind()
    }

    /// Returns the state of a member from the point of view of this node.
    #[must_use]
    pub fn member_state(&self, vm: &VmName) -> Option<MemberState> {
        self.members.get(vm).map(member::Member::state)
    }

    /// Returns the counts of one kind of control traffic.
    #[must_use]
    pub fn traffic(&self, kind: TrafficKind) -> TrafficCount {
        self.traffic.count(kind)
    }

    /// Returns `true` if this node is one of the readers of its zone.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        self.is_reader
    }

    fn schedule_wakeup(&mut self, now: Time) {
        let due = [
            Some(self.prober.due()),
            self.members.due(),
            self.puller.due(),
            self.reader.due(),
        ];
        let Some(due) = due.into_iter().flatten().min() else {
            return;
        };
        let due = due.max(now);
        if self.wake.is_none_or(|wake| wake <= now || due < wake) {
            self.wake = Some(due);
            self.out.push(FleetAction::WakeAt(due));
        }
    }
}
