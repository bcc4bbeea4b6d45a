//! Sends pings and handles missing pongs.

use ident::{Name, Time};

use crate::{Action, HEARTBEAT_TTL, MIN_PING_INTERVAL, Members, PROBE_INTERVAL, PeerState, Ping};

/// Number of consecutive pings without a pong after which a peer is suspected. The last of them
/// uses a new connection.
const MISSES_TO_SUSPECT: u32 = 2;

impl Members {
    /// Advances to `now`: returns the pings that are due and the changes since the last call.
    /// `draw` is a random number. Call this a few times a second.
    pub fn tick(&mut self, now: Time, draw: u64) -> Vec<Action> {
        self.expire(now);
        if std::mem::take(&mut self.neighbours_changed) {
            self.refresh(now);
        }
        self.check_leave_acknowledged(now);
        if self.rev() > self.announced_rev {
            self.announced_rev = self.rev();
            self.ping_soon(now);
        }
        for i in 0..self.neighbours.len() {
            let at = self.find(&self.neighbours[i]).expect("neighbours are known peers");
            let peer = &self.peers[at];
            if peer.unanswered.is_none() && peer.next_ping.passed(now) {
                self.ping(at, now);
            }
        }
        for at in 0..self.peers.len() {
            let peer = &self.peers[at];
            if peer.ping_once
                && peer.unanswered.is_none()
                && peer.last_ping.after(MIN_PING_INTERVAL).passed(now)
            {
                self.ping(at, now);
            }
        }
        self.probe_down(now, draw);
        std::mem::take(&mut self.actions)
    }

    /// Handles a ping to which no pong came in time. The caller must close its connection to the
    /// peer, so that the next ping uses a new one.
    pub fn on_ping_timeout(&mut self, peer: &Name, now: Time) {
        let Ok(at) = self.find(peer) else {
            return;
        };
        let peer = &mut self.peers[at];
        if peer.unanswered.take().is_none() {
            return;
        }
        peer.misses += 1;
        peer.next_ping = if peer.misses < MISSES_TO_SUSPECT {
            now
        } else {
            peer.last_ping.after(2 * MIN_PING_INTERVAL).max(now)
        };
        if peer.misses < MISSES_TO_SUSPECT || now.since(peer.last_seen) < HEARTBEAT_TTL / 2 {
            return;
        }
        match peer.state {
            PeerState::Live => self.set_state(at, PeerState::Suspect, now),
            PeerState::Leaving => self.set_state(at, PeerState::Down, now),
            PeerState::Suspect | PeerState::Down => {}
        }
    }

    /// Adds a ping to the actions.
    fn ping(&mut self, at: usize, now: Time) {
        let (to, addr) = (self.peers[at].name.clone(), self.peers[at].peer_addr);
        let (status, updates) = self.message(&to, now);
        let peer = &mut self.peers[at];
        assert!(peer.unanswered.is_none(), "a ping to this peer is already unanswered");
        peer.unanswered = Some(now);
        peer.ping_once = false;
        peer.last_ping = now;
        self.actions.push(Action::Ping { to, addr, ping: Ping { status, updates } });
    }

    /// Pings one of the peers that are down, once in [`PROBE_INTERVAL`]. After a network partition
    /// each side considers the other one down.
    fn probe_down(&mut self, now: Time, draw: u64) {
        if !self.next_probe.passed(now) {
            return;
        }
        let is_down = |p: &crate::Peer| p.state == PeerState::Down && p.unanswered.is_none();
        let count = self.peers.iter().filter(|p| is_down(p)).count();
        if count == 0 {
            return;
        }
        self.next_probe = now.after(PROBE_INTERVAL);
        let nth =
            usize::try_from(draw % count as u64).expect("a number below the count of peers fits");
        let at = (0..self.peers.len()).filter(|&i| is_down(&self.peers[i])).nth(nth);
        self.ping(at.expect("below the number of peers that are down"), now);
    }

    /// Handles pings that timed out, suspect peers past their deadline and peers to be forgotten.
    fn expire(&mut self, now: Time) {
        let timed_out: Vec<_> = self
            .peers
            .iter()
            .filter(|p| p.unanswered.is_some_and(|t| t.after(self.config.ping_timeout).passed(now)))
            .map(|p| p.name.clone())
            .collect();
        for name in timed_out {
            self.on_ping_timeout(&name, now);
        }
        for at in 0..self.peers.len() {
            let peer = &self.peers[at];
            if peer.state == PeerState::Suspect && peer.state_deadline.passed(now) {
                self.set_state(at, PeerState::Down, now);
            }
        }
        self.forget(now);
    }

    /// Forgets peers that are down and no longer listed by the platform. While the configuration of
    /// this instance is not confirmed, it forgets only peers that announced their leave, because
    /// the others still count for [`crate::Freshness::Outage`].
    fn forget(&mut self, now: Time) {
        let fresh = self.confirmation.is_valid(now);
        let removed: Vec<_> = self
            .peers
            .iter()
            .filter(|p| p.state == PeerState::Down && !p.listed && p.state_deadline.passed(now))
            .filter(|p| fresh || p.announced_leave)
            .map(|p| p.name.clone())
            .collect();
        for name in removed {
            self.peers.retain(|p| p.name != name);
            self.queue.remove(&name);
            self.actions.push(Action::Forget { peer: name });
        }
    }
}
