//! Timeouts that are cheap to set and to cancel.
//!
//! A timer of `async-io` wakes the reactor when it is set, which costs several
//! system calls. Most timeouts of input and output never expire. They are
//! therefore kept in a queue of the process, and a single timer of `async-io`
//! waits for the earliest one.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;

/// Queue of timeouts, which expire only while [`Self::run`] runs.
pub(crate) struct Timers {
    queue: Mutex<Queue>,
    /// Signals `run` that a timeout was added which expires before `armed`.
    rearm: (Sender<()>, Receiver<()>),
}

#[derive(Default)]
struct Queue {
    wakers: BTreeMap<TimerKey, Waker>,
    last_id: u64,
    /// Time at which `run` checks the queue next. It may be earlier than the first
    /// timeout, if that was cancelled.
    armed: Option<Instant>,
}

/// Deadline of a timeout, and a number that is unique in the queue.
type TimerKey = (Instant, u64);

/// Future that is ready at its deadline.
struct Sleep<'a> {
    timers: &'a Timers,
    deadline: Instant,
    /// Set once the future has been polled.
    key: Option<TimerKey>,
}

impl Default for Timers {
    fn default() -> Self {
        Self {
            queue: Mutex::default(),
            rearm: async_channel::bounded(1),
        }
    }
}

impl Timers {
    /// Runs `fut` until it is ready; returns `None` if `deadline` comes first.
    pub(crate) async fn timeout_at<T>(
        &self,
        deadline: Instant,
        fut: impl Future<Output = T>,
    ) -> Option<T> {
        let done = async { Some(fut.await) };
        let expired = async {
            self.sleep_until(deadline).await;
            None
        };
        done.or(expired).await
    }

    /// Runs `fut` until it is ready; returns `None` once `duration` has passed.
    pub(crate) async fn timeout<T>(
        &self,
        duration: Duration,
        fut: impl Future<Output = T>,
    ) -> Option<T> {
        self.timeout_at(Instant::now() + duration, fut).await
    }

    /// Waits until `deadline`.
    pub(crate) async fn sleep_until(&self, deadline: Instant) {
        let sleep = Sleep {
            timers: self,
            deadline,
            key: None,
        };
        sleep.await;
    }

    /// Wakes the futures whose deadline has come, until the task is dropped.
    pub(crate) async fn run(&self) {
        loop {
            let armed = self.lock().armed;
            let due = async {
                match armed {
                    Some(time) => {
                        Timer::at(time).await;
                    }
                    None => std::future::pending().await,
                }
            };
            let rearmed = async {
                let _ = self.rearm.1.recv().await;
            };
            due.or(rearmed).await;
            self.wake_due();
        }
    }

    fn wake_due(&self) {
        let due = self.lock().take_due(Instant::now());
        for waker in due {
            waker.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Queue {
    /// Adds a timeout. The second value is `true` if it expires before the queue
    /// would be checked.
    fn add(&mut self, deadline: Instant, waker: Waker) -> (TimerKey, bool) {
        self.last_id += 1;
        let key = (deadline, self.last_id);
        self.wakers.insert(key, waker);
        let is_earlier = self.armed.is_none_or(|armed| deadline < armed);
        if is_earlier {
            self.armed = Some(deadline);
        }
        (key, is_earlier)
    }

    fn take_due(&mut self, now: Instant) -> Vec<Waker> {
        let mut due = Vec::new();
        while let Some(first) = self.wakers.first_entry()
            && first.key().0 <= now
        {
            due.push(first.remove());
        }
        self.armed = self.wakers.first_key_value().map(|(key, _)| key.0);
        due
    }
}

impl Future for Sleep<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        let mut queue = self.timers.lock();
        if let Some(waker) = self.key.and_then(|key| queue.wakers.get_mut(&key)) {
            waker.clone_from(cx.waker());
            return Poll::Pending;
        }
        let (key, is_earlier) = queue.add(self.deadline, cx.waker().clone());
        drop(queue);
        self.key = Some(key);
        if is_earlier {
            let _ = self.timers.rearm.0.try_send(());
        }
        Poll::Pending
    }
}

impl Drop for Sleep<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.timers.lock().wakers.remove(&key);
        }
    }
}
