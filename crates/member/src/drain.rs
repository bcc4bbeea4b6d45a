//! Leaving: first no longer named, then quiet.

use ident::Time;

use crate::{ADDRESS_TERM, MESH_MAX, Members, PeerState, SPREAD_TERM};

impl Members {
    /// Announces that this instance is leaving. It is not named in answers from now on.
    pub fn leave(&mut self, now: Time) {
        if self.leaving.is_some() {
            return;
        }
        self.incarnation += 1;
        self.leaving = Some(self.incarnation);
        self.announce(now);
    }

    /// Whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Whether every address answer that names this instance has expired. Requests that still run
    /// are not counted here.
    ///
    /// Answers of peers count until each neighbour has acknowledged the leave or is dead, and,
    /// where not everybody is a neighbour, for [`SPREAD_TERM`] more.
    pub fn drained(&self, now: Time) -> bool {
        self.leaving.is_some()
            && self.named.passed(now)
            && self.quiet.is_some_and(|t| t.passed(now))
    }

    /// Notes the moment from which no peer names this instance any more.
    pub(crate) fn check_quiet(&mut self, now: Time) {
        let Some(leaving) = self.leaving else {
            return;
        };
        if self.quiet.is_some() || !self.acknowledged(leaving) {
            return;
        }
        let mesh = self.peers.len() < MESH_MAX;
        let spread = if mesh { now } else { now.after(SPREAD_TERM) };
        self.quiet = Some(spread.after(ADDRESS_TERM));
    }

    fn acknowledged(&self, leaving: u64) -> bool {
        self.peers
            .iter()
            .filter(|p| p.state != PeerState::Down && self.near.binary_search(&p.name).is_ok())
            .all(|p| p.status.is_some_and(|s| s.seen >= leaving))
    }
}
