//! Execution of the feed's actions.

use std::future::Future;
use std::sync::Arc;

use celeryshore_kernel::CatalogAnswer;
use celeryshore_kernel::CatalogRequest;
use celeryshore_kernel::FeedAction;
use celeryshore_kernel::FeedEvent;
use celeryshore_kernel::FeedReport;
use celeryshore_kernel::FetchFailure;
use celeryshore_kernel::FetchId;
use celeryshore_kernel::PollId;

use super::Driver;
use super::Pending;
use crate::control::Store;

/// Number of configurations in which a word for the semantics of kinds is new and not
/// known to the adapter.
const UNKNOWN_SEMANTICS: &str = "celeryshore_unknown_semantics_total";

impl Driver {
    /// Passes a peer's long poll to the kernel. The receiver yields the answer.
    pub(crate) fn receive_poll(
        self: &Arc<Self>,
        request: CatalogRequest,
    ) -> (PollId, async_channel::Receiver<Box<CatalogAnswer>>) {
        let mut state = self.lock();
        let (poll, answer) = state.pending.add_poll();
        let event = FeedEvent::PollReceived { poll, request };
        self.handle_locked(&mut state, event.into());
        (poll, answer)
    }

    /// Cancels a peer's long poll.
    pub(crate) fn cancel_poll(self: &Arc<Self>, poll: PollId) {
        let mut state = self.lock();
        state.pending.remove_poll(poll);
        self.handle_locked(&mut state, FeedEvent::PollCancelled { poll }.into());
    }

    /// Sends the ticks that the feed asks for, until the task is dropped.
    pub(crate) async fn tick_feed(self: Arc<Self>) {
        self.handle(FeedEvent::Tick);
        loop {
            self.feed_wake.wait(&self.clock).await;
            self.handle(FeedEvent::Tick);
        }
    }

    pub(super) fn execute_feed_action(self: &Arc<Self>, pending: &mut Pending, action: FeedAction) {
        match action {
            FeedAction::List {
                fetch,
                section,
                after,
                deadline,
            } => {
                let deadline = self.clock.instant(deadline);
                self.fetch(fetch, move |store| async move {
                    let page = store.list(section, after, deadline).await?;
                    Ok(FeedEvent::PageReceived { fetch, page })
                });
            }
            FeedAction::Watch {
                fetch,
                section,
                after,
                wait,
                deadline,
            } => {
                let deadline = self.clock.instant(deadline);
                self.fetch(fetch, move |store| async move {
                    let changes = store.watch(section, after, wait, deadline).await?;
                    Ok(FeedEvent::ChangesReceived { fetch, changes })
                });
            }
            FeedAction::PollPeer {
                fetch,
                peer,
                request,
                deadline,
            } => {
                let driver = self.clone();
                let deadline = self.clock.instant(deadline);
                self.spawn(async move {
                    let answer = driver.peers.poll_catalog(peer, request, deadline).await;
                    driver.handle(match answer {
                        Some(answer) => FeedEvent::PeerAnswered { fetch, answer },
                        None => fetch_failed(fetch, FetchFailure::Unreachable),
                    });
                });
            }
            FeedAction::AnswerPoll { poll, answer } => pending.answer_poll(poll, answer),
            FeedAction::Report(report) => self.log_feed_report(&report),
            FeedAction::WakeAt(time) => self.feed_wake.set(time),
            // The request state machine and `handle_locked` handle these.
            FeedAction::ColdStart(_) | FeedAction::Configured(_) => {}
        }
    }

    /// Reads the store in a new task and passes the result to the kernel.
    fn fetch<R, F>(self: &Arc<Self>, fetch: FetchId, read: R)
    where
        R: FnOnce(Arc<Store>) -> F + Send + 'static,
        F: Future<Output = Result<FeedEvent, FetchFailure>> + Send,
    {
        let Some(store) = self.store.clone() else {
            return;
        };
        let driver = self.clone();
        self.spawn(async move {
            let event = read(store).await;
            driver.handle(event.unwrap_or_else(|failure| fetch_failed(fetch, failure)));
        });
    }

    fn log_feed_report(&self, report: &FeedReport) {
        if let FeedReport::UnknownSemantics { semantics } = report {
            metrics::counter!(UNKNOWN_SEMANTICS, "semantics" => semantics.clone()).increment(1);
        }
        match report {
            FeedReport::UnknownSemantics { .. }
            | FeedReport::StoreFailed { .. }
            | FeedReport::ItemRefused { .. } => {
                slog::warn!(self.log, "feed: {}", report);
            }
            _ => slog::info!(self.log, "feed: {}", report),
        }
    }
}

fn fetch_failed(fetch: FetchId, failure: FetchFailure) -> FeedEvent {
    FeedEvent::FetchFailed { fetch, failure }
}
