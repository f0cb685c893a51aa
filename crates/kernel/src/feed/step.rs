//! Work after each event: applies deferred removals, compiles a changed
//! configuration, and starts reads.

use std::sync::Arc;

use celeryshore_model::Snapshot;
use celeryshore_model::Time;

use super::Feed;
use super::FeedAction;
use super::FeedReport;
use super::SourceName;
use super::compile;
use super::peers::SourceChoice;
use super::section_reader::NextRead;
use super::section_reader::SectionReader;

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
                if self.is_poll_due(now) && self.outgoing_poll.is_none() {
                    self.poll_any_peer(now);
                }
            }
            SourceChoice::Peer(vm) => {
                if self.outgoing_poll.is_none() {
                    self.follow(now, vm);
                }
            }
        }
        self.compare(now);
    }

    fn set_source(&mut self, choice: &SourceChoice) {
        let source = match choice {
            SourceChoice::Store => SourceName::Store,
            SourceChoice::Peer(vm) => SourceName::Peer(vm.clone()),
        };
        if self.source.as_ref() != Some(&source) {
            // A node that does not read the store cannot tell whether it is available.
            self.store_down_since = None;
            self.is_source_lost &= matches!(source, SourceName::Peer(_));
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
            let confirmed_at = self.freshness.section_confirmed_at(section);
            let Some(next) = self.readers[index].next_read(now, has_revision, confirmed_at) else {
                continue;
            };
            if matches!(next, NextRead::Changes(_)) && self.is_initial_list_pending() {
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
                NextRead::Changes(wait) => FeedAction::Watch {
                    fetch,
                    section,
                    after,
                    wait,
                    deadline,
                },
            });
        }
    }

    /// Returns `true` if the first list of a section is still pending.
    ///
    /// Until then the node starts no read of changes, because the lists decide which
    /// peer it follows.
    pub(super) fn is_initial_list_pending(&self) -> bool {
        self.readers
            .iter()
            .any(|r| r.is_list_pending() && self.catalog.revision(r.section()).number == 0)
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
            )
            .chain(self.comparison_at(now));
        let wake_at = due.min();
        if let Some(at) = wake_at.filter(|_| wake_at != self.wake_at) {
            self.actions.push(FeedAction::WakeAt(at));
        }
        self.wake_at = wake_at;
    }
}
