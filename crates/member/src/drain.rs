//! Leaving: this instance is no longer named in answers, then all answers that name it expire.

use ident::Time;

use crate::{ADDRESS_TTL, MAX_MESH_SIZE, Members, PROPAGATION_GRACE, PeerState};

impl Members {
    /// Announces that this instance is leaving. From now on its own answers do not name it.
    pub fn leave(&mut self, now: Time) {
        if self.leave_incarnation.is_some() {
            return;
        }
        self.incarnation += 1;
        self.leave_incarnation = Some(self.incarnation);
        self.announce(now);
    }

    /// Whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leave_incarnation.is_some()
    }

    /// Whether this instance is leaving and every address answer that names it has expired.
    /// Requests in flight are not considered.
    ///
    /// Peers are assumed to name this instance until each neighbour has acknowledged the leave or
    /// is down. If not all peers are neighbours, [`PROPAGATION_GRACE`] is added.
    pub fn is_drained(&self, now: Time) -> bool {
        self.leave_incarnation.is_some()
            && self.named_until.passed(now)
            && self.answers_expire.is_some_and(|t| t.passed(now))
    }

    /// Once all neighbours have acknowledged the leave, sets when the answers of peers that name
    /// this instance have expired.
    pub(crate) fn check_leave_acknowledged(&mut self, now: Time) {
        let Some(leaving) = self.leave_incarnation else {
            return;
        };
        if self.answers_expire.is_some() || !self.acknowledged(leaving) {
            return;
        }
        let mesh = self.peers.len() < MAX_MESH_SIZE;
        let spread = if mesh { now } else { now.after(PROPAGATION_GRACE) };
        self.answers_expire = Some(spread.after(ADDRESS_TTL));
    }

    /// Whether every neighbour that is not down has acknowledged the incarnation `leaving`.
    fn acknowledged(&self, leaving: u64) -> bool {
        self.peers
            .iter()
            .filter(|p| {
                p.state != PeerState::Down && self.neighbours.binary_search(&p.name).is_ok()
            })
            .all(|p| p.status.is_some_and(|s| s.acknowledged >= leaving))
    }
}
