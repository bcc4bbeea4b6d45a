//! Whether this instance may trust its configuration.

use ident::{Rev, Time};

use crate::{CONFIRM_TERM, HEARD_TERM, Members, Peer, PeerState, Status};

/// What this instance knows about its configuration's age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Confirmed to be the newest less than [`CONFIRM_TERM`] ago.
    Fresh,
    /// Not confirmed, but most instances are here and none reaches the table service, so nobody
    /// can change the configuration either: serve on.
    Outage,
    /// Neither: take no new work.
    Stale,
}

/// The last confirmation.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    /// Revision in force here. Invariant: never decreases.
    rev: Rev,
    /// The latest moment at which `rev` was known to be the newest; `None` for never. Invariant:
    /// never decreases.
    at: Option<Time>,
    /// The last read of the table service succeeded.
    pub(crate) table: bool,
}

impl Confirmation {
    pub(crate) fn age(&self, now: Time) -> Option<u32> {
        Some(u32::try_from(now.since(self.at?).as_millis()).unwrap_or(u32::MAX))
    }

    pub(crate) fn holds(&self, now: Time) -> bool {
        self.at.is_some_and(|at| !at.after(CONFIRM_TERM).passed(now))
    }

    fn raise(&mut self, at: Time) {
        self.at = self.at.max(Some(at));
    }
}

impl Members {
    /// Revision in force here.
    pub fn rev(&self) -> Rev {
        self.confirmation.rev
    }

    /// Sets the revision in force here; a lower one is ignored.
    pub fn set_rev(&mut self, rev: Rev) {
        self.confirmation.rev = self.confirmation.rev.max(rev);
    }

    /// When the revision in force here was last known to be the newest; `None` for never.
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmation.at
    }

    /// Takes the result of a read of the configuration log that was sent at `asked`: whether it
    /// succeeded, and the newest revision it showed. Apply the changes and call
    /// [`Members::set_rev`] first.
    pub fn table_read(&mut self, asked: Time, ok: bool, newest: Rev) {
        if ok {
            self.end_outage(asked);
        }
        self.confirmation.table = ok;
        if ok && newest <= self.rev() {
            self.confirmation.raise(asked);
        }
    }

    /// Call before it becomes known that somebody reaches the table. While nobody did, nobody could
    /// change the configuration, so it was the newest when the oldest word that counts was heard.
    pub(crate) fn end_outage(&mut self, now: Time) {
        if self.confirmation.at.is_some() && self.outage(now) {
            self.confirmation.raise(now.before(HEARD_TERM));
        }
    }

    /// Takes a peer's word on the newest revision, given after `asked`.
    ///
    /// The peer knew its revision to be the newest `age` before it answered, so no earlier than
    /// `age` before it was asked; the time the answer took only makes the word older.
    pub(crate) fn confirm(&mut self, status: &Status, asked: Time) {
        let at = status.age.and_then(|age| asked.0.checked_sub(u64::from(age)));
        if let Some(at) = at.filter(|_| status.rev <= self.rev()) {
            self.confirmation.raise(Time(at));
        }
    }

    /// Whether this instance may trust its configuration.
    pub fn freshness(&self, now: Time) -> Freshness {
        if self.confirmation.holds(now) {
            Freshness::Fresh
        } else if self.confirmation.at.is_some() && self.outage(now) {
            Freshness::Outage
        } else {
            Freshness::Stale
        }
    }

    /// Whether this instance may take new work: its configuration was confirmed once since its
    /// start, and it is not stale.
    pub fn takes_work(&self, now: Time) -> bool {
        self.freshness(now) != Freshness::Stale
    }

    /// Whether more than half of the known instances are here and nobody heard reaches the table.
    fn outage(&self, now: Time) -> bool {
        if self.confirmation.table {
            return false;
        }
        let counted = || self.peers.iter().filter(|p| !(p.left && p.state == PeerState::Down));
        let known = counted().count() + 1;
        let present = counted().filter(|p| self.present(p, now)).count() + 1;
        present * 2 > known && self.near_agree(now)
    }

    /// Whether a peer is here: a neighbour by its own recent word, another one by the word of
    /// those who ping it.
    fn present(&self, peer: &Peer, now: Time) -> bool {
        if self.near.binary_search(&peer.name).is_ok() {
            return heard(peer, now);
        }
        matches!(peer.state, PeerState::Live | PeerState::Leaving)
    }

    /// Whether more than half of the neighbours were heard, and all of those miss the table.
    fn near_agree(&self, now: Time) -> bool {
        let near = || self.peers.iter().filter(|p| self.near.binary_search(&p.name).is_ok());
        let here = near().filter(|p| heard(p, now)).count() + 1;
        let reaches = |p: &Peer| heard(p, now) && p.status.is_some_and(|s| s.table);
        here * 2 > near().count() + 1 && !near().any(reaches)
    }
}

fn heard(peer: &Peer, now: Time) -> bool {
    peer.status.is_some() && now.since(peer.heard) < HEARD_TERM
}
