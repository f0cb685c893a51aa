//! Reads of one section from the store: a list first, then its changes.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::Time;

use super::FetchFailure;
use super::FetchId;
use super::ItemKey;
use super::Page;
use super::Revision;
use super::Section;
use crate::fleet::Backoff;

/// Time for which the store may hold a read of changes. Longer waits save calls,
/// but a lost answer is only noticed after this time, and operators' changes
/// have to be in force again soon after that.
pub(super) const STORE_WAIT: Duration = Duration::from_secs(2);
/// Time beyond the wait after which an answer is given up; a slow store takes up
/// to a hundred times its usual 4 ms.
const STORE_SLACK: Duration = Duration::from_millis(500);
/// Shortest time between two reads of targets' changes. Their heartbeats make
/// every read return at once, and each read has its price.
const UPSTREAMS_GAP: Duration = Duration::from_millis(700);
/// Shortest time between two reads of operators' changes.
const CONFIGURATION_GAP: Duration = Duration::from_millis(50);
/// First and longest wait after a failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Reads of one section.
#[derive(Debug)]
pub(super) struct SectionReader {
    section: Section,
    state: State,
    must_list: bool,
    has_lost_history: bool,
    started_at: Option<Time>,
    next_at: Time,
    backoff: Backoff,
}

#[derive(Debug)]
enum State {
    Idle,
    Listing { fetch: FetchId, list: List },
    Watching { fetch: FetchId },
}

/// Pages of a list so far.
#[derive(Debug, Default)]
pub(super) struct List {
    /// Keys on the pages.
    pub(super) keys: BTreeSet<ItemKey>,
    /// Revision of the first page; later pages may hold later changes.
    pub(super) revision: Option<Revision>,
}

/// What to read next.
#[derive(Debug)]
pub(super) enum Next {
    /// A page after a key.
    Page(Option<ItemKey>),
    /// Changes.
    Changes,
}

impl SectionReader {
    /// Makes a reader that has read nothing.
    pub(super) const fn new(section: Section) -> Self {
        Self {
            section,
            state: State::Idle,
            must_list: true,
            has_lost_history: false,
            started_at: None,
            next_at: Time::ZERO,
            backoff: Backoff::new(MIN_BACKOFF, MAX_BACKOFF),
        }
    }

    /// Returns the section.
    pub(super) const fn section(&self) -> Section {
        self.section
    }

    /// Returns when the latest read began.
    pub(super) const fn started_at(&self) -> Option<Time> {
        self.started_at
    }

    /// Tells whether the latest read failed.
    pub(super) const fn is_lost(&self) -> bool {
        self.backoff.failures() > 0
    }

    /// Tells whether the first list is still to come, and nothing speaks against
    /// its coming soon.
    pub(super) const fn is_beginning(&self) -> bool {
        self.must_list && self.backoff.failures() == 0
    }

    /// Tells whether a read is this reader's current one.
    pub(super) fn is_current(&self, read: FetchId) -> bool {
        match &self.state {
            State::Idle => false,
            State::Listing { fetch, .. } | State::Watching { fetch } => *fetch == read,
        }
    }

    /// Returns when the next read is due; nothing while one is under way.
    pub(super) fn due(&self) -> Option<Time> {
        matches!(self.state, State::Idle).then_some(self.next_at)
    }

    /// Tells what to read now, if a read is due. `is_known` says whether the
    /// section is complete up to some revision by way of a peer.
    pub(super) fn next(&self, now: Time, is_known: bool) -> Option<Next> {
        self.due().filter(|at| *at <= now)?;
        Some(if self.must_list && !is_known {
            Next::Page(None)
        } else {
            Next::Changes
        })
    }

    /// Notes that a read began; returns when to give it up.
    pub(super) fn begin(&mut self, now: Time, fetch: FetchId, next: &Next) -> Time {
        self.started_at = Some(now);
        match next {
            Next::Page(_) => {
                let list = List::default();
                self.state = State::Listing { fetch, list };
                now + STORE_SLACK
            }
            Next::Changes => {
                self.state = State::Watching { fetch };
                now + STORE_WAIT + STORE_SLACK
            }
        }
    }

    /// Takes a page; returns the list once it is whole, or the key after which
    /// to go on under a new number.
    pub(super) fn listed(
        &mut self,
        page: &Page,
        now: Time,
        fetch: FetchId,
    ) -> Result<List, Option<ItemKey>> {
        let State::Listing { list, .. } = std::mem::replace(&mut self.state, State::Idle) else {
            return Err(None);
        };
        let mut list = list;
        list.revision.get_or_insert(page.revision);
        list.keys
            .extend(page.items.iter().map(|item| item.key.clone()));
        let end = page.items.last().map(|item| item.key.clone());
        if page.has_more && end.is_some() {
            self.state = State::Listing { fetch, list };
            return Err(end);
        }
        self.must_list = false;
        self.has_lost_history = false;
        self.succeed(now);
        Ok(list)
    }

    /// Returns when to give up a further page.
    pub(super) fn page_deadline(now: Time) -> Time {
        now + STORE_SLACK
    }

    /// Notes that changes came.
    pub(super) fn watched(&mut self, now: Time) {
        self.state = State::Idle;
        self.must_list = false;
        self.succeed(now);
    }

    /// Notes that a read failed.
    pub(super) fn failed(&mut self, now: Time, failure: &FetchFailure, rng: &mut fastrand::Rng) {
        use super::AdapterError::HistoryGone;
        self.state = State::Idle;
        if *failure == FetchFailure::Refused(HistoryGone) {
            self.must_list = true;
            self.has_lost_history = true;
            self.next_at = now;
            return;
        }
        self.next_at = now + self.backoff.next_delay(rng);
    }

    /// Tells whether the history that a watch needs is gone.
    pub(super) const fn has_lost_history(&self) -> bool {
        self.has_lost_history
    }

    fn succeed(&mut self, now: Time) {
        self.backoff.reset();
        let gap = match self.section {
            Section::Configuration => CONFIGURATION_GAP,
            Section::Upstreams => UPSTREAMS_GAP,
        };
        let earliest = self.started_at.map_or(now, |at| at + gap);
        self.next_at = earliest.max(now);
    }
}
