//! Actions of the feed.

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

impl Driver {
    /// Takes a peer's poll; the answer comes through the receiver.
    pub(crate) fn ask(
        self: &Arc<Self>,
        request: CatalogRequest,
    ) -> (PollId, async_channel::Receiver<Box<CatalogAnswer>>) {
        let mut state = self.lock();
        let (poll, answer) = state.pending.add_question();
        let event = FeedEvent::PollReceived { poll, request };
        self.handle_locked(&mut state, event.into());
        (poll, answer)
    }

    /// Gives up a peer's poll.
    pub(crate) fn withdraw_question(self: &Arc<Self>, poll: PollId) {
        let mut state = self.lock();
        state.pending.remove_question(poll);
        self.handle_locked(&mut state, FeedEvent::PollCancelled { poll }.into());
    }

    /// Sends ticks about the feed when they are due, until the task is dropped.
    pub(crate) async fn tick_feed(self: Arc<Self>) {
        self.handle(FeedEvent::Tick);
        loop {
            self.feed_wake.due(&self.clock).await;
            self.handle(FeedEvent::Tick);
        }
    }

    pub(super) fn carry_out_feed(self: &Arc<Self>, pending: &mut Pending, action: FeedAction) {
        match action {
            FeedAction::List {
                fetch,
                section,
                after,
                deadline,
            } => {
                let end = self.clock.instant(deadline);
                self.fetch(fetch, move |store| async move {
                    let page = store.list(section, after, end).await?;
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
                let end = self.clock.instant(deadline);
                self.fetch(fetch, move |store| async move {
                    let changes = store.watch(section, after, wait, end).await?;
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
                let end = self.clock.instant(deadline);
                self.spawn(async move {
                    let answer = driver.peers.poll_catalog(peer, request, end).await;
                    driver.handle(match answer {
                        Some(answer) => FeedEvent::PeerAnswered { fetch, answer },
                        None => failed(fetch, FetchFailure::Unreachable),
                    });
                });
            }
            FeedAction::AnswerPoll { poll, answer } => pending.answer_question(poll, answer),
            FeedAction::Configured(snapshot) => self.configured(&snapshot),
            FeedAction::Report(report) => self.report(&report),
            FeedAction::WakeAt(time) => self.feed_wake.at(time),
            // The requests' decisions act on it.
            FeedAction::ColdStart(_) => {}
        }
    }

    /// Reads the store in a task of its own.
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
            driver.handle(event.unwrap_or_else(|failure| failed(fetch, failure)));
        });
    }

    fn report(&self, report: &FeedReport) {
        match report {
            FeedReport::StoreFailed { .. } | FeedReport::ItemRefused { .. } => {
                slog::warn!(self.log, "feed: {}", report);
            }
            _ => slog::info!(self.log, "feed: {}", report),
        }
    }
}

fn failed(fetch: FetchId, failure: FetchFailure) -> FeedEvent {
    FeedEvent::FetchFailed { fetch, failure }
}
