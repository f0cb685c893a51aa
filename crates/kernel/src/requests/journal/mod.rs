//! Journal of idempotency keys on an admitting node, so that each key runs at
//! most once.
//!
//! The journal is kept in memory only and is lost when the process ends.
//! [`Journal::covers`] therefore returns whether the process is old enough to
//! know every run of a key on this node. The journal decides in three places,
//! each an atomic step:
//!
//! - `begin` handles the copies of a request that arrive. A copy that cannot
//!   run immediately needs a duplicate check: the node sends an inquiry to every
//!   other upstream of the service, the witnesses.
//! - `witness` handles the inquiries of other nodes. A witness that has not seen
//!   the key sets a [`Fence`] and votes.
//! - [`Journal::finish_duplicate_check`] runs the copy if all witnesses have set its
//!   fence and no other copy has replaced the fence on the inquiring node.
//!
//! `entry` holds the state of one key.

mod begin;
mod entry;
mod witness;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::ByteSize;
use celeryshore_model::HttpResponse;
use celeryshore_model::Now;
use celeryshore_model::RequestKey;
use celeryshore_model::Time;
use celeryshore_model::VmName;

pub use self::begin::KeyDecision;
pub use self::begin::KeyRole;
pub use self::begin::KeyedCopy;
use self::entry::Entry;
use self::entry::KeyState;
pub use self::witness::InquiryDecision;
use crate::Fence;

/// Limits of a journal.
#[derive(Clone, Debug)]
pub struct JournalConfig {
    /// VM of this node; decides between fences that are otherwise of equal rank.
    pub vm: VmName,
    /// Maximum age of a key; copies of older keys are not run, because nodes may
    /// have forgotten them.
    pub max_key_age: Duration,
    /// Maximum difference between the clocks of a caller and of this node.
    pub max_clock_skew: Duration,
    /// Maximum time from the admission of a copy to its end.
    pub max_run_time: Duration,
    /// Maximum number of keys in the journal.
    pub max_keys: usize,
    /// Maximum total size of the stored responses; the oldest are dropped first.
    pub max_response_size: ByteSize,
}

impl JournalConfig {
    /// Returns the default limits for a node on this VM.
    #[must_use]
    pub fn new(vm: VmName) -> Self {
        const MAX_KEY_AGE: Duration = Duration::from_mins(10);
        const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);
        const MAX_RUN_TIME: Duration = Duration::from_mins(1);
        const MAX_KEYS: usize = 60_000;
        const MAX_RESPONSE_SIZE: ByteSize = ByteSize::new(16 * 1_024 * 1_024);
        Self {
            vm,
            max_key_age: MAX_KEY_AGE,
            max_clock_skew: MAX_CLOCK_SKEW,
            max_run_time: MAX_RUN_TIME,
            max_keys: MAX_KEYS,
            max_response_size: MAX_RESPONSE_SIZE,
        }
    }
}

/// Outcome of a copy that was allowed to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The copy ran; contains the complete response.
    Done(HttpResponse),
    /// The copy may have run.
    Lost,
    /// The copy was refused and did not run.
    NotRun,
}

/// Journal of the idempotency keys that an admitting node has seen.
///
/// `W` identifies a waiter: a copy or an inquiry that waits for a running copy.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::KeyDecision;
/// use celeryshore_kernel::KeyedCopy;
/// use celeryshore_kernel::Journal;
/// use celeryshore_kernel::JournalConfig;
/// use celeryshore_kernel::KeyOutcome;
/// use celeryshore_kernel::KeyRole;
/// use celeryshore_model::Attempt;
/// use celeryshore_model::Digest;
/// use celeryshore_model::HttpResponse;
/// use celeryshore_model::Now;
///
/// let cfg = JournalConfig::new("vm-1".parse()?);
/// let mut journal = Journal::new(cfg, Now::default());
/// let copy = KeyedCopy {
///     key: "order-17".parse()?,
///     fingerprint: Digest::of(b"POST /orders"),
///     attempt: Some(Attempt::new(1)),
///     role: KeyRole::Home,
/// };
/// let now = Now::default();
/// assert_eq!(journal.begin(now, &copy, "first"), KeyDecision::Run);
/// assert_eq!(journal.begin(now, &copy, "second"), KeyDecision::Join);
/// let response = HttpResponse { status: 201, ..HttpResponse::default() };
/// let waiters = journal.finish(now, &copy.key, KeyOutcome::Done(response.clone()));
/// assert_eq!(waiters, ["second"]);
/// assert_eq!(journal.begin(now, &copy, "second"), KeyDecision::Done(Some(response)));
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Debug)]
pub struct Journal<W> {
    cfg: JournalConfig,
    started: Now,
    entries: HashMap<RequestKey, Entry<W>>,
    expiry_queue: VecDeque<(Time, RequestKey)>,
    /// Keys of the stored responses, the oldest first.
    responses: VecDeque<RequestKey>,
    response_bytes: u64,
}

