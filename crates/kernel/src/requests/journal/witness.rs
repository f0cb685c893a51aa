//! Inquiries of other nodes about whether a key may have run here.

use celeryshore_model::Now;

use super::Journal;
use super::KeyRole;
use super::KeyState;
use super::KeyedCopy;
use crate::Fence;
use crate::Inquiry;
use crate::Seen;

/// What a witness does with an inquiry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InquiryDecision {
    /// Replies with a vote now.
    Vote(Seen),
    /// Waits for a copy that is running here.
    ///
    /// [`Journal::finish`] returns the waiter, whose inquiry is then repeated.
    Wait,
}

impl<W> Journal<W> {
    /// Votes on an inquiry and sets its fence, in one atomic step.
    ///
    /// The fence is not set if the key has run or may have run here, if it belongs to
    /// another request, if a higher fence is set, or if the journal is full.
    pub fn answer_inquiry(&mut self, now: Now, inquiry: &Inquiry, waiter: W) -> InquiryDecision {
        let is_covered = self.covers(now, &inquiry.key);
        self.touch(now, &inquiry.key);
        let Some(entry) = self.entries.get_mut(&inquiry.key) else {
            return InquiryDecision::Vote(self.vote_on_unseen(now, inquiry, is_covered));
        };
        if entry.fingerprint != inquiry.fingerprint {
            return InquiryDecision::Vote(Seen::OtherRequest);
        }
        let seen = match &mut entry.state {
            KeyState::Running(waiters) => {
                waiters.push(waiter);
                return InquiryDecision::Wait;
            }
            KeyState::Done(response) => Seen::Done(response.clone()),
            KeyState::Lost => Seen::Lost,
            KeyState::Fenced(fence) if *fence > inquiry.fence => Seen::Outranked(fence.clone()),
            KeyState::Fenced(fence) => set_fence(fence, inquiry, is_covered),
            KeyState::Refused => {
                entry.state = KeyState::Fenced(inquiry.fence.clone());
                fenced(is_covered)
            }
        };
        InquiryDecision::Vote(seen)
    }

    fn vote_on_unseen(&mut self, now: Now, inquiry: &Inquiry, is_covered: bool) -> Seen {
        if self.is_full(now) {
            return Seen::TooYoung;
        }
        let copy = KeyedCopy {
            key: inquiry.key.clone(),
            fingerprint: inquiry.fingerprint,
            attempt: None,
            role: KeyRole::Other,
        };
        self.insert(now, &copy, KeyState::Fenced(inquiry.fence.clone()));
        fenced(is_covered)
    }
}

fn set_fence(fence: &mut Fence, inquiry: &Inquiry, is_covered: bool) -> Seen {
    *fence = inquiry.fence.clone();
    fenced(is_covered)
}

fn fenced(is_covered: bool) -> Seen {
    if is_covered {
        Seen::Fenced
    } else {
        Seen::TooYoung
    }
}
