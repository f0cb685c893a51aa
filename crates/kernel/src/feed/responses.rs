//! Handlers of responses of the store and of answers of peers.

use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::VmName;

use super::CatalogAnswer;
use super::Changes;
use super::Feed;
use super::FeedAction;
use super::FeedReport;
use super::FetchFailure;
use super::FetchId;
use super::Item;
use super::Page;
use super::PeerProblem;
use super::Progress;
use super::Revision;
use super::Section;
use super::SourceName;
use super::catalog::ApplyOutcome;

/// Time after a store outage within which targets that are alive register again if
/// their registrations expired: the two seconds that the platform guarantees, plus
/// the time of one read.
pub(super) const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// Shortest store outage in which registrations may have expired. Targets renew
/// them, and an occasional broken connection is not an outage. A removal that is
/// deferred without need uses up most of the time that a leaving target is given.
const MIN_STORE_OUTAGE: Duration = Duration::from_secs(1);

impl Feed {
    /// Applies a page of the store.
    ///
    /// After the last page, items that are in the catalog but not in the list are
    /// removed.
    pub(super) fn on_page(&mut self, now: Time, fetch: FetchId, page: Page) {
        let Some(index) = self.readers.iter().position(|r| r.is_current(fetch)) else {
            return;
        };
        let section = self.readers[index].section();
        let Some(era) = self.response_era(now, index, page.era, page.revision.number) else {
            return;
        };
        if self.readers[index].has_pages_of_other_era(era) {
            self.readers[index].require_list(now);
            return;
        }
        let page = page.in_era(era);
        let next = self.next_fetch();
        let listed = self.readers[index].add_page(&page, now, next);
        for item in page.items {
            self.apply_from_store(now, section, item);
        }
        match listed {
            Ok(list) => {
                let revision = list.revision.unwrap_or(page.revision);
                for item in self.catalog.removals(section, &list.keys, revision) {
                    if self.is_lost_in_restore(now, &item) {
                        self.defer_lost_item(now, section, item);
                    } else {
                        self.apply_from_store(now, section, item);
                    }
                }
                self.catalog.advance(section, revision);
                self.catalog.limit_history(section, revision);
                self.record_store_response(now, section);
                self.record_proof(now, section);
            }
            Err(after) => self.actions.push(FeedAction::List {
                fetch: next,
                section,
                after,
                deadline: self.readers[index].page_deadline(now),
            }),
        }
    }

    /// Applies changes of the store.
    ///
    /// Changes after a revision that a restored store has assigned again are not
    /// complete; a list replaces them.
    pub(super) fn on_changes(&mut self, now: Time, fetch: FetchId, changes: Changes) {
        let Some(index) = self.readers.iter().position(|r| r.is_current(fetch)) else {
            return;
        };
        let section = self.readers[index].section();
        let Some(era) = self.response_era(now, index, changes.era, changes.revision.number) else {
            return;
        };
        if era != self.catalog.revision(section).era {
            self.readers[index].require_list(now);
            return;
        }
        let changes = changes.in_era(era);
        self.readers[index].record_changes(now);
        self.record_store_response(now, section);
        for item in changes.items {
            self.apply_from_store(now, section, item);
        }
        self.catalog.advance(section, changes.revision);
        self.record_proof(now, section);
    }

