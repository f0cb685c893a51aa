//! Queue of requests in front of the target.
//!
//! Load pattern: more requests than the target can run. The most urgent ones run first,
//! but each kind gets its minimum share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use celeryshore_model::KindId;

use super::rank::Rank;
use super::shares::Shares;
use crate::requests::WorkId;

/// A queued request.
#[derive(Clone, Debug)]
struct Waiting {
    rank: Rank,
    kind: KindId,
    /// Whether its response will be late.
    is_late: bool,
    work: WorkId,
}

impl Waiting {
    fn guaranteed_starts(&self, shares: &Shares) -> usize {
        shares.guaranteed_starts(&self.kind, self.is_late)
    }
}

/// Number of requests expected to start before a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Position {
    /// The request starts within the minimum share of its kind.
    Guaranteed(usize),
    /// The request starts by rank. More urgent requests that arrive later start before
    /// it.
    Ranked(usize),
}

impl Position {
    /// Returns the number of requests expected to start before.
    pub(super) const fn get(self) -> usize {
        match self {
            Self::Guaranteed(position) | Self::Ranked(position) => position,
        }
    }
}

/// Queued requests by rank, and by arrival among equal ranks.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    pub(super) const fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the position that a new request would get. Queued requests of the kinds in
    /// `held` start after all others.
    pub(super) fn position(
        &self,
        rank: Rank,
        kind: &KindId,
        is_late: bool,
        shares: &Shares,
        held: &BTreeSet<&KindId>,
    ) -> Position {
        let is_same = |w: &&Waiting| w.kind == *kind && w.is_late == is_late;
        let same_kind = self.waiting.iter().filter(is_same).count();
        if same_kind < shares.guaranteed_starts(kind, is_late) {
            Position::Guaranteed(same_kind)
        } else {
            let by_rank = self.position_by_rank(rank);
            let before = self.waiting[..by_rank].iter();
            let is_before = |w: &&Waiting| held.contains(kind) || !held.contains(&w.kind);
            Position::Ranked(before.filter(is_before).count())
        }
    }

    /// Queues a request behind those of equal rank. Returns its position by rank.
    pub(super) fn push(&mut self, rank: Rank, kind: KindId, is_late: bool, work: WorkId) -> usize {
        let position = self.position_by_rank(rank);
        let waiting = Waiting {
            rank,
            kind,
            is_late,
            work,
        };
        self.waiting.insert(position, waiting);
        position
    }

    pub(super) fn remove(&mut self, work: WorkId) {
        self.waiting.retain(|w| w.work != work);
    }

    /// Removes and returns the next request to start: the first whose kind is due its
    /// minimum share, or else the first by rank. The kinds in `held` start within their
    /// minimum share only.
    pub(super) fn pop(&mut self, shares: &Shares, held: &BTreeSet<&KindId>) -> Option<WorkId> {
        let may_start = |w: &Waiting| !held.contains(&w.kind);
        let is_guaranteed = |w: &Waiting| w.guaranteed_starts(shares) > 0;
        let guaranteed = self.waiting.iter().position(is_guaranteed);
        let next = guaranteed.or_else(|| self.waiting.iter().position(may_start))?;
        Some(self.waiting.remove(next).work)
    }

    /// Returns the queued requests, each with the number of requests expected to start
    /// before it.
    pub(super) fn positions(&self, shares: &Shares) -> Vec<(usize, WorkId)> {
        let mut ahead_by_kind: BTreeMap<(&KindId, bool), usize> = BTreeMap::new();
        let by_rank = self.waiting.iter().enumerate();
        by_rank
            .map(|(position, waiting)| {
                let same_kind = ahead_by_kind
                    .entry((&waiting.kind, waiting.is_late))
                    .or_default();
                let is_guaranteed = *same_kind < waiting.guaranteed_starts(shares);
                let position = if is_guaranteed { *same_kind } else { position };
                *same_kind += 1;
                (position, waiting.work)
            })
            .collect()
    }

    /// Returns the queued requests by rank.
    pub(super) fn iter(&self) -> impl Iterator<Item = WorkId> {
        self.waiting.iter().map(|w| w.work)
    }

    fn position_by_rank(&self, rank: Rank) -> usize {
        self.waiting.partition_point(|w| w.rank <= rank)
    }
}
