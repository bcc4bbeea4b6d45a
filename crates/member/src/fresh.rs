//! Decides whether the configuration of this instance is recent enough to take new work.

use ident::{Rev, Time};

use crate::{CONFIRMATION_TTL, HEARTBEAT_TTL, Members, Peer, PeerState, Status};

/// Whether the configuration of this instance is known to be recent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The configuration was confirmed to be the newest less than [`CONFIRMATION_TTL`] ago.
    Fresh,
    /// The configuration is not confirmed, but most instances are present and none of them reaches
    /// the table service. So nobody can change the configuration, and the instance keeps serving.
    Outage,
    /// The configuration may be outdated; the instance takes no new work.
    Stale,
}

/// The last confirmation that the configuration is the newest.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    /// Configuration revision that this instance applies. Invariant: never decreases.
    rev: Rev,
    /// When `rev` was last known to be the newest; `None` if it never was. Invariant: never
    /// decreases.
    at: Option<Time>,
    /// Whether the last read of the table service succeeded.
    pub(crate) table_reachable: bool,
}

impl Confirmation {
    /// Milliseconds since the last confirmation; `None` without one.
    pub(crate) fn age(&self, now: Time) -> Option<u32> {
        Some(u32::try_from(now.since(self.at?).as_millis()).unwrap_or(u32::MAX))
    }

    /// Whether the last confirmation is still valid at `now`.
    pub(crate) fn is_valid(&self, now: Time) -> bool {
        self.at.is_some_and(|at| !at.after(CONFIRMATION_TTL).passed(now))
    }

    fn raise(&mut self, at: Time) {
        self.at = self.at.max(Some(at));
    }
}

impl Members {
    /// Configuration revision that this instance applies.
    pub fn rev(&self) -> Rev {
        self.confirmation.rev
    }

    /// Sets the configuration revision that this instance applies. A lower one is ignored.
    pub fn set_rev(&mut self, rev: Rev) {
        self.confirmation.rev = self.confirmation.rev.max(rev);
    }

    /// When the applied revision was last known to be the newest; `None` if it never was.
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmation.at
    }

    /// Records the result of a read of the configuration log that started at `asked`: `ok` tells
    /// whether it succeeded, `newest` is the newest revision in the log. Apply the changes and call
    /// [`Members::set_rev`] first.
    pub fn on_table_read(&mut self, asked: Time, ok: bool, newest: Rev) {
        if ok {
            self.confirm_at_outage_end(asked);
        }
        self.confirmation.table_reachable = ok;
        if ok && newest <= self.rev() {
            self.confirmation.raise(asked);
        }
    }

    /// If the table service has had an outage up to `now`, counts the configuration as confirmed
    /// [`HEARTBEAT_TTL`] before. Call this before recording that an instance reaches the table,
    /// because that ends the outage. During the outage nobody could change the configuration, so it
    /// was the newest one when the oldest message that still counts was received.
    pub(crate) fn confirm_at_outage_end(&mut self, now: Time) {
        if self.confirmation.at.is_some() && self.outage(now) {
            self.confirmation.raise(now.before(HEARTBEAT_TTL));
        }
    }

    /// Records a confirmation from a peer that was asked at `asked`.
    ///
    /// The peer answered after it was asked. So `age` before `asked` is at or before the point at
    /// which the peer knew its revision to be the newest.
    pub(crate) fn confirm(&mut self, status: &Status, asked: Time) {
        let at = status.age_ms.and_then(|age| asked.0.checked_sub(u64::from(age)));
        if let Some(at) = at.filter(|_| status.rev <= self.rev()) {
            self.confirmation.raise(Time(at));
        }
    }

    /// Whether the configuration of this instance is known to be recent.
    pub fn freshness(&self, now: Time) -> Freshness {
        if self.confirmation.is_valid(now) {
            Freshness::Fresh
        } else if self.confirmation.at.is_some() && self.outage(now) {
            Freshness::Outage
        } else {
            Freshness::Stale
        }
    }

    /// Whether this instance may take new work: its configuration was confirmed at least once since
    /// the start and is not stale.
    pub fn takes_work(&self, now: Time) -> bool {
        self.freshness(now) != Freshness::Stale
    }

    /// Whether the table service has an outage: more than half of the known instances are present,
    /// and none of the neighbours with a recent message reaches the table.
    fn outage(&self, now: Time) -> bool {
        if self.confirmation.table_reachable {
            return false;
        }
        let counted =
            || self.peers.iter().filter(|p| !(p.announced_leave && p.state == PeerState::Down));
        let known = counted().count() + 1;
        let present = counted().filter(|p| self.is_present(p, now)).count() + 1;
        present * 2 > known && self.most_neighbours_lack_table(now)
    }

    /// Whether a peer is present. For a neighbour its own recent message counts, for another peer
    /// the state that its neighbours spread.
    fn is_present(&self, peer: &Peer, now: Time) -> bool {
        if self.neighbours.binary_search(&peer.name).is_ok() {
            return recently_seen(peer, now);
        }
        matches!(peer.state, PeerState::Live | PeerState::Leaving)
    }

    /// Whether more than half of the neighbours, counting this instance, have sent a recent message
    /// and none of those reaches the table.
    fn most_neighbours_lack_table(&self, now: Time) -> bool {
        let neighbours =
            || self.peers.iter().filter(|p| self.neighbours.binary_search(&p.name).is_ok());
        let seen = neighbours().filter(|p| recently_seen(p, now)).count() + 1;
        let reaches =
            |p: &Peer| recently_seen(p, now) && p.status.is_some_and(|s| s.table_reachable);
        seen * 2 > neighbours().count() + 1 && !neighbours().any(reaches)
    }
}

/// Whether the peer sent a status less than [`HEARTBEAT_TTL`] ago.
fn recently_seen(peer: &Peer, now: Time) -> bool {
    peer.status.is_some() && now.since(peer.last_seen) < HEARTBEAT_TTL
}
