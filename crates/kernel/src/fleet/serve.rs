//! Replies to pulls of other nodes: deltas or full configurations, at a limited
//! rate.

use std::time::Duration;

use celeryshore_model::Time;

use super::Fleet;
use super::budget::TrafficKind;
use super::event::FleetAction;
use super::event::InboundPullId;
use super::prepare::Prepare;
use super::pull::Helper;
use super::pull::PullReply;
use super::pull::PullRequest;

/// Retry delay sent to a peer while the configuration is being packed.
const PACKING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Minimum retry delay sent to a peer.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum retry delay sent to a peer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Maximum number of other nodes that a busy node suggests to a peer.
const MAX_OTHER_HELPERS: usize = 3;

/// Size in bytes that the rate limit assumes for a reply without its payload.
const REPLY_OVERHEAD_BYTES: usize = 200;

impl Fleet {
    pub(super) fn serve(&mut self, inbound: InboundPullId, request: &PullRequest, now: Time) {
        let reply = self.reply(request, now);
        self.out.push(FleetAction::PullReply { inbound, reply });
    }

    fn reply(&mut self, request: &PullRequest, now: Time) -> PullReply {
        let version = self.version();
        if request.base >= version {
            return PullReply::NotNewer { version };
        }
        if let Some(steps) = self.configuration.deltas_since(request.base) {
            return self.rate_limit(TrafficKind::PullDelta, PullReply::Deltas(steps), now);
        }
        let packed = self.configuration.current().and_then(|c| c.packed.clone());
        match packed {
            Some(packed) => {
                let reply = PullReply::Snapshot { version, packed };
                self.rate_limit(TrafficKind::PullSnapshot, reply, now)
            }
            None => self.pack(),
        }
    }

    /// Returns the reply if the rate limit allows it, and a busy reply
    /// otherwise.
    fn rate_limit(&mut self, kind: TrafficKind, reply: PullReply, now: Time) -> PullReply {
        let bytes = reply.payload_bytes() + REPLY_OVERHEAD_BYTES;
        match self.traffic.take(kind, bytes, now) {
            Ok(()) => reply,
            Err(wait) => self.busy(wait),
        }
    }

    fn pack(&mut self) -> PullReply {
        if let Some(base) = self.configuration.rules().filter(|_| !self.is_packing) {
            self.is_packing = true;
            self.out
                .push(FleetAction::Prepare(Box::new(Prepare::Pack(base))));
        }
        PullReply::Busy {
            retry_after: PACKING_RETRY_AFTER,
            others: Vec::new(),
        }
    }

    fn busy(&mut self, wait: Duration) -> PullReply {
        let version = self.version();
        let others = self.random_members(MAX_OTHER_HELPERS, |m| m.version >= version);
        let helpers = others.iter().filter_map(|vm| {
            let control = self.members.get(vm)?.control;
            let vm = vm.clone();
            Some(Helper { vm, control })
        });
        PullReply::Busy {
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            others: helpers.collect(),
        }
    }
}
