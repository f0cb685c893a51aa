//! Polls of peers: of the followed source, and of nodes of other zones to compare with.
//!
//! Load pattern: readers of different zones read the same versions from the store, and one
//! of them loses it. Each compares what it knows with another zone's reader at a short
//! interval, so that it need not notice the loss to learn the next version. What both know
//! is not transferred.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;

use super::CatalogRequest;
use super::Feed;
use super::FeedAction;
use super::FetchId;
use super::OutgoingPoll;
use super::SourceName;
use super::peers::Seeker;

/// Time limit for the answer of a seed, which is polled without a wait.
const SEED_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of nodes of other zones that a node asks at once when it has lost its source.
const LOST_COMPARISONS: usize = 2;
/// Largest number of polls in flight beside that of the source.
const MAX_COMPARISONS: usize = 4;

impl Feed {
    /// Polls the peer that forwarded a request under a newer version.
    pub(super) fn catch_up(&mut self, now: Time, version: Version, from: &VmName) {
        let is_asked = self.comparisons.values().any(|vm| vm == from);
        if version > self.catalog.version() && !is_asked && self.comparisons.len() < MAX_COMPARISONS
        {
            self.compare_with(now, from.clone());
        }
    }

    /// Polls the followed peer. One that may be dead is not waited for as long.
    pub(super) fn follow(&mut self, now: Time, vm: VmName) {
        let wait = if self.peers.has_answered(&vm, now) {
            self.timing.peer_wait
        } else {
            self.timing.first_wait
        };
        self.poll_source(now, vm, wait);
    }

    fn poll_source(&mut self, now: Time, vm: VmName, wait: Duration) {
        if let Some(fetch) = self.poll_peer(now, &vm, wait) {
            self.outgoing_poll = Some(OutgoingPoll {
                fetch,
                vm: Some(vm),
            });
        }
    }

    /// Sends a poll to a peer, unless its address is unknown.
    fn poll_peer(&mut self, now: Time, vm: &VmName, wait: Duration) -> Option<FetchId> {
        let peer = self.peers.addr(vm)?;
        let request = CatalogRequest {
            position: self.peers.position(vm),
            wait,
            known: Some(self.freshness.settled()),
        };
        let fetch = self.next_fetch();
        self.actions.push(FeedAction::PollPeer {
            fetch,
            peer,
            request,
            deadline: now + wait + self.timing.peer_answer,
        });
        Some(fetch)
    }

    /// Compares the catalog with those of other zones if it is due.
    pub(super) fn compare(&mut self, now: Time) {
        if self.comparison_at(now).is_none_or(|at| at > now) {
            return;
        }
        self.next_comparison_at = now + self.timing.comparison_interval;
        let seeker = Seeker {
            is_reader: self.is_reader(),
            is_lost: self.is_lost(now),
        };
        let wanted = if seeker.is_lost { LOST_COMPARISONS } else { 1 };
        let count = wanted.saturating_sub(self.comparisons.len());
        let busy: BTreeSet<_> = self.comparisons.values().cloned().collect();
        let chosen = self
            .peers
            .choose_compared(now, seeker, count, &busy, &mut self.rng);
        for vm in chosen {
            self.compare_with(now, vm);
        }
    }

    fn compare_with(&mut self, now: Time, vm: VmName) {
        self.peers.record_comparison(&vm, now);
        if let Some(fetch) = self.poll_peer(now, &vm, Duration::ZERO) {
            self.comparisons.insert(fetch, vm);
            self.comparison_count += 1;
        }
    }

    /// Returns the time of the next comparison, if one is needed.
    pub(super) fn comparison_at(&self, now: Time) -> Option<Time> {
        if self.is_initial_list_pending() || !self.peers.has_other_zones() {
            return None;
        }
        if self.is_reader() || self.is_lost(now) {
            return Some(self.next_comparison_at);
        }
        let outdated_at = self.outdated_at()?;
        Some(outdated_at.max(self.next_comparison_at))
    }

    fn is_reader(&self) -> bool {
        self.source == Some(SourceName::Store)
    }

    /// Returns `true` if the node's source failed or the view is older than a source's.
    fn is_lost(&self, now: Time) -> bool {
        self.is_source_lost
            || self.store_down_since.is_some()
            || self.outdated_at().is_some_and(|at| at <= now)
    }

    /// Returns the time from which the view is older than that of a source.
    fn outdated_at(&self) -> Option<Time> {
        let confirmed_at = self.freshness.confirmed_at()?;
        Some(confirmed_at + self.timing.max_source_age + Duration::from_micros(1))
    }

    /// Returns `true` if a node that reads the store has to poll a peer as well.
    ///
    /// The store may have been restored from an older copy before the node started. The
    /// peers then know a newer configuration than the store. Without nodes of other zones
    /// to compare with, those of its own are asked when the store is lost.
    pub(super) fn is_poll_due(&self, now: Time) -> bool {
        let is_first_poll_due =
            !self.has_peer_answer && self.peers.len() > 0 && !self.is_initial_list_pending();
        let is_lost =
            self.store_down_since.is_some() || self.outdated_poll_at().is_some_and(|at| at <= now);
        is_first_poll_due || (is_lost && !self.peers.has_other_zones())
    }

    /// Returns the time of the next poll of a random peer because of outdated data.
    pub(super) fn outdated_poll_at(&self) -> Option<Time> {
        if self.peers.has_other_zones() {
            return None;
        }
        let outdated_at = self.outdated_at()?;
        Some(outdated_at.max(self.last_any_poll_at + self.timing.peer_wait))
    }

    /// Polls a random peer while the store is unavailable or its data outdated, or once
    /// after the start.
    ///
    /// Nodes of another zone may still reach the store. A node that has just started
    /// polls one of its seeds, because it knows no peers.
    pub(super) fn poll_any_peer(&mut self, now: Time) {
        self.last_any_poll_at = now;
        let is_store_down = self.store_down_since.is_some();
        let has_lost_store = is_store_down || self.is_lost(now);
        if let Some(vm) = self
            .peers
            .choose_any(now, is_store_down, has_lost_store, &mut self.rng)
        {
            self.poll_source(now, vm, self.timing.peer_wait);
        } else if self.peers.len() == 0
            && let Some(seed) = self.rng.choice(self.cfg.seeds.iter().copied())
        {
            let fetch = self.next_fetch();
            self.outgoing_poll = Some(OutgoingPoll { fetch, vm: None });
            let request = CatalogRequest {
                position: None,
                wait: Duration::ZERO,
                known: None,
            };
            self.actions.push(FeedAction::PollPeer {
                fetch,
                peer: seed,
                request,
                deadline: now + SEED_TIMEOUT,
            });
        }
    }
}
