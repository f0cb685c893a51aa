//! Changes of members that the rest of the node has to know of.

use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

use super::member::MemberState;
use super::message::Update;

/// A change that the rest of the node has to know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another state of a member.
    State {
        /// VM of the member.
        vm: VmName,
        /// Its state.
        state: MemberState,
    },
    /// News worth telling other nodes.
    Gossip(Update),
    /// A suspect should be pinged before it counts as dead.
    Ping(VmName),
    /// Most members of a zone were lost at once.
    ZoneLost(ZoneName),
    /// A lost zone answers again.
    ZoneRecovered(ZoneName),
}
