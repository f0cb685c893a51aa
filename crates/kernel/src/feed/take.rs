//! Answers of the store and of peers.

use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;

use super::Asking;
use super::CatalogAnswer;
use super::CatalogRequest;
use super::Changes;
use super::Feed;
use super::FeedAction;
use super::FeedReport;
use super::FetchFailure;
use super::FetchId;
use super::Held;
use super::Item;
use super::Page;
use super::PeerProblem;
use super::Question;
use super::QuestionId;
use super::Section;
use super::catalog::Taken;
use super::section_reader::SectionReader;

/// Time after the store's return within which entries that lapsed meanwhile come
/// back, if their targets live: two seconds by the platform's promise, and the
/// time of one read.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// Shortest time without the store in which entries may have lapsed: targets renew
/// them, and connections that break now and then are no outage. A removal that is
/// held back for nothing costs most of the time that a leaving target is given.
const SHORTEST_OUTAGE: Duration = Duration::from_secs(1);
/// Age beyond which a peer's view is too old to follow: the longest wait of a
/// read of the store, and a second for its way.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Time that a peer has for an answer beyond the wait it was asked for.
const PEER_SLACK: Duration = Duration::from_millis(300);

impl Feed {
    /// Takes a page of the store.
    pub(super) fn listed(&mut self, now: Time, fetch: FetchId, page: Page) {
        let Some(place) = self.readers.iter().position(|r| r.is_current(fetch)) else {
            return;
        };
        let section = self.readers[place].section();
        let next = self.next_fetch();
        let listed = self.readers[place].listed(&page, now, next);
        for item in page.items {
            self.take_from_store(now, section, item);
        }
        match listed {
            Ok(list) => {
                let revision = list.revision.unwrap_or(page.revision);
                for item in self.catalog.missing(section, &list.keys, revision) {
                    self.take_from_store(now, section, item);
                }
                self.catalog.advance(section, revision);
                self.confirm(now, section);
            }
            Err(after) => self.out.push(FeedAction::List {
                fetch: next,
                section,
                after,
                deadline: SectionReader::page_deadline(now),
            }),
        }
    }

    /// Takes changes from the store.
    pub(super) fn watched(&mut self, now: Time, fetch: FetchId, changes: Changes) {
        let Some(place) = self.readers.iter().position(|r| r.is_current(fetch)) else {
            return;
        };
        let section = self.readers[place].section();
        self.readers[place].watched(now);
        self.confirm(now, section);
        for item in changes.items {
            self.take_from_store(now, section, item);
        }
        self.catalog.advance(section, changes.revision);
    }

    /// Takes the failure of a read.
    pub(super) fn failed(&mut self, now: Time, fetch: FetchId, failure: &FetchFailure) {
        if let Some(reader) = self.readers.iter_mut().find(|r| r.is_current(fetch)) {
            let was_lost = reader.is_lost();
            reader.failed(now, failure, &mut self.rng);
            if reader.is_lost() {
                let since = match failure {
                    FetchFailure::Timeout => reader.started_at().unwrap_or(now),
                    _ => now,
                };
                self.lost_since = Some(self.lost_since.map_or(since, |at| at.min(since)));
            }
            if reader.is_lost() && !was_lost {
                self.out.push(FeedAction::Report(FeedReport::StoreLost {
                    section: reader.section(),
                    failure: failure.clone(),
                }));
            }
            return;
        }
        let Some(asking) = self.asking.take_if(|a| a.fetch == fetch) else {
            return;
        };
        if let Some(vm) = asking.vm {
            self.leave(now, vm, PeerProblem::Silent(failure.clone()));
        }
    }

