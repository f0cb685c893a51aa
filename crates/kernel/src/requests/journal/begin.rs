//! Copies of keyed requests that arrive at the admitting node.

use celeryshore_model::Attempt;
use celeryshore_model::Digest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Now;
use celeryshore_model::RequestKey;

use super::Journal;
use super::KeyState;
use crate::Fence;

const FIRST_ATTEMPT: Attempt = Attempt::new(1);

/// One copy of a keyed request.
///
/// A key arrives in several copies if its caller sends it again or if another
/// node retries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedCopy {
    /// Idempotency key set by the caller.
    pub key: RequestKey,
    /// Digest of the request, which detects a key that is reused for another request.
    pub fingerprint: Digest,
    /// Attempt number, counted from 1; `None` if the caller sends no number.
    pub attempt: Option<Attempt>,
    /// Role of this node for the key.
    pub role: KeyRole,
}

/// Role of a node for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRole {
    /// Home node: every copy of the key is sent here first.
    ///
    /// The node's upstream is the first in the order of the key, and the list of
    /// upstreams has not changed since the key was created.
    Home,
    /// Any other node.
    Other,
}

/// What a node does with a copy of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Runs the copy.
    Run,
    /// Asks every other upstream of the service before the copy may run.
    CheckDuplicates {
        /// Fence for the other upstreams to set; this node has already set it.
        fence: Fence,
        /// Result of [`Journal::covers`]: whether the key certainly did not run in an
        /// earlier incarnation of this node.
        is_covered: bool,
    },
    /// Waits for a copy that is running here; [`Journal::finish`] returns the waiter.
    Join,
    /// The key has run; contains the response if it is still stored.
    Done(Option<HttpResponse>),
    /// The key may have run; its outcome is unknown.
    Lost,
    /// Another copy has set a higher fence.
    Superseded,
    /// The key is already used for another request.
    OtherRequest,
    /// The key is older than [`JournalConfig::max_key_age`].
    ///
    /// [`JournalConfig::max_key_age`]: crate::JournalConfig::max_key_age
    Expired,
    /// The journal has reached its limit of keys.
    Full,
}

impl<W> Journal<W> {
    /// Decides about a copy of a keyed request, in one atomic step.
    ///
    /// An unseen key runs without a duplicate check in two cases:
    ///
    /// - The caller sends attempt number 1, and the key has no creation time or
    ///   the journal covers it.
    /// - The copy has no attempt number, this node is the home of the key, and
    ///   the journal covers the key.
    ///
    /// Every other copy of a key that has not run here needs a duplicate check.
    pub fn begin(&mut self, now: Now, copy: &KeyedCopy, waiter: W) -> KeyDecision {
        if self.is_expired(now, &copy.key) {
            return KeyDecision::Expired;
        }
        if !self.entries.contains_key(&copy.key) {
            return self.begin_unseen(now, copy);
        }
        self.touch(now, &copy.key);
        self.begin_seen(now, copy, waiter)
    }

    /// Finishes a duplicate check in which every witness voted [`Seen::Fenced`], in
    /// one atomic step.
    ///
    /// The copy runs only if no other copy has replaced its fence on this node.
    ///
    /// [`Seen::Fenced`]: crate::Seen::Fenced
    pub fn finish_duplicate_check(
        &mut self,
        now: Now,
        copy: &KeyedCopy,
        fence: &Fence,
        waiter: W,
    ) -> KeyDecision {
        self.touch(now, &copy.key);
        let Some(entry) = self.entries.get_mut(&copy.key) else {
            return KeyDecision::Superseded;
        };
        match &entry.state {
            KeyState::Fenced(own) if own == fence => {
                entry.state = KeyState::Running(Vec::new());
                KeyDecision::Run
            }
            KeyState::Fenced(_) | KeyState::Refused => KeyDecision::Superseded,
            KeyState::Running(_) | KeyState::Done(_) | KeyState::Lost => {
                self.begin_seen(now, copy, waiter)
            }
        }
    }

    fn begin_unseen(&mut self, now: Now, copy: &KeyedCopy) -> KeyDecision {
        if self.is_full(now) {
            return KeyDecision::Full;
        }
        let is_covered = self.covers(now, &copy.key);
        if needs_no_duplicate_check(copy, is_covered) {
            self.insert(now, copy, KeyState::Running(Vec::new()));
            return KeyDecision::Run;
        }
        let fence = self.next_fence(copy, None);
        self.insert(now, copy, KeyState::Fenced(fence.clone()));
        KeyDecision::CheckDuplicates { fence, is_covered }
    }

    fn begin_seen(&mut self, now: Now, copy: &KeyedCopy, waiter: W) -> KeyDecision {
        let is_covered = self.covers(now, &copy.key);
        let Some(entry) = self.entries.get_mut(&copy.key) else {
            return KeyDecision::Superseded;
        };
        if entry.fingerprint != copy.fingerprint {
            return KeyDecision::OtherRequest;
        }
        let current = match &mut entry.state {
            KeyState::Running(waiters) => {
                waiters.push(waiter);
                return KeyDecision::Join;
            }
            KeyState::Done(response) => return KeyDecision::Done(response.clone()),
            KeyState::Lost => return KeyDecision::Lost,
            KeyState::Fenced(fence) if is_late(copy, fence) => return KeyDecision::Superseded,
            KeyState::Fenced(fence) => Some(fence.clone()),
            KeyState::Refused => None,
        };
        let fence = self.next_fence(copy, current.as_ref());
        if let Some(entry) = self.entries.get_mut(&copy.key) {
            entry.state = KeyState::Fenced(fence.clone());
        }
        KeyDecision::CheckDuplicates { fence, is_covered }
    }

    fn is_expired(&self, now: Now, key: &RequestKey) -> bool {
        key.created().is_some_and(|created| {
            now.wall - created > self.cfg.max_key_age + self.cfg.max_clock_skew
        })
    }
}

fn needs_no_duplicate_check(copy: &KeyedCopy, is_covered: bool) -> bool {
    let has_creation_time = copy.key.created().is_some();
    let is_first = copy.attempt == Some(FIRST_ATTEMPT);
    let is_home = copy.role == KeyRole::Home;
    let is_trusted = is_first && !has_creation_time;
    is_trusted || (is_covered && (is_first || (is_home && copy.attempt.is_none())))
}

/// Returns `true` for a first attempt, or one lower than the attempt of the fence.
fn is_late(copy: &KeyedCopy, fence: &Fence) -> bool {
    copy.attempt
        .is_some_and(|attempt| attempt == FIRST_ATTEMPT || attempt < fence.attempt)
}
