//! What follows after each event: publish, answer, read.

use std::sync::Arc;
use std::time::Duration;

use celeryshore_model::Time;

use super::Asking;
use super::CatalogAnswer;
use super::CatalogRequest;
use super::Feed;
use super::FeedAction;
use super::FeedReport;
use super::Position;
use super::Question;
use super::QuestionId;
use super::Section;
use super::SourceName;
use super::compile;
use super::peers::Choice;
use super::section_reader::Next;
use super::section_reader::STORE_WAIT;
use super::section_reader::SectionReader;

/// Time for which a peer may hold a question; a peer that is lost without a sign
/// is noticed after this time and a little more.
const PEER_WAIT: Duration = Duration::from_millis(500);
/// Time that a seed has to answer.
const SEED_TIMEOUT: Duration = Duration::from_millis(500);

impl Feed {
    /// Does what is due.
    pub(super) fn step(&mut self, now: Time) {
        self.release_held(now);
        self.publish();
        self.answer_questions(now);
        self.read(now);
        self.set_wake(now);
    }

    /// Believes the removals whose time has come.
    fn release_held(&mut self, now: Time) {
        let due = self.held.extract_if(.., |_, held| held.until <= now);
        let due: Vec<_> = due.map(|(_, held)| held.item).collect();
        for item in due {
            self.take(Section::Upstreams, item);
        }
    }

    /// Puts what is known in force, if it changed.
    fn publish(&mut self) {
        if self.compiled == self.catalog.latest() {
            return;
        }
        self.catalog.prune();
        self.compiled = self.catalog.latest();
        let cfg = &self.cfg;
        self.peers
            .list(&self.catalog, &cfg.vm, &cfg.zone, cfg.peer_port);
        if let Some(snapshot) = compile::compile(&self.catalog, &cfg.zones, cfg.peer_port)
            && !compile::is_same(self.snapshot.as_ref(), &snapshot)
        {
            let snapshot = Arc::new(snapshot);
            self.snapshot = Some(snapshot.clone());
            self.out.push(FeedAction::Configured(snapshot));
        }
        self.publish_own();
    }

    fn publish_own(&mut self) {
        let own = compile::own_record(&self.catalog, &self.cfg.vm).cloned();
        if own == self.own {
            return;
        }
        if let Some(own) = &own {
            self.out.push(FeedAction::Cold(own.cold_for));
        }
        self.own = own;
    }

    /// Answers the questions for which there is news or whose time has come.
    fn answer_questions(&mut self, now: Time) {
        let due: Vec<QuestionId> = self
            .questions
            .iter()
            .filter(|(_, question)| question.until <= now || self.has_news(&question.request))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            if let Some(Question { request, .. }) = self.questions.remove(&id) {
                let answer = Box::new(self.answer(now, &request));
                self.out.push(FeedAction::Answer {
                    question: id,
                    answer,
                });
            }
        }
    }

    fn has_news(&self, request: &CatalogRequest) -> bool {
        self.position()
            != request.position.unwrap_or(Position {
                incarnation: self.cfg.incarnation,
                sequence: 0,
            })
    }

    const fn position(&self) -> Position {
        Position {
            incarnation: self.cfg.incarnation,
            sequence: self.catalog.latest(),
        }
    }

    fn answer(&self, now: Time, request: &CatalogRequest) -> CatalogAnswer {
        let own = |p: &Position| p.incarnation == self.cfg.incarnation;
        let sequence = request.position.filter(own).map(|p| p.sequence);
        let changes = sequence.and_then(|sequence| self.catalog.since(sequence));
        CatalogAnswer {
            position: self.position(),
            age: self.confirmed_at.map(|at| now - at),
            version: self.catalog.version(),
            revisions: Section::ALL.map(|section| self.catalog.revision(section)),
            is_whole: changes.is_none(),
            items: changes.unwrap_or_else(|| self.catalog.whole()),
        }
    }

    /// Reads the store or asks a peer, whichever is this node's source.
    fn read(&mut self, now: Time) {
        if !self.is_beginning() {
            self.peers.add_seeds(&self.cfg.seeds, &self.cfg.vm);
        }
        let choice = self.peers.choose(now, &self.cfg.vm, &self.cfg.zone);
        self.note_source(&choice);
        match choice {
            Choice::Store => {
                self.read_store(now);
                if self.lost_since.is_some() && self.asking.is_none() {
                    self.ask_anyone(now);
                }
            }
            Choice::Peer(vm) => {
                if self.asking.is_none() {
                    self.ask(now, vm, PEER_WAIT);
                }
            }
        }
    }

    fn note_source(&mut self, choice: &Choice) {
        let source = match choice {
            Choice::Store => SourceName::Store,
            Choice::Peer(vm) => SourceName::Peer(vm.clone()),
        };
        if self.source.as_ref() != Some(&source) {
            // Whether the store answers is not known to a node that does not read it.
            self.lost_since = None;
            self.source = Some(source.clone());
            self.out
                .push(FeedAction::Report(FeedReport::Source { source }));
        }
    }

    fn read_store(&mut self, now: Time) {
        for place in 0..self.readers.len() {
            let section = self.readers[place].section();
            let after = self.catalog.revision(section);
            let is_known = after.0 > 0 && !self.readers[place].has_lost_history();
            let Some(next) = self.readers[place].next(now, is_known) else {
                continue;
            };
            if matches!(next, Next::Changes) && self.is_beginning() {
                continue;
            }
            let fetch = self.next_fetch();
            self.store_reads += 1;
            let deadline = self.readers[place].begin(now, fetch, &next);
            self.out.push(match next {
                Next::Page(after) => FeedAction::List {
                    fetch,
                    section,
                    after,
                    deadline,
                },
                Next::Changes => FeedAction::Watch {
                    fetch,
                    section,
                    after,
                    wait: STORE_WAIT,
                    deadline,
                },
            });
        }
    }

    /// Tells whether a section is still to be read for the first time. Only then
    /// is it known whom to follow, so no read of changes begins before.
    fn is_beginning(&self) -> bool {
        self.readers
            .iter()
            .any(|r| r.is_beginning() && self.catalog.revision(r.section()).0 == 0)
    }

    /// Asks any node while the store does not answer: another zone may still
    /// reach it, and a node that has just started knows only its seeds.
    fn ask_anyone(&mut self, now: Time) {
        if let Some(vm) = self.peers.draw(now, &mut self.rng) {
            self.ask(now, vm, PEER_WAIT);
        } else if self.peers.len() == 0
            && let Some(seed) = self.rng.choice(self.cfg.seeds.iter().copied())
        {
            let fetch = self.next_fetch();
            self.asking = Some(Asking { fetch, vm: None });
            let request = CatalogRequest {
                position: None,
                wait: Duration::ZERO,
            };
            self.out.push(FeedAction::Ask {
                fetch,
                peer: seed,
                request,
                deadline: now + SEED_TIMEOUT,
            });
        }
    }

    fn set_wake(&mut self, now: Time) {
        let reads_store = self.source == Some(SourceName::Store);
        let readers = self.readers.iter().filter_map(SectionReader::due);
        let due = readers
            .filter(|_| reads_store)
            .chain(self.questions.values().map(|q| q.until))
            .chain(self.held.values().map(|h| h.until))
            .chain(self.peers.next_due(now));
        let wake_at = due.min();
        if let Some(at) = wake_at.filter(|_| wake_at != self.wake_at) {
            self.out.push(FeedAction::WakeAt(at));
        }
        self.wake_at = wake_at;
    }
}