    /// Handles the failure of a read of the store or a poll of a peer.
    ///
    /// After a timeout, the store may have been unavailable since the start of the
    /// read.
    pub(super) fn on_failure(&mut self, now: Time, fetch: FetchId, failure: &FetchFailure) {
        if let Some(reader) = self.readers.iter_mut().find(|r| r.is_current(fetch)) {
            let had_failed = reader.has_failed();
            reader.record_failure(now, failure, &mut self.rng);
            if reader.has_failed() {
                let down_since = match failure {
                    FetchFailure::Timeout => reader.started_at().unwrap_or(now),
                    _ => now,
                };
                self.next_comparison_at = now;
                self.store_down_since = Some(
                    self.store_down_since
                        .map_or(down_since, |at| at.min(down_since)),
                );
            }
            if reader.has_failed() && !had_failed {
                self.actions
                    .push(FeedAction::Report(FeedReport::StoreFailed {
                        section: reader.section(),
                        failure: failure.clone(),
                    }));
            }
            return;
        }
        let reason = PeerProblem::Unreachable(failure.clone());
        if let Some(vm) = self.comparisons.remove(&fetch) {
            self.skip_peer(now, vm, reason);
        } else if let Some(outgoing) = self.outgoing_poll.take_if(|poll| poll.fetch == fetch) {
            self.lose_source(now);
            if let Some(vm) = outgoing.vm {
                self.skip_peer(now, vm, reason);
            }
        }
    }

    /// Applies the answer of a peer.
    ///
    /// Unknown items at or before the known revision of their section are ignored,
    /// because they have been removed since; but an item of an earlier era that a peer
    /// keeps in the current one is not. The peer is skipped for a while if its data is too
    /// old, was never confirmed by the store, or is from before a restore.
    pub(super) fn on_answer(&mut self, now: Time, fetch: FetchId, answer: &CatalogAnswer) {
        let compared = self.comparisons.remove(&fetch);
        let outgoing = self.outgoing_poll.take_if(|poll| poll.fetch == fetch);
        for revision in answer.revisions {
            self.observe_era(now, revision.era);
        }
        let is_behind = Section::ALL.into_iter().any(|section| {
            answer.revisions[section.index()].era < self.catalog.revision(section).era
        });
        for (section, item) in &answer.items {
            let known = self.catalog.revision(*section);
            let is_kept =
                item.revision.era < known.era && answer.revisions[section.index()] >= known;
            if is_kept && !self.catalog.contains(&item.key) {
                self.keep_lost_item(now, *section, &item.key, known);
            }
            let is_covered = item.revision <= known && !is_kept;
            if !is_covered || self.catalog.contains(&item.key) {
                self.apply(*section, item.clone());
            }
        }
        if answer.is_whole {
            self.remove_missing(now, answer);
        }
        for section in Section::ALL {
            let revision = answer.revisions[section.index()];
            self.catalog.advance(section, revision);
        }
        self.has_peer_answer |= answer.age.is_some();
        if !is_behind {
            self.record_progress(now, answer);
        }
        let is_followed = compared.is_none();
        let Some(vm) = compared.or(outgoing.and_then(|poll| poll.vm)) else {
            return;
        };
        let position = Some(answer.position).filter(|_| !is_behind);
        self.peers.set_position(&vm, position);
        let problem = match answer.age {
            Some(_) if is_behind => Some(PeerProblem::Behind),
            None => Some(PeerProblem::Empty),
            Some(age) if age > self.timing.max_source_age => Some(PeerProblem::Stale(age)),
            Some(_) => None,
        };
        self.peers.record_answer(&vm, now, problem.is_none());
        if is_followed {
            self.judge_source(now, vm, problem);
        }
    }

    /// Records what a peer's answer proves about the catalog.
    fn record_progress(&mut self, now: Time, answer: &CatalogAnswer) {
        for section in Section::ALL {
            let index = section.index();
            if let Some(age) = answer.age {
                let at = Time::from_micros(now.as_micros().saturating_sub(micros(age)));
                self.freshness.confirm(section, at);
            }
            let progress = answer.progress.unwrap_or(Progress {
                settled: Default::default(),
                history: answer.revisions,
            });
            if self.freshness.settled()[index] < progress.history[index] {
                self.catalog.limit_history(section, progress.history[index]);
            }
            self.settle(section, progress.settled[index]);
        }
    }

