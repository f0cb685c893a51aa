//! Memory of keyed requests at one admitting node: each key runs at most once.
//!
//! A journal lives in memory and dies with its process, so it says how far it
//! can vouch: a key that may be older than this life may have run in an
//! earlier one. [`Journal::begin`] takes a copy of a request and
//! [`Journal::witness`] a question of another node; both are one atomic step.
//! A copy that may not run at once is judged: its node asks every other
//! upstream of the service, each of which sets a [`Fence`], and
//! [`Journal::judged`] runs it only while its own fence still stands.

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

pub use self::begin::Begin;
pub use self::begin::KeyedCopy;
pub use self::begin::Standing;
use self::entry::Entry;
use self::entry::State;
pub use self::witness::Witness;
use crate::Fence;

/// Bounds of a journal.
#[derive(Clone, Debug)]
pub struct JournalConfig {
    /// VM of this node, which ranks its fences.
    pub vm: VmName,
    /// Age up to which a key is judged; older copies are refused.
    pub horizon: Duration,
    /// Largest difference between a caller's clock and this node's.
    pub skew: Duration,
    /// Longest time between a copy's admission and its end.
    pub longest_run: Duration,
    /// Keys that are remembered at one time.
    pub keys: usize,
    /// Bytes of answers that are held at one time.
    pub answers: ByteSize,
}

impl JournalConfig {
    /// Makes the usual bounds for a node on this VM.
    #[must_use]
    pub fn new(vm: VmName) -> Self {
        const HORIZON: Duration = Duration::from_mins(10);
        const SKEW: Duration = Duration::from_secs(2);
        const LONGEST_RUN: Duration = Duration::from_mins(1);
        const KEYS: usize = 60_000;
        const ANSWERS: ByteSize = ByteSize::new(16 * 1_024 * 1_024);
        Self {
            vm,
            horizon: HORIZON,
            skew: SKEW,
            longest_run: LONGEST_RUN,
            keys: KEYS,
            answers: ANSWERS,
        }
    }
}

/// How a copy that was allowed to run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// It ran, and this is the whole answer.
    Done(HttpResponse),
    /// It may have run.
    Lost,
    /// It certainly did not run and was refused.
    NotRun,
}

/// Memory of keyed requests at one admitting node.
///
/// `W` names those who wait for a copy that runs.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::Begin;
/// use celeryshore_kernel::KeyedCopy;
/// use celeryshore_kernel::Journal;
/// use celeryshore_kernel::JournalConfig;
/// use celeryshore_kernel::KeyOutcome;
/// use celeryshore_kernel::Standing;
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
///     standing: Standing::Home,
/// };
/// let now = Now::default();
/// assert_eq!(journal.begin(now, &copy, "first"), Begin::Run);
/// assert_eq!(journal.begin(now, &copy, "second"), Begin::Join);
/// let answer = HttpResponse { status: 201, ..HttpResponse::default() };
/// let waiters = journal.finish(now, &copy.key, KeyOutcome::Done(answer.clone()));
/// assert_eq!(waiters, ["second"]);
/// assert_eq!(journal.begin(now, &copy, "second"), Begin::Done(Some(answer)));
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Debug)]
pub struct Journal<W> {
    cfg: JournalConfig,
    start: Now,
    entries: HashMap<RequestKey, Entry<W>>,
    by_age: VecDeque<(Time, RequestKey)>,
    answers: VecDeque<RequestKey>,
    answer_bytes: u64,
}

impl<W> Journal<W> {
    /// Makes the empty journal of a process that starts now.
    #[must_use]
    pub fn new(cfg: JournalConfig, start: Now) -> Self {
        Self {
            cfg,
            start,
            entries: HashMap::new(),
            by_age: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Returns how many keys are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many bytes of answers are held.
    #[must_use]
    pub fn answer_size(&self) -> ByteSize {
        ByteSize::new(self.answer_bytes)
    }

    /// Tells whether this life of the node began before the key was made, so
    /// that a key it has not seen certainly never ran here.
    #[must_use]
    pub fn vouches_for(&self, now: Now, key: &RequestKey) -> bool {
        let lived_longer = now.mono - self.start.mono >= self.cfg.horizon;
        let created_later = key.created().is_some_and(|created| {
            let plausible = created <= now.wall + self.cfg.skew;
            plausible && created >= self.start.wall + self.cfg.skew
        });
        lived_longer || created_later
    }

    /// Records that a copy was refused here before it ran and may now run at
    /// another node.
    ///
    /// Without this mark an unmarked resend that comes here would run a second
    /// time.
    pub fn pass(&mut self, now: Now, copy: &KeyedCopy) {
        if !self.entries.contains_key(&copy.key) && !self.is_full(now) {
            self.insert(now, copy, State::Passed);
        }
    }

    /// Records how a running copy ended and returns those who wait for it; each
    /// of them is to ask again.
    pub fn finish(&mut self, now: Now, key: &RequestKey, outcome: KeyOutcome) -> Vec<W> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        let State::Running(waiters) = std::mem::replace(&mut entry.state, State::Lost) else {
            return Vec::new();
        };
        match outcome {
            KeyOutcome::Done(answer) => self.hold_answer(key, answer),
            KeyOutcome::Lost => {}
            KeyOutcome::NotRun => entry.state = State::Passed,
        }
        self.touch(now, key);
        waiters
    }

    fn hold_answer(&mut self, key: &RequestKey, answer: HttpResponse) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        self.answer_bytes += entry::size_of(&answer);
        entry.state = State::Done(Some(answer));
        self.answers.push_back(key.clone());
        while self.answer_bytes > self.cfg.answers.get() {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            self.drop_answer(&oldest);
        }
    }

    fn drop_answer(&mut self, key: &RequestKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let State::Done(answer) = &mut entry.state
            && let Some(answer) = answer.take()
        {
            self.answer_bytes -= entry::size_of(&answer);
        }
    }

    fn retention(&self) -> Duration {
        self.cfg.horizon + 2 * self.cfg.skew + self.cfg.longest_run
    }

    fn is_full(&mut self, now: Now) -> bool {
        self.expire(now);
        self.entries.len() >= self.cfg.keys
    }

    fn expire(&mut self, now: Now) {
        while let Some((touched, key)) = self.by_age.front() {
            if now.mono - *touched <= self.retention() {
                return;
            }
            let key = key.clone();
            self.by_age.pop_front();
            self.expire_key(now, key);
        }
    }

    fn expire_key(&mut self, now: Now, key: RequestKey) {
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        let running = matches!(entry.state, State::Running(_));
        if running || now.mono - entry.touched <= self.retention() {
            let touched = if running { now.mono } else { entry.touched };
            self.by_age.push_back((touched, key));
            return;
        }
        self.drop_answer(&key);
        self.entries.remove(&key);
    }

    fn insert(&mut self, now: Now, copy: &KeyedCopy, state: State<W>) {
        let entry = Entry {
            fingerprint: copy.fingerprint,
            state,
            touched: now.mono,
        };
        self.entries.insert(copy.key.clone(), entry);
        self.by_age.push_back((now.mono, copy.key.clone()));
    }

    fn touch(&mut self, now: Now, key: &RequestKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.touched = now.mono;
        }
    }

    fn outranking(&self, copy: &KeyedCopy, standing: Option<&Fence>) -> Fence {
        let attempt = copy.attempt.unwrap_or_default();
        Fence {
            attempt: standing.map_or(attempt, |f| attempt.max(f.attempt)),
            sequence: standing.map_or(0, |f| f.sequence + 1),
            judge: self.cfg.vm.clone(),
        }
    }
}
