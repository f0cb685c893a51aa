//! Load of the VM's network link by large responses.
//!
//! Load pattern: downloads that together ask for more than the links of their targets'
//! VMs, while slots are free. The driver sends large responses one after the other, no
//! faster than the link. The time until the link is free therefore follows from the sizes
//! of the responses, and a request whose response would come too late is refused before
//! it runs.

use std::time::Duration;

use celeryshore_model::BitRate;
use celeryshore_model::ByteSize;
use celeryshore_model::KindId;
use celeryshore_model::Share;
use celeryshore_model::Time;

use crate::requests::sizes::ResponseSizes;

/// Share of the link for large messages; the rest is left to small ones.
pub const LARGE_SHARE: Share = Share::from_per_mille(900);
/// Time on the link above which a message counts as large.
pub const LARGE_TRANSFER: Duration = Duration::from_millis(10);

/// Link of the VM, as far as large responses use it.
#[derive(Debug)]
pub(super) struct Link {
    /// Rate for large responses; absent if the link's rate is not known.
    rate: Option<BitRate>,
    /// Time at which the link has sent all responses so far.
    free_at: Time,
    /// Usual sizes of the local target's responses.
    sizes: ResponseSizes,
}

impl Link {
    /// Creates an idle link of this rate.
    pub(super) fn new(rate: Option<BitRate>) -> Self {
        Self {
            rate: rate.map(|rate| rate.times(LARGE_SHARE)),
            free_at: Time::ZERO,
            sizes: ResponseSizes::default(),
        }
    }

    /// Records a response of the local target.
    pub(super) fn observe(&mut self, kind: &KindId, size: ByteSize) {
        self.sizes.observe(kind, size);
    }

    /// Records a response that is sent now.
    pub(super) fn send(&mut self, now: Time, size: ByteSize) {
        let time = self.time(size);
        if time > LARGE_TRANSFER {
            self.free_at = self.free_at.max(now) + time;
        }
    }

    /// Returns the time until the link has sent all responses so far.
    pub(super) fn wait(&self, now: Time) -> Duration {
        self.free_at - now
    }

    /// Returns the usual time on the link of a kind's responses; zero if they are small.
    pub(super) fn transfer_time(&self, kind: &KindId) -> Duration {
        let time = self.sizes.get(kind).map(|size| self.time(size));
        time.filter(|t| *t > LARGE_TRANSFER).unwrap_or_default()
    }

    /// Returns the time on the link of a message of this size.
    pub(super) fn time(&self, size: ByteSize) -> Duration {
        self.rate.map(|rate| rate.time(size)).unwrap_or_default()
    }
}
