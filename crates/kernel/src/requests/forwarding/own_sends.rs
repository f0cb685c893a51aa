//! Open requests of this node at each target.
//!
//! Load pattern: a target that freezes just after a good report. Its replies stop, so that
//! nothing contradicts the report. Requests that are open for much longer than usual count
//! against it.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::UpstreamName;

/// Multiple of the usual run time of a request after which it counts as overdue. Few
/// requests take so long at a target that makes progress.
const OVERDUE_FACTOR: u32 = 3;
/// Least time after which a request counts as overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(100);
/// Number of overdue requests from which a target is avoided, if they are at least half of
/// the open ones.
const MAX_OVERDUE: u32 = 2;

/// A request without a reply.
#[derive(Clone, Copy, Debug)]
struct OpenSend {
    at: Time,
    overdue_at: Time,
}

/// Requests of this node that have no reply yet, by upstream.
#[derive(Debug, Default)]
pub(super) struct OwnSends {
    open: BTreeMap<UpstreamName, Vec<OpenSend>>,
}

impl OwnSends {
    /// Records a request that is sent now and usually takes `usual`.
    pub(super) fn start(&mut self, now: Time, upstream: &UpstreamName, usual: Duration) {
        let overdue_at = now + (usual * OVERDUE_FACTOR).max(MIN_OVERDUE);
        let send = OpenSend {
            at: now,
            overdue_at,
        };
        if let Some(open) = self.open.get_mut(upstream) {
            open.push(send);
        } else {
            self.open.insert(upstream.clone(), vec![send]);
        }
    }

    /// Records the end of the request that was sent at `since`.
    pub(super) fn end(&mut self, upstream: &UpstreamName, since: Time) {
        let Some(open) = self.open.get_mut(upstream) else {
            return;
        };
        if let Some(position) = open.iter().position(|send| send.at == since) {
            open.remove(position);
        }
        if open.is_empty() {
            self.open.remove(upstream);
        }
    }

    /// Returns the open requests at an upstream.
    pub(super) fn at(&self, upstream: &UpstreamName) -> SendsAt<'_> {
        let open = self.open.get(upstream);
        SendsAt(open.map_or(&[], Vec::as_slice))
    }
}

/// Open requests of this node at one upstream, the earliest first.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendsAt<'a>(&'a [OpenSend]);

impl SendsAt<'_> {
    /// Returns the number of requests.
    pub(super) fn count(self) -> u32 {
        count(self.0.iter())
    }

    /// Returns how many were sent after a time.
    pub(super) fn count_since(self, time: Time) -> u32 {
        count(self.0.iter().filter(|send| send.at > time))
    }

    /// Returns how many take much longer than usual.
    pub(super) fn overdue(self, now: Time) -> u32 {
        count(self.0.iter().filter(|send| send.overdue_at <= now))
    }

    /// Returns `true` if the target seems to make no progress. `heard_at` is the time of its
    /// latest report, whoever passed it on.
    pub(super) fn is_stuck(self, now: Time, heard_at: Option<Time>) -> bool {
        let overdue = self.overdue(now);
        let is_silent = |send: &OpenSend| {
            send.overdue_at <= now && heard_at.is_none_or(|heard_at| heard_at < send.at)
        };
        overdue >= MAX_OVERDUE && overdue * 2 >= self.count() || self.0.iter().any(is_silent)
    }
}

fn count<'a>(sends: impl Iterator<Item = &'a OpenSend>) -> u32 {
    u32::try_from(sends.count()).unwrap_or(u32::MAX)
}
