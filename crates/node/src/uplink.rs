//! Order of large messages on the VM's network link.
//!
//! Small requests and replies share the link with large responses. If several of these
//! were written at once, all small messages would wait in the link's queue behind them.
//! [`Uplink`] lets large messages pass one after the other, in parts and no faster than
//! the link, so that the queue stays short. Small messages are written at once. The order
//! is that of the times at which the messages would end if each had the link for itself,
//! so that a huge message holds up no shorter one, and none waits forever.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use celeryshore_kernel::LARGE_SHARE;
use celeryshore_kernel::LARGE_TRANSFER;
use celeryshore_model::BitRate;
use celeryshore_model::ByteSize;

use crate::timers::Timers;

/// Size of the smallest parts, which bounds the number of writes on slow links.
const MIN_PART: u64 = 4 * 1_024;
/// Size of the largest parts.
const MAX_PART: u64 = 256 * 1_024;

/// Link of the VM, on which large messages wait for their turn.
pub(crate) struct Uplink {
    /// Rate for large messages; absent if the link's rate is not known.
    rate: Option<BitRate>,
    timers: Arc<Timers>,
    queue: Mutex<Queue>,
}

struct Queue {
    /// Messages that wait to send a part, with the channel that wakes them.
    waiting: BTreeMap<TicketId, Sender<()>>,
    last_number: u64,
    /// Time at which the link has sent all parts.
    free_at: Instant,
}

/// Identifier of a message; messages pass in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TicketId {
    /// Time at which the message would end if it had the link for itself.
    ideal_end: Instant,
    /// Number that is unique in the queue.
    number: u64,
}

/// Place of one large message in the order of the link.
pub(crate) struct Ticket<'a> {
    uplink: &'a Uplink,
    id: TicketId,
    wake: (Sender<()>, Receiver<()>),
}

impl Uplink {
    /// Creates the order for a link of this rate. Without a rate, all messages are
    /// written at once.
    pub(crate) fn new(rate: Option<BitRate>, timers: Arc<Timers>) -> Self {
        Self {
            rate: rate.map(|rate| rate.times(LARGE_SHARE)),
            timers,
            queue: Mutex::new(Queue {
                waiting: BTreeMap::new(),
                last_number: 0,
                free_at: Instant::now(),
            }),
        }
    }

    /// Returns a place in the order, or `None` if a message of this size is small and need
    /// not wait.
    pub(crate) fn ticket(&self, size: usize) -> Option<Ticket<'_>> {
        if size <= self.part_size()? {
            return None;
        }
        let time = self.rate?.time(ByteSize::new(size as u64));
        let mut queue = self.lock();
        queue.last_number += 1;
        Some(Ticket {
            uplink: self,
            id: TicketId {
                ideal_end: Instant::now() + time,
                number: queue.last_number,
            },
            wake: async_channel::bounded(1),
        })
    }

    /// Returns the size of the parts of large messages, or `None` if all messages are
    /// small.
    pub(crate) fn part_size(&self) -> Option<usize> {
        let part = self.rate?.bytes_in(LARGE_TRANSFER).get();
        usize::try_from(part.clamp(MIN_PART, MAX_PART)).ok()
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Queue {
    /// Returns the time at which a message may send its next part, or `None` if an
    /// earlier message waits.
    fn turn(&mut self, id: TicketId, wake: &Sender<()>) -> Option<Instant> {
        self.waiting.entry(id).or_insert_with(|| wake.clone());
        let first = self.waiting.first_key_value();
        first
            .is_some_and(|(first, _)| *first == id)
            .then_some(self.free_at)
    }

    /// Ends the wait of a message and wakes the next one.
    fn leave(&mut self, id: TicketId) {
        if self.waiting.remove(&id).is_some()
            && let Some((_, next)) = self.waiting.first_key_value()
        {
            // A full channel has woken the message already.
            let _ = next.try_send(());
        }
    }
}

impl Ticket<'_> {
    /// Waits until a part of this size may be written.
    ///
    /// A message whose receiver accepts no bytes does not wait here, so it holds up no
    /// other message.
    pub(crate) async fn acquire(&self, size: usize) {
        loop {
            let turn = self.uplink.lock().turn(self.id, &self.wake.0);
            match turn {
                Some(at) if at <= Instant::now() => break,
                Some(at) => self.uplink.timers.sleep_until(at).await,
                // The channel cannot be closed, since the ticket holds a sender.
                None => drop(self.wake.1.recv().await),
            }
        }
        let mut queue = self.uplink.lock();
        queue.leave(self.id);
        if let Some(rate) = self.uplink.rate {
            let time = rate.time(ByteSize::new(size as u64));
            // A late wake-up is caught up with, so that it costs no part of the link.
            let earliest = Instant::now().checked_sub(LARGE_TRANSFER);
            queue.free_at = earliest.map_or(queue.free_at, |at| queue.free_at.max(at)) + time;
        }
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.uplink.lock().leave(self.id);
    }
}
