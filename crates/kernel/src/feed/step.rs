//! Work after each event: applies deferred removals, compiles a changed
//! configuration, answers long polls and starts reads.

use std::sync::Arc;
use std::time::Duration;

use celeryshore_model::Snapshot;
use celeryshore_model::Time;

use super::CatalogAnswer;
use super::CatalogRequest;
use super::Feed;
use super::FeedAction;
use super::FeedReport;
use super::OutgoingPoll;
use super::PendingPoll;
use super::PollId;
use super::Position;
use super::Section;
use super::SourceName;
use super::compile;
use super::peers::SourceChoice;
use super::responses::MAX_VIEW_AGE;
use super::section_reader::NextRead;
use super::section_reader::STORE_POLL_WAIT;
use super::section_reader::SectionReader;

/// Time for which a peer may hold a long poll. A peer that crashes without closing
/// the connection is detected shortly after this time.
const PEER_POLL_WAIT: Duration = Duration::from_millis(500);
/// Time limit for the answer of a seed, which is polled without a wait.
const SEED_TIMEOUT: Duration = Duration::from_millis(500);

impl Feed {
    /// Performs all work that is due.
    pub(super) fn step(&mut self, now: Time) {
        self.apply_due_removals(now);
        self.update_configuration();
        self.answer_polls(now);
        self.start_reads(now);
        self.schedule_wake(now);
    }

    /// Applies the deferred removals whose grace period has ended.
    fn apply_due_removals(&mut self, now: Time) {
        let due = self
            .deferred_removals
            .extract_if(.., |_, removal| removal.until <= now);
        let due: Vec<_> = due.map(|(_, removal)| removal).collect();
        for removal in due {
            self.apply(removal.section, removal.item);
        }
    }

    /// Updates the peers, the configuration and the local target's registration if
    /// the catalog has changed.
    fn update_configuration(&mut self) {
        if self.compiled_sequence == self.catalog.latest() {
            return;
        }
        self.catalog.prune();
        self.compiled_sequence = self.catalog.latest();
        let cfg = &self.cfg;
        self.peers
            .update(&self.catalog, &cfg.vm, &cfg.zone, cfg.peer_port);
        if let Some(snapshot) = compile::compile(&self.catalog, &cfg.zones, cfg.peer_port)
            && !compile::is_same(self.snapshot.as_ref(), &snapshot)
        {
            let snapshot = Arc::new(snapshot);
            self.report_unknown_semantics(&snapshot);
            self.snapshot = Some(snapshot.clone());
            self.actions.push(FeedAction::Configured(snapshot));
        }
        self.update_own_record();
    }

    /// Reports the unknown semantics that the configuration in effect does not have.
    fn report_unknown_semantics(&mut self, new: &Snapshot) {
        let known = self.snapshot.as_ref().map(|s| &s.unknown_semantics);
        let added = new.unknown_semantics.iter();
        let added = added.filter(|word| known.is_none_or(|k| !k.contains(*word)));
        let reports = added.map(|word| FeedReport::UnknownSemantics {
            semantics: word.clone(),
        });
        self.actions.extend(reports.map(FeedAction::Report));
    }

    fn update_own_record(&mut self) {
        let own = compile::own_record(&self.catalog, &self.cfg.vm).cloned();
        if own == self.own_record {
            return;
        }
        if let Some(own) = &own {
            self.actions.push(FeedAction::ColdStart(own.cold_remaining));
        }
        self.own_record = own;
    }

