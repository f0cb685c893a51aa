//! Changes of members that `Fleet` acts on.

use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

use super::member::MemberState;
use super::message::Update;

/// Change that [`Members`](super::members::Members) passes to `Fleet`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The state of a member changed.
    State {
        /// VM of the member.
        vm: VmName,
        /// The new state.
        state: MemberState,
    },
    /// An update to gossip to other nodes.
    Gossip(Update),
    /// A suspect to ping for the last time before it is declared dead.
    Ping(VmName),
    /// Most members of a zone failed at the same time.
    ZoneLost(ZoneName),
    /// A lost zone answers again.
    ZoneRecovered(ZoneName),
}
