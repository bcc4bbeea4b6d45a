//! The newest known view and its last changes.

use std::{collections::VecDeque, sync::Arc};

use ident::{RequestId, Rev};

use crate::{ApplyError, Change, View};

/// Maximum number of changes kept, for peers and for a log that has lost them.
pub(super) const MAX_RECENT_CHANGES: usize = 256;

/// What a store knows of the configuration.
#[derive(Default)]
pub(super) struct Known {
    /// The newest known view. Its revision never decreases.
    pub(super) view: Arc<View>,
    /// The last changes of the view, oldest first. Invariant: consecutive revisions; the last one is
    /// that of the view, unless none is known.
    recent: VecDeque<Change>,
}

impl Known {
    /// Applies changes. Known ones are ignored.
    pub(super) fn extend(&mut self, changes: &[Change]) -> Result<Rev, ApplyError> {
        let before = self.view.rev();
        if changes.last().is_none_or(|c| c.rev <= before) {
            return Ok(before);
        }
        // This copies the view only if a reader still holds it.
        let result = Arc::make_mut(&mut self.view).extend(changes);
        // An invalid change may end the list early.
        let after = self.view.rev();
        self.keep(changes.iter().filter(|c| c.rev > before && c.rev <= after).cloned());
        result.map(|()| after)
    }

    /// Replaces the view if `view` is newer. `changes` are its last ones.
    pub(super) fn replace(&mut self, view: View, changes: Vec<Change>) {
        if view.rev() > self.view.rev() {
            self.view = Arc::new(view);
            self.recent.clear();
            self.keep(changes);
        }
    }

    /// The revision of the view, and the id of its last change if that is known.
    pub(super) fn end(&self) -> (Rev, Option<RequestId>) {
        (self.view.rev(), self.recent.back().map(|c| c.id))
    }

    /// The change of a revision; `None` if it is not kept.
    pub(super) fn change(&self, rev: Rev) -> Option<&Change> {
        let at = self.recent.binary_search_by_key(&rev, |c| c.rev).ok()?;
        self.recent.get(at)
    }

    /// All changes after a revision; empty if some of them are not kept.
    pub(super) fn changes_after(&self, rev: Rev) -> Vec<Change> {
        let at = self.recent.partition_point(|c| c.rev <= rev);
        match self.recent.get(at) {
            Some(first) if first.rev == rev.next() => self.recent.range(at..).cloned().collect(),
            _ => Vec::new(),
        }
    }

    fn keep<I>(&mut self, changes: I)
    where
        I: IntoIterator<Item = Change>,
    {
        self.recent.extend(changes);
        let excess = self.recent.len().saturating_sub(MAX_RECENT_CHANGES);
        self.recent.drain(..excess);
    }
}
