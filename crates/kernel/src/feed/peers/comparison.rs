//! Choice of the peers of other zones to compare with.

use std::collections::BTreeSet;

use celeryshore_model::Time;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

use super::Peer;
use super::Peers;

/// Who looks for peers to compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::feed) struct Seeker {
    /// Whether it reads the store. Readers ask each other, followers any node.
    pub(in crate::feed) is_reader: bool,
    /// Whether its own source failed or is outdated.
    pub(in crate::feed) is_lost: bool,
}

/// Order in which peers are asked; the least first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    is_skipped: bool,
    standing: Standing,
    compared_at: Time,
    rank: u64,
}

/// Kind of a peer's last answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Fresh,
    Unknown,
    Stale,
}

impl Peers {
    /// Returns up to `count` peers of other zones, of different zones if possible.
    ///
    /// Load pattern: a third of the VMs are dead. A peer that gave a fresh answer is asked
    /// again first, and one that did not answer is skipped for a while. A node that has its
    /// source asks the zones in turn; one that has lost it asks where there are fresh
    /// answers, and skipped peers rather than none.
    pub(in crate::feed) fn choose_compared(
        &self,
        now: Time,
        seeker: Seeker,
        count: usize,
        busy: &BTreeSet<VmName>,
        rng: &mut fastrand::Rng,
    ) -> Vec<VmName> {
        let others = self.known.iter().filter(|(vm, p)| {
            let is_skipped = p.record.failure_history.retry_at > now;
            !p.is_same_zone && !busy.contains(*vm) && (seeker.is_lost || !is_skipped)
        });
        let mut others: Vec<_> = others
            .map(|(vm, p)| (self.preference(now, p, seeker, rng), &p.zone, vm))
            .collect();
        others.sort();
        let mut zones = BTreeSet::new();
        let mut chosen: Vec<_> = Vec::new();
        let (first, more): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|(_, zone, _)| zones.insert((*zone).clone()));
        chosen.extend(self.in_turn(first, seeker));
        chosen.extend(more.into_iter().map(|(_, _, vm)| vm));
        chosen.into_iter().take(count).cloned().collect()
    }

    fn preference(
        &self,
        now: Time,
        peer: &Peer,
        seeker: Seeker,
        rng: &mut fastrand::Rng,
    ) -> Preference {
        let max_age = self.timing.max_source_age;
        let standing = match peer.record.answer {
            Some((at, true)) if now - at <= max_age => Standing::Fresh,
            Some((at, false)) if now - at <= max_age => Standing::Stale,
            _ => Standing::Unknown,
        };
        Preference {
            is_skipped: peer.record.failure_history.retry_at > now,
            standing,
            compared_at: Time::ZERO,
            rank: if seeker.is_reader {
                peer.rank
            } else {
                rng.u64(..)
            },
        }
    }

    /// Orders the first peers of the zones: those whose zone was asked longest ago first,
    /// unless the node has lost its source.
    fn in_turn<'a>(
        &self,
        mut first: Vec<(Preference, &'a ZoneName, &'a VmName)>,
        seeker: Seeker,
    ) -> impl Iterator<Item = &'a VmName> {
        for (preference, zone, _) in &mut first {
            let of_zone = self.known.values().filter(|p| p.zone == **zone);
            let compared_at = of_zone.map(|p| p.record.compared_at).max();
            preference.compared_at = compared_at.unwrap_or(Time::ZERO);
        }
        if seeker.is_lost {
            first.sort();
        } else {
            first.sort_by_key(|(preference, _, _)| preference.compared_at);
        }
        first.into_iter().map(|(_, _, vm)| vm)
    }

    /// Records that a peer is asked.
    pub(in crate::feed) fn record_comparison(&mut self, vm: &VmName, now: Time) {
        if let Some(peer) = self.known.get_mut(vm) {
            peer.record.compared_at = now;
        }
    }
}
