//! Answers to long polls of peers.
//!
//! Load pattern: hundreds of followers on small VMs. A poll is answered when there is
//! something that the polling node lacks, or when the view was confirmed anew, which
//! transfers no items.

use celeryshore_model::Time;

use super::CatalogAnswer;
use super::CatalogRequest;
use super::Feed;
use super::FeedAction;
use super::Item;
use super::PendingPoll;
use super::PollId;
use super::Position;
use super::Progress;
use super::Section;

impl Feed {
    /// Records a long poll of a peer, which is answered by `answer_polls`.
    pub(super) fn on_poll(&mut self, now: Time, poll: PollId, request: CatalogRequest) {
        let pending = PendingPoll {
            until: now + request.wait,
            confirmed_at: self.freshness.confirmed_at(),
            checked: None,
            request,
        };
        self.pending_polls.insert(poll, pending);
    }

    /// Answers the long polls for which there are changes or a new confirmation, or whose
    /// wait is over.
    pub(super) fn answer_polls(&mut self, now: Time) {
        let latest = self.catalog.latest();
        let due: Vec<PollId> = self
            .pending_polls
            .iter()
            .filter(|(_, poll)| {
                poll.until <= now
                    || self.is_confirmed_since(poll)
                    || (poll.checked != Some(latest) && self.has_changes(&poll.request))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            if let Some(PendingPoll { request, .. }) = self.pending_polls.remove(&id) {
                let answer = Box::new(self.answer(now, &request));
                self.actions
                    .push(FeedAction::AnswerPoll { poll: id, answer });
            }
        }
        for poll in self.pending_polls.values_mut() {
            poll.checked = Some(latest);
        }
    }

    /// Returns `true` if the view was confirmed anew since the poll arrived.
    ///
    /// A node of an earlier release does not state what it knows, and its polls are held
    /// until there is a change.
    fn is_confirmed_since(&self, poll: &PendingPoll) -> bool {
        if poll.request.known.is_none() {
            return false;
        }
        match (poll.confirmed_at, self.freshness.confirmed_at()) {
            (Some(then), Some(now)) => now - then >= self.timing.confirmation_step,
            (then, now) => then != now,
        }
    }

    fn has_changes(&self, request: &CatalogRequest) -> bool {
        if self.position() == self.requested_position(request) {
            return false;
        }
        if request.known.is_none() {
            return true;
        }
        self.changes(request)
            .is_none_or(|mut changes| changes.next().is_some())
    }

    /// Returns the position of the polling node; without one it is before all changes.
    fn requested_position(&self, request: &CatalogRequest) -> Position {
        request.position.unwrap_or(Position {
            incarnation: self.cfg.incarnation,
            sequence: 0,
        })
    }

    /// Returns the changes that the polling node lacks, or `None` if it needs all items.
    fn changes<'a>(
        &'a self,
        request: &'a CatalogRequest,
    ) -> Option<impl Iterator<Item = (Section, &'a Item)>> {
        let own = |p: &Position| p.incarnation == self.cfg.incarnation;
        let sequence = request.position.filter(own).map(|p| p.sequence);
        let sequence = sequence.filter(|sequence| self.catalog.has_changes_since(*sequence));
        let known = request.known.as_ref();
        let has_history = known.is_some_and(|known| self.catalog.has_changes_after(known));
        let sequence = sequence.or_else(|| has_history.then_some(0))?;
        Some(self.catalog.since(sequence, known))
    }

    const fn position(&self) -> Position {
        Position {
            incarnation: self.cfg.incarnation,
            sequence: self.catalog.latest(),
        }
    }

    fn answer(&self, now: Time, request: &CatalogRequest) -> CatalogAnswer {
        let changes = self.changes(request);
        let changes: Option<Vec<_>> =
            changes.map(|changes| changes.map(|(s, item)| (s, item.clone())).collect());
        CatalogAnswer {
            position: self.position(),
            age: self.age(now),
            version: self.catalog.version(),
            revisions: Section::ALL.map(|section| self.catalog.revision(section)),
            progress: Some(Progress {
                settled: self.freshness.settled(),
                history: self.catalog.history(),
            }),
            is_whole: changes.is_none(),
            items: changes.unwrap_or_else(|| self.catalog.items()),
        }
    }
}