    /// Takes a peer's answer.
    pub(super) fn answered(&mut self, now: Time, fetch: FetchId, answer: &CatalogAnswer) {
        let asking = self.asking.take_if(|a| a.fetch == fetch);
        for (section, item) in &answer.items {
            let is_past = item.revision <= self.catalog.revision(*section);
            if !is_past || self.catalog.knows(&item.key) {
                self.take(*section, item.clone());
            }
        }
        if answer.is_whole {
            self.remove_missing(answer);
        }
        for section in Section::ALL {
            let revision = answer.revisions[section.place()];
            self.catalog.advance(section, revision);
        }
        if let Some(age) = answer.age {
            let at = Time::from_micros(now.as_micros().saturating_sub(micros(age)));
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
        let Some(vm) = asking.and_then(|a| a.vm) else {
            return;
        };
        self.peers.set_position(&vm, answer.position);
        match answer.age {
            None => self.leave(now, vm, PeerProblem::Empty),
            Some(age) if age > MAX_AGE => self.leave(now, vm, PeerProblem::Stale(age)),
            Some(_) => {}
        }
    }

    /// Takes a peer's question.
    pub(super) fn asked(&mut self, now: Time, question: QuestionId, request: CatalogRequest) {
        let until = now + request.wait;
        self.questions.insert(question, Question { request, until });
    }

    /// Asks the peer that a request under a newer version came from.
    pub(super) fn catch_up(&mut self, now: Time, version: Version, from: &VmName) {
        if version <= self.catalog.version() {
            return;
        }
        let wait = Duration::ZERO;
        self.ask(now, from.clone(), wait);
    }

    /// Asks a peer what it knows.
    pub(super) fn ask(&mut self, now: Time, vm: VmName, wait: Duration) {
        let Some(peer) = self.peers.addr(&vm) else {
            return;
        };
        let request = CatalogRequest {
            position: self.peers.position(&vm),
            wait,
        };
        let fetch = self.next_fetch();
        self.asking = Some(Asking {
            fetch,
            vm: Some(vm),
        });
        self.out.push(FeedAction::Ask {
            fetch,
            peer,
            request,
            deadline: now + wait + PEER_SLACK,
        });
    }

    /// Returns the number of the next read.
    pub(super) const fn next_fetch(&mut self) -> FetchId {
        self.fetches += 1;
        FetchId(self.fetches)
    }

    /// Takes in an item of the store. A removal soon after the store's return is
    /// believed only once its target has had the time to come back.
    fn take_from_store(&mut self, now: Time, section: Section, item: Item) {
        self.held.remove(&item.key);
        let grace_ends = self.returned_at.map(|at| at + LAPSE_GRACE);
        let until = grace_ends.filter(|until| *until > now);
        match until {
            Some(until) if item.value.is_none() && section == Section::Upstreams => {
                self.held.insert(item.key.clone(), Held { item, until });
            }
            _ => self.take(section, item),
        }
    }

    /// Takes in an item.
    pub(super) fn take(&mut self, section: Section, item: Item) {
        let (key, revision) = (item.key.clone(), item.revision);
        if let Taken::Refused(problem) = self.catalog.take(section, item) {
            self.out.push(FeedAction::Report(FeedReport::Refused {
                key,
                revision,
                problem,
            }));
        }
    }

    fn remove_missing(&mut self, answer: &CatalogAnswer) {
        for section in Section::ALL {
            let revision = answer.revisions[section.place()];
            if revision < self.catalog.revision(section) {
                continue;
            }
            let listed = answer.items.iter().filter(|(s, _)| *s == section);
            let listed = listed.map(|(_, item)| item.key.clone()).collect();
            for item in self.catalog.missing(section, &listed, revision) {
                self.take(section, item);
            }
        }
    }

    fn leave(&mut self, now: Time, vm: VmName, reason: PeerProblem) {
        self.peers.leave(&vm, now);
        let report = FeedReport::PeerLeft { vm, reason };
        self.out.push(FeedAction::Report(report));
    }

    /// Notes that the store confirmed what is known.
    fn confirm(&mut self, now: Time, section: Section) {
        if section == Section::Upstreams || self.confirmed_at.is_none() {
            self.confirmed_at = Some(now);
        }
        let lost_since = self.lost_since.take();
        if lost_since.is_some() || self.answers == 0 {
            let revision = self.catalog.revision(section);
            let report = FeedReport::StoreRegained { section, revision };
            self.out.push(FeedAction::Report(report));
        }
        if lost_since.is_some_and(|since| now - since >= SHORTEST_OUTAGE) {
            self.returned_at = Some(now);
        }
        self.answers += 1;
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