impl<W> Journal<W> {
    /// Creates an empty journal of a process that started at `started`.
    #[must_use]
    pub fn new(cfg: JournalConfig, started: Now) -> Self {
        Self {
            cfg,
            started,
            entries: HashMap::new(),
            expiry_queue: VecDeque::new(),
            responses: VecDeque::new(),
            response_bytes: 0,
        }
    }

    /// Returns the number of keys in the journal.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if the journal contains no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the stored responses.
    #[must_use]
    pub fn response_size(&self) -> ByteSize {
        ByteSize::new(self.response_bytes)
    }

    /// Returns `true` if this process started before the key was created.
    ///
    /// A key that is covered and has no entry has never run on this node.
    /// Otherwise it may have run in an earlier incarnation of the node.
    #[must_use]
    pub fn covers(&self, now: Now, key: &RequestKey) -> bool {
        let is_older_than_any_key = now.mono - self.started.mono >= self.cfg.max_key_age;
        let is_created_later = key.created().is_some_and(|created| {
            let is_plausible = created <= now.wall + self.cfg.max_clock_skew;
            is_plausible && created >= self.started.wall + self.cfg.max_clock_skew
        });
        is_older_than_any_key || is_created_later
    }

    /// Records that a copy was refused here before it ran and may now run on
    /// another node.
    ///
    /// Without this entry, a copy without an attempt number that arrives here
    /// later would run the key a second time.
    pub fn record_refusal(&mut self, now: Now, copy: &KeyedCopy) {
        if !self.entries.contains_key(&copy.key) && !self.is_full(now) {
            self.insert(now, copy, KeyState::Refused);
        }
    }

    /// Records the outcome of a running copy and returns its waiters.
    ///
    /// The caller repeats the copy or inquiry of each waiter.
    pub fn finish(&mut self, now: Now, key: &RequestKey, outcome: KeyOutcome) -> Vec<W> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        let KeyState::Running(waiters) = std::mem::replace(&mut entry.state, KeyState::Lost) else {
            return Vec::new();
        };
        match outcome {
            KeyOutcome::Done(response) => self.store_response(key, response),
            KeyOutcome::Lost => {}
            KeyOutcome::NotRun => entry.state = KeyState::Refused,
        }
        self.touch(now, key);
        waiters
    }

    fn store_response(&mut self, key: &RequestKey, response: HttpResponse) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        self.response_bytes += entry::response_size(&response);
        entry.state = KeyState::Done(Some(response));
        self.responses.push_back(key.clone());
        while self.response_bytes > self.cfg.max_response_size.get() {
            let Some(oldest) = self.responses.pop_front() else {
                return;
            };
            self.drop_response(&oldest);
        }
    }

    fn drop_response(&mut self, key: &RequestKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let KeyState::Done(response) = &mut entry.state
            && let Some(response) = response.take()
        {
            self.response_bytes -= entry::response_size(&response);
        }
    }

    fn retention(&self) -> Duration {
        self.cfg.max_key_age + 2 * self.cfg.max_clock_skew + self.cfg.max_run_time
    }

    fn is_full(&mut self, now: Now) -> bool {
        self.expire(now);
        self.entries.len() >= self.cfg.max_keys
    }

    fn expire(&mut self, now: Now) {
        while let Some((last_used, key)) = self.expiry_queue.front() {
            if now.mono - *last_used <= self.retention() {
                return;
            }
            let key = key.clone();
            self.expiry_queue.pop_front();
            self.expire_key(now, key);
        }
    }

    fn expire_key(&mut self, now: Now, key: RequestKey) {
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        let is_running = matches!(entry.state, KeyState::Running(_));
        if is_running || now.mono - entry.last_used <= self.retention() {
            let last_used = if is_running {
                now.mono
            } else {
                entry.last_used
            };
            self.expiry_queue.push_back((last_used, key));
            return;
        }
        self.drop_response(&key);
        self.entries.remove(&key);
    }

    fn insert(&mut self, now: Now, copy: &KeyedCopy, state: KeyState<W>) {
        let entry = Entry {
            fingerprint: copy.fingerprint,
            state,
            last_used: now.mono,
        };
        self.entries.insert(copy.key.clone(), entry);
        self.expiry_queue.push_back((now.mono, copy.key.clone()));
    }

    fn touch(&mut self, now: Now, key: &RequestKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.last_used = now.mono;
        }
    }

    fn next_fence(&self, copy: &KeyedCopy, current: Option<&Fence>) -> Fence {
        let attempt = copy.attempt.unwrap_or_default();
        Fence {
            attempt: current.map_or(attempt, |f| attempt.max(f.attempt)),
            sequence: current.map_or(0, |f| f.sequence + 1),
            judge: self.cfg.vm.clone(),
        }
    }
}
