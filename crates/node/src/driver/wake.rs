//! Times at which the kernel asks for a tick.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use celeryshore_model::Time;
use futures_lite::FutureExt;

use crate::clock::Clock;

/// Ticks occur at multiples of this time.
const TICK_GRANULARITY_MICROS: u64 = 5_000;

/// Requested times that have not come yet.
pub(super) struct WakeTimer {
    times: Mutex<BTreeSet<Time>>,
    /// Signals that a time before all others was requested, which shortens the sleep.
    earlier: (Sender<()>, Receiver<()>),
}

impl Default for WakeTimer {
    fn default() -> Self {
        Self {
            times: Mutex::default(),
            earlier: async_channel::bounded(1),
        }
    }
}

impl WakeTimer {
    /// Schedules a tick at `time`, rounded up to a multiple of the granularity.
    ///
    /// Each call in flight asks for a tick at its deadline; the rounding limits the
    /// number of ticks per second.
    pub(super) fn set(&self, time: Time) {
        let time = Time::from_micros(time.as_micros().next_multiple_of(TICK_GRANULARITY_MICROS));
        let mut times = self.lock();
        let is_earliest = times.first().is_none_or(|first| time < *first);
        times.insert(time);
        if is_earliest {
            let _ = self.earlier.0.try_send(());
        }
    }

    /// Waits until a requested time has come.
    pub(super) async fn wait(&self, clock: &Clock) {
        while !self.take_due(clock.mono()) {
            let earlier = async {
                let _ = self.earlier.1.recv().await;
            };
            earlier.or(self.sleep(clock)).await;
        }
    }

    async fn sleep(&self, clock: &Clock) {
        let first = self.lock().first().copied();
        match first {
            Some(time) => {
                Timer::at(clock.instant(time)).await;
            }
            None => std::future::pending().await,
        }
    }

    fn take_due(&self, now: Time) -> bool {
        let mut times = self.lock();
        let mut is_due = false;
        while times.first().is_some_and(|time| *time <= now) {
            times.pop_first();
            is_due = true;
        }
        is_due
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<Time>> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
