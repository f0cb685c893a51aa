//! Timeouts of input and output.
//!
//! A timer of `async-io` wakes the reactor when it is set, which costs several
//! system calls. Most timeouts never come, so they wait here in a queue of the
//! process, and one timer of `async-io` serves the earliest.

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

/// Queue of timeouts.
pub(crate) struct Timers {
    queue: Mutex<Queue>,
    earlier: (Sender<()>, Receiver<()>),
}

#[derive(Default)]
struct Queue {
    waits: BTreeMap<Place, Waker>,
    next: u64,
    /// When the queue is looked at next. It may be before the first place.
    armed: Option<Instant>,
}

/// Place of a timeout in the queue.
type Place = (Instant, u64);

/// Future that is ready when its time has come.
struct Sleep<'a> {
    timers: &'a Timers,
    end: Instant,
    place: Option<Place>,
}

impl Default for Timers {
    fn default() -> Self {
        Self {
            queue: Mutex::default(),
            earlier: async_channel::bounded(1),
        }
    }
}

impl Timers {
    /// Runs `fut` until it is ready or the time has come.
    pub(crate) async fn timeout_at<T>(
        &self,
        end: Instant,
        fut: impl Future<Output = T>,
    ) -> Option<T> {
        let done = async { Some(fut.await) };
        let late = async {
            self.sleep_until(end).await;
            None
        };
        done.or(late).await
    }

    /// Runs `fut` for at most `span`.
    pub(crate) async fn timeout<T>(
        &self,
        span: Duration,
        fut: impl Future<Output = T>,
    ) -> Option<T> {
        self.timeout_at(Instant::now() + span, fut).await
    }

    /// Waits until the time has come.
    pub(crate) async fn sleep_until(&self, end: Instant) {
        let sleep = Sleep {
            timers: self,
            end,
            place: None,
        };
        sleep.await;
    }

    /// Wakes whose time has come, until the task is dropped.
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
            let earlier = async {
                let _ = self.earlier.1.recv().await;
            };
            due.or(earlier).await;
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
    /// Adds a place; tells whether it comes before the next look at the queue.
    fn add(&mut self, end: Instant, waker: Waker) -> (Place, bool) {
        self.next += 1;
        let place = (end, self.next);
        self.waits.insert(place, waker);
        let is_earlier = self.armed.is_none_or(|armed| end < armed);
        if is_earlier {
            self.armed = Some(end);
        }
        (place, is_earlier)
    }

    fn take_due(&mut self, now: Instant) -> Vec<Waker> {
        let mut due = Vec::new();
        while let Some(first) = self.waits.first_entry()
            && first.key().0 <= now
        {
            due.push(first.remove());
        }
        self.armed = self.waits.first_key_value().map(|(place, _)| place.0);
        due
    }
}

impl Future for Sleep<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.end {
            return Poll::Ready(());
        }
        let mut queue = self.timers.lock();
        if let Some(waker) = self.place.and_then(|place| queue.waits.get_mut(&place)) {
            waker.clone_from(cx.waker());
            return Poll::Pending;
        }
        let (place, is_earlier) = queue.add(self.end, cx.waker().clone());
        drop(queue);
        self.place = Some(place);
        if is_earlier {
            let _ = self.timers.earlier.0.try_send(());
        }
        Poll::Pending
    }
}

impl Drop for Sleep<'_> {
    fn drop(&mut self) {
        if let Some(place) = self.place {
            self.timers.lock().waits.remove(&place);
        }
    }
}
