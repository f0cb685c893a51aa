//! Another node asks whether a key may have run here.

use celeryshore_model::Now;

use super::Journal;
use super::KeyedCopy;
use super::Standing;
use super::State;
use crate::Fence;
use crate::Inquiry;
use crate::Seen;

/// What a witness does with a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Witness {
    /// Answer it now.
    Vote(Seen),
    /// A copy runs here; the waiter is told when it has ended and asks again.
    Wait,
}

impl<W> Journal<W> {
    /// Answers a judging node and sets its fence, in one atomic step.
    pub fn witness(&mut self, now: Now, inquiry: &Inquiry, waiter: W) -> Witness {
        let vouches = self.vouches_for(now, &inquiry.key);
        self.touch(now, &inquiry.key);
        let Some(entry) = self.entries.get_mut(&inquiry.key) else {
            return Witness::Vote(self.witness_unseen(now, inquiry, vouches));
        };
        if entry.fingerprint != inquiry.fingerprint {
            return Witness::Vote(Seen::OtherRequest);
        }
        let seen = match &mut entry.state {
            State::Running(waiters) => {
                waiters.push(waiter);
                return Witness::Wait;
            }
            State::Done(answer) => Seen::Done(answer.clone()),
            State::Lost => Seen::Lost,
            State::Fenced(fence) if *fence > inquiry.fence => Seen::Outranked(fence.clone()),
            State::Fenced(fence) => set_fence(fence, inquiry, vouches),
            State::Passed => {
                entry.state = State::Fenced(inquiry.fence.clone());
                fenced(vouches)
            }
        };
        Witness::Vote(seen)
    }

    fn witness_unseen(&mut self, now: Now, inquiry: &Inquiry, vouches: bool) -> Seen {
        if self.is_full(now) {
            return Seen::TooYoung;
        }
        let copy = KeyedCopy {
            key: inquiry.key.clone(),
            fingerprint: inquiry.fingerprint,
            attempt: None,
            standing: Standing::Other,
        };
        self.insert(now, &copy, State::Fenced(inquiry.fence.clone()));
        fenced(vouches)
    }
}

fn set_fence(fence: &mut Fence, inquiry: &Inquiry, vouches: bool) -> Seen {
    *fence = inquiry.fence.clone();
    fenced(vouches)
}

fn fenced(vouches: bool) -> Seen {
    if vouches {
        Seen::Fenced
    } else {
        Seen::TooYoung
    }
}