    /// Answers the long polls for which there are changes or whose wait is over.
    fn answer_polls(&mut self, now: Time) {
        let due: Vec<PollId> = self
            .pending_polls
            .iter()
            .filter(|(_, poll)| poll.until <= now || self.has_changes(&poll.request))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            if let Some(PendingPoll { request, .. }) = self.pending_polls.remove(&id) {
                let answer = Box::new(self.answer(now, &request));
                self.actions
                    .push(FeedAction::AnswerPoll { poll: id, answer });
            }
        }
    }

    fn has_changes(&self, request: &CatalogRequest) -> bool {
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
            items: changes.unwrap_or_else(|| self.catalog.items()),
        }
    }

    /// Chooses the source of this node and reads the store or polls the peer.
    fn start_reads(&mut self, now: Time) {
        if self.cfg.is_first_start || !self.is_initial_list_pending() {
            self.peers.add_seeds(&self.cfg);
        }
        let choice = self.peers.choose_source(now, &self.cfg.vm, &self.cfg.zone);
        self.set_source(&choice);
        match choice {
            SourceChoice::Store => {
                self.read_store(now);
                let is_peer_needed = self.store_down_since.is_some()
                    || self.is_first_poll_due()
                    || self.is_outdated_poll_due(now);
                if is_peer_needed && self.outgoing_poll.is_none() {
                    self.poll_any_peer(now);
                }
            }
            SourceChoice::Peer(vm) => {
                if self.outgoing_poll.is_none() {
                    self.poll_peer(now, vm, PEER_POLL_WAIT);
                }
            }
        }
    }

    fn set_source(&mut self, choice: &SourceChoice) {
        let source = match choice {
            SourceChoice::Store => SourceName::Store,
            SourceChoice::Peer(vm) => SourceName::Peer(vm.clone()),
        };
        if self.source.as_ref() != Some(&source) {
            // A node that does not read the store cannot tell whether it is available.
            self.store_down_since = None;
            self.source = Some(source.clone());
            self.actions
                .push(FeedAction::Report(FeedReport::Source { source }));
        }
    }

    fn read_store(&mut self, now: Time) {
        for index in 0..self.readers.len() {
            let section = self.readers[index].section();
            let after = self.catalog.revision(section);
            let is_current = after.number > 0 && after.era == self.era;
            let has_revision = is_current
                && !self.readers[index].has_lost_history()
                && !(self.readers[index].needs_list() && self.catalog.has_unconfirmed(section));
            let Some(next) = self.readers[index].next_read(now, has_revision) else {
                continue;
            };
            if matches!(next, NextRead::Changes) && self.is_initial_list_pending() {
                continue;
            }
            let fetch = self.next_fetch();
            self.store_reads += 1;
            let deadline = self.readers[index].start(now, fetch, &next, after);
            self.actions.push(match next {
                NextRead::Page(after) => FeedAction::List {
                    fetch,
                    section,
                    after,
                    deadline,
                },
                NextRead::Changes => FeedAction::Watch {
                    fetch,
                    section,
                    after,
                    wait: STORE_POLL_WAIT,
                    deadline,
                },
            });
        }
    }

    /// Returns `true` if the first list of a section is still pending.
    ///
    /// Until then the node starts no read of changes, because the lists decide which
    /// peer it follows.
    fn is_initial_list_pending(&self) -> bool {
        self.readers
            .iter()
            .any(|r| r.is_list_pending() && self.catalog.revision(r.section()).number == 0)
    }

    /// Returns `true` if a node that reads the store has no answer of a peer yet.
    ///
    /// The store may have been restored from an older copy before the node started.
    /// The peers then know a newer configuration than the store.
    fn is_first_poll_due(&self) -> bool {
        !self.has_peer_answer && self.peers.len() > 0 && !self.is_initial_list_pending()
    }

    /// Returns `true` if the store has not confirmed the data for a long time and no peer
    /// was polled for it lately.
    ///
    /// A read of the store that gets no response fails only at its deadline. Until then
    /// nodes of another zone may know newer data.
    fn is_outdated_poll_due(&self, now: Time) -> bool {
        self.outdated_poll_at().is_some_and(|at| at <= now)
    }

    /// Returns the time of the next poll of a peer because of outdated data.
    fn outdated_poll_at(&self) -> Option<Time> {
        let outdated_at = self.confirmed_at? + MAX_VIEW_AGE;
        Some(outdated_at.max(self.last_any_poll_at + PEER_POLL_WAIT))
    }

    /// Polls a random peer while the store is unavailable or its data outdated, or once
    /// after the start.
    ///
    /// Nodes of another zone may still reach the store. A node that has just started
    /// polls one of its seeds, because it knows no peers.
    fn poll_any_peer(&mut self, now: Time) {
        self.last_any_poll_at = now;
        let is_store_down = self.store_down_since.is_some();
        let has_lost_store = is_store_down || self.is_outdated(now);
        if let Some(vm) = self
            .peers
            .choose_any(now, is_store_down, has_lost_store, &mut self.rng)
        {
            self.poll_peer(now, vm, PEER_POLL_WAIT);
        } else if self.peers.len() == 0
            && let Some(seed) = self.rng.choice(self.cfg.seeds.iter().copied())
        {
            let fetch = self.next_fetch();
            self.outgoing_poll = Some(OutgoingPoll { fetch, vm: None });
            let request = CatalogRequest {
                position: None,
                wait: Duration::ZERO,
            };
            self.actions.push(FeedAction::PollPeer {
                fetch,
                peer: seed,
                request,
                deadline: now + SEED_TIMEOUT,
            });
        }
    }

    fn schedule_wake(&mut self, now: Time) {
        let reads_store = self.source == Some(SourceName::Store);
        let readers = self.readers.iter().filter_map(SectionReader::due);
        let due = readers
            .filter(|_| reads_store)
            .chain(self.pending_polls.values().map(|poll| poll.until))
            .chain(self.deferred_removals.values().map(|removal| removal.until))
            .chain(self.peers.next_retry(now))
            .chain(
                self.outdated_poll_at()
                    .filter(|at| reads_store && *at > now),
            );
        let wake_at = due.min();
        if let Some(at) = wake_at.filter(|_| wake_at != self.wake_at) {
            self.actions.push(FeedAction::WakeAt(at));
        }
        self.wake_at = wake_at;
    }
}
