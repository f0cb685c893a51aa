//! When each section was last proved to be up to date.

use celeryshore_model::Time;

use super::Revision;
use super::Section;

/// Times of the last proofs, and the revisions up to which nothing is deferred.
#[derive(Debug, Default)]
pub(super) struct Freshness {
    confirmed_at: [Option<Time>; Section::ALL.len()],
    settled: [Revision; Section::ALL.len()],
}

impl Freshness {
    /// Records that a section was up to date at a time.
    pub(super) fn confirm(&mut self, section: Section, at: Time) {
        let confirmed_at = &mut self.confirmed_at[section.index()];
        *confirmed_at = (*confirmed_at).max(Some(at));
    }

    /// Returns the time of the last proof of a section.
    pub(super) const fn section_confirmed_at(&self, section: Section) -> Option<Time> {
        self.confirmed_at[section.index()]
    }

    /// Returns the time at which both sections were last proved to be up to date.
    pub(super) fn confirmed_at(&self) -> Option<Time> {
        // `None` is less than any time.
        self.confirmed_at.into_iter().min().flatten()
    }

    /// Records that all changes of a section up to a revision are applied.
    pub(super) fn settle(&mut self, section: Section, revision: Revision) {
        let settled = &mut self.settled[section.index()];
        *settled = revision.max(*settled);
    }

    /// Returns the revisions up to which all changes are applied.
    pub(super) const fn settled(&self) -> [Revision; Section::ALL.len()] {
        self.settled
    }
}
