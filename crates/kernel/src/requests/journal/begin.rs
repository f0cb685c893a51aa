//! A copy of a keyed request comes to its admitting node.

use celeryshore_model::Attempt;
use celeryshore_model::Digest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Now;
use celeryshore_model::RequestKey;

use super::Journal;
use super::State;
use crate::Fence;

const FIRST: Attempt = Attempt::new(1);

/// One copy of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedCopy {
    /// The caller's key.
    pub key: RequestKey,
    /// Digest of the request.
    pub fingerprint: Digest,
    /// How often the caller has sent the key; absent if it does not say.
    pub attempt: Option<Attempt>,
    /// Whether this node is the key's home.
    pub standing: Standing,
}

/// Whether a node is where every copy of a key goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// First in the key's order, under a list of upstreams that has not changed
    /// since the key was made.
    Home,
    /// Any other node.
    Other,
}

/// What is to be done with a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run it.
    Run,
    /// Ask every other upstream of the service first.
    Judge {
        /// Fence that the others are to set; it is set here already.
        fence: Fence,
        /// Whether this node can say that the key did not run here earlier.
        vouches: bool,
    },
    /// A copy runs here; the waiter is told when it has ended.
    Join,
    /// It ran; the answer, if it is still held.
    Done(Option<HttpResponse>),
    /// It may have run.
    Lost,
    /// A copy of higher rank has taken its place.
    Superseded,
    /// The same key came with another request.
    OtherRequest,
    /// The key is older than the time for which keys are judged.
    Expired,
    /// There is no room for another key.
    Full,
}

impl<W> Journal<W> {
    /// Takes a copy of a keyed request, in one atomic step.
    ///
    /// An unseen key runs at once if the caller says that it is the first send,
    /// or if this node is the key's home, and this life of the node is older
    /// than the key. All else is judged.
    pub fn begin(&mut self, now: Now, copy: &KeyedCopy, waiter: W) -> Begin {
        if self.is_expired(now, &copy.key) {
            return Begin::Expired;
        }
        if !self.entries.contains_key(&copy.key) {
            return self.begin_unseen(now, copy);
        }
        self.touch(now, &copy.key);
        self.begin_seen(now, copy, waiter)
    }

    /// Ends a judgement in which every witness voted [`Seen::Fenced`], in one
    /// atomic step: the copy runs only if its own fence still stands.
    ///
    /// [`Seen::Fenced`]: crate::Seen::Fenced
    pub fn judged(&mut self, now: Now, copy: &KeyedCopy, fence: &Fence, waiter: W) -> Begin {
        self.touch(now, &copy.key);
        let Some(entry) = self.entries.get_mut(&copy.key) else {
            return Begin::Superseded;
        };
        match &entry.state {
            State::Fenced(own) if own == fence => {
                entry.state = State::Running(Vec::new());
                Begin::Run
            }
            State::Fenced(_) | State::Passed => Begin::Superseded,
            State::Running(_) | State::Done(_) | State::Lost => self.begin_seen(now, copy, waiter),
        }
    }

    fn begin_unseen(&mut self, now: Now, copy: &KeyedCopy) -> Begin {
        if self.is_full(now) {
            return Begin::Full;
        }
        let vouches = self.vouches_for(now, &copy.key);
        if runs_at_once(copy, vouches) {
            self.insert(now, copy, State::Running(Vec::new()));
            return Begin::Run;
        }
        let fence = self.outranking(copy, None);
        self.insert(now, copy, State::Fenced(fence.clone()));
        Begin::Judge { fence, vouches }
    }

    fn begin_seen(&mut self, now: Now, copy: &KeyedCopy, waiter: W) -> Begin {
        let vouches = self.vouches_for(now, &copy.key);
        let Some(entry) = self.entries.get_mut(&copy.key) else {
            return Begin::Superseded;
        };
        if entry.fingerprint != copy.fingerprint {
            return Begin::OtherRequest;
        }
        let standing = match &mut entry.state {
            State::Running(waiters) => {
                waiters.push(waiter);
                return Begin::Join;
            }
            State::Done(answer) => return Begin::Done(answer.clone()),
            State::Lost => return Begin::Lost,
            State::Fenced(fence) if is_late(copy, fence) => return Begin::Superseded,
            State::Fenced(fence) => Some(fence.clone()),
            State::Passed => None,
        };
        let fence = self.outranking(copy, standing.as_ref());
        if let Some(entry) = self.entries.get_mut(&copy.key) {
            entry.state = State::Fenced(fence.clone());
        }
        Begin::Judge { fence, vouches }
    }

    fn is_expired(&self, now: Now, key: &RequestKey) -> bool {
        key.created()
            .is_some_and(|created| now.wall - created > self.cfg.horizon + self.cfg.skew)
    }
}

fn runs_at_once(copy: &KeyedCopy, vouches: bool) -> bool {
    let timed = copy.key.created().is_some();
    let first = copy.attempt == Some(FIRST);
    let home = copy.standing == Standing::Home;
    let trusted = first && !timed;
    trusted || (vouches && (first || (home && copy.attempt.is_none())))
}

/// A first send, or a lower attempt than one that was judged, comes too late.
fn is_late(copy: &KeyedCopy, fence: &Fence) -> bool {
    copy.attempt
        .is_some_and(|attempt| attempt == FIRST || attempt < fence.attempt)
}
