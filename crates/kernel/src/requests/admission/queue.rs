//! Order in which work waits for the target.
//!
//! Load pattern: more work than the target can run. What is worth most runs
//! first, but each kind gets its least share.

use std::collections::BTreeMap;

use celeryshore_model::KindId;

use super::rank::Rank;
use super::shares::Shares;
use crate::requests::WorkId;

/// Work that waits.
#[derive(Clone, Debug)]
struct Waiting {
    rank: Rank,
    kind: KindId,
    work: WorkId,
}

/// Place of work in the queue: how much other work starts before it, as far as is
/// known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// Its kind is due its least share.
    Due(usize),
    /// By rank; more urgent work may still overtake it.
    Ranked(usize),
}

impl Place {
    /// Returns how much work starts before it.
    pub(super) const fn get(self) -> usize {
        match self {
            Self::Due(place) | Self::Ranked(place) => place,
        }
    }
}

/// Work that waits, the most urgent first and the oldest first among equals.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Returns how much work waits.
    pub(super) const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub(super) const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the place that new work of a kind would get.
    pub(super) fn place(&self, rank: Rank, kind: &KindId, shares: &Shares) -> Place {
        let of_kind = self.waiting.iter().filter(|w| w.kind == *kind).count();
        if of_kind < shares.due(kind) {
            Place::Due(of_kind)
        } else {
            Place::Ranked(self.place_of(rank))
        }
    }

    /// Puts work behind its equals; returns its place by rank.
    pub(super) fn push(&mut self, rank: Rank, kind: KindId, work: WorkId) -> usize {
        let place = self.place_of(rank);
        let waiting = Waiting { rank, kind, work };
        self.waiting.insert(place, waiting);
        place
    }

    /// Takes work out.
    pub(super) fn remove(&mut self, work: WorkId) {
        self.waiting.retain(|w| w.work != work);
    }

    /// Takes the work out that is to run next: of a kind that is due its least
    /// share, or else the first by rank.
    pub(super) fn pop(&mut self, shares: &Shares) -> Option<WorkId> {
        let due = self.waiting.iter().position(|w| shares.due(&w.kind) > 0);
        let next = due.unwrap_or_default();
        (next < self.waiting.len()).then(|| self.waiting.remove(next).work)
    }

    /// Returns the work that waits with the number of those that start before it, as
    /// far as is known.
    pub(super) fn places(&self, shares: &Shares) -> Vec<(usize, WorkId)> {
        let mut earlier: BTreeMap<&KindId, usize> = BTreeMap::new();
        let by_rank = self.waiting.iter().enumerate();
        by_rank
            .map(|(place, waiting)| {
                let of_kind = earlier.entry(&waiting.kind).or_default();
                let is_due = *of_kind < shares.due(&waiting.kind);
                let place = if is_due { *of_kind } else { place };
                *of_kind += 1;
                (place, waiting.work)
            })
            .collect()
    }

    /// Returns the work that waits, by rank.
    pub(super) fn iter(&self) -> impl Iterator<Item = WorkId> {
        self.waiting.iter().map(|w| w.work)
    }

    fn place_of(&self, rank: Rank) -> usize {
        self.waiting.partition_point(|w| w.rank <= rank)
    }
}