    /// Skips the followed peer for a while if it has a problem.
    fn judge_source(&mut self, now: Time, vm: VmName, problem: Option<PeerProblem>) {
        self.is_source_lost &= problem.is_some();
        match problem {
            Some(reason @ PeerProblem::Stale(_)) => {
                self.lose_source(now);
                self.peers.skip_stale(&vm, now);
                let report = FeedReport::PeerSkipped { vm, reason };
                self.actions.push(FeedAction::Report(report));
            }
            Some(reason) => self.skip_peer(now, vm, reason),
            None => {}
        }
    }

    /// Records that the followed source failed, so that other zones are asked at once.
    fn lose_source(&mut self, now: Time) {
        if matches!(self.source, Some(SourceName::Peer(_))) {
            self.is_source_lost = true;
            self.next_comparison_at = now;
        }
    }

    /// Returns the identifier for the next read or poll.
    pub(super) const fn next_fetch(&mut self) -> FetchId {
        self.last_fetch += 1;
        FetchId(self.last_fetch)
    }

    /// Applies an item of the store.
    ///
    /// The removal of an upstream soon after a store outage is deferred, because its
    /// registration may have expired during the outage and its target may register
    /// again.
    pub(super) fn apply_from_store(&mut self, now: Time, section: Section, item: Item) {
        self.deferred_removals.remove(&item.key);
        let grace_end = self.store_recovered_at.map(|at| at + EXPIRY_GRACE);
        let until = grace_end.filter(|until| *until > now);
        match until {
            Some(until) if item.value.is_none() && section == Section::Upstreams => {
                self.defer_removal(section, item, until);
            }
            _ => self.apply(section, item),
        }
    }

    /// Applies an item and reports a value that cannot be decoded.
    pub(super) fn apply(&mut self, section: Section, item: Item) {
        let (key, revision) = (item.key.clone(), item.revision);
        if let ApplyOutcome::Invalid(problem) = self.catalog.apply(section, item) {
            self.actions
                .push(FeedAction::Report(FeedReport::ItemRefused {
                    key,
                    revision,
                    problem,
                }));
        }
    }

    /// Removes the items that are not in the complete catalog of a peer, unless the
    /// peer's revision of the section is older than the known one.
    fn remove_missing(&mut self, now: Time, answer: &CatalogAnswer) {
        for section in Section::ALL {
            let revision = answer.revisions[section.index()];
            if revision < self.catalog.revision(section) {
                continue;
            }
            let listed = answer.items.iter().filter(|(s, _)| *s == section);
            let listed = listed.map(|(_, item)| item.key.clone()).collect();
            for item in self.catalog.removals(section, &listed, revision) {
                if self.is_lost_in_restore(now, &item) {
                    self.defer_lost_item(now, section, item);
                } else {
                    self.apply(section, item);
                }
            }
        }
    }

    fn skip_peer(&mut self, now: Time, vm: VmName, reason: PeerProblem) {
        self.peers.record_failure(&vm, now);
        let report = FeedReport::PeerSkipped { vm, reason };
        self.actions.push(FeedAction::Report(report));
    }

    /// Records that the store has confirmed a section.
    fn record_proof(&mut self, now: Time, section: Section) {
        self.freshness.confirm(section, now);
        self.settle(section, self.catalog.revision(section));
    }

    /// Records that all changes of a section up to a revision are applied, unless some are
    /// deferred.
    fn settle(&mut self, section: Section, revision: Revision) {
        let mut deferred = self.deferred_removals.values();
        if !deferred.any(|removal| removal.section == section) {
            self.freshness.settle(section, revision);
        }
    }

    /// Records that the store responded successfully.
    fn record_store_response(&mut self, now: Time, section: Section) {
        let down_since = self.store_down_since.take();
        if down_since.is_some() || self.store_responses == 0 {
            let revision = self.catalog.revision(section);
            let report = FeedReport::StoreRecovered { section, revision };
            self.actions.push(FeedAction::Report(report));
        }
        if down_since.is_some_and(|since| now - since >= MIN_STORE_OUTAGE) {
            self.store_recovered_at = Some(now);
        }
        self.store_responses += 1;
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
