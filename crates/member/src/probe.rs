//! Sending pings and judging silence.

use ident::{Name, Time};

use crate::{Action, HEARD_TERM, Members, PING_GAP, PROBE_INTERVAL, PeerState, Ping};

/// Pings in a row, the last of them over a new connection, that go unanswered before a peer is
/// suspected.
const MISSES: u32 = 2;

impl Members {
    /// Lets time pass: returns the pings that are due and the changes since the last call. `draw`
    /// is a random number. Call it a few times a second.
    pub fn tick(&mut self, now: Time, draw: u64) -> Vec<Action> {
        self.expire(now);
        if std::mem::take(&mut self.moved) {
            self.refresh(now);
        }
        self.check_quiet(now);
        if self.rev() > self.told {
            self.told = self.rev();
            self.hurry(now);
        }
        for i in 0..self.near.len() {
            let at = self.find(&self.near[i]).expect("neighbours are known peers");
            let peer = &self.peers[at];
            if peer.asked.is_none() && peer.due.passed(now) {
                self.ping(at, now);
            }
        }
        for at in 0..self.peers.len() {
            let peer = &self.peers[at];
            if peer.hint && peer.asked.is_none() && peer.sent.after(PING_GAP).passed(now) {
                self.ping(at, now);
            }
        }
        self.probe_dead(now, draw);
        std::mem::take(&mut self.out)
    }

    /// Takes that a peer gave no pong in time. The next ping must use a new connection.
    pub fn on_silent(&mut self, peer: &Name, now: Time) {
        let Ok(at) = self.find(peer) else {
            return;
        };
        let peer = &mut self.peers[at];
        if peer.asked.take().is_none() {
            return;
        }
        peer.misses += 1;
        peer.due = if peer.misses < MISSES { now } else { peer.sent.after(2 * PING_GAP).max(now) };
        if peer.misses < MISSES || now.since(peer.heard) < HEARD_TERM / 2 {
            return;
        }
        match peer.state {
            PeerState::Live => self.shift(at, PeerState::Suspect, now),
            PeerState::Leaving => self.shift(at, PeerState::Down, now),
            PeerState::Suspect | PeerState::Down => {}
        }
    }

    fn ping(&mut self, at: usize, now: Time) {
        let (to, addr) = (self.peers[at].name.clone(), self.peers[at].peer);
        let (status, news) = self.message(&to, now);
        let peer = &mut self.peers[at];
        assert!(peer.asked.is_none(), "one unanswered ping at most");
        peer.asked = Some(now);
        peer.hint = false;
        peer.sent = now;
        self.out.push(Action::Ping { to, addr, ping: Ping { status, news } });
    }

    /// Pings one dead peer now and then: after a partition both sides hold each other for dead.
    fn probe_dead(&mut self, now: Time, draw: u64) {
        if !self.probe.passed(now) {
            return;
        }
        let dead = |p: &crate::Peer| p.state == PeerState::Down && p.asked.is_none();
        let count = self.peers.iter().filter(|p| dead(p)).count();
        if count == 0 {
            return;
        }
        self.probe = now.after(PROBE_INTERVAL);
        let nth = usize::try_from(draw % count as u64).expect("below a count of peers");
        let at = (0..self.peers.len()).filter(|&i| dead(&self.peers[i])).nth(nth);
        self.ping(at.expect("fewer than the dead peers"), now);
    }

    /// Judges lost pings, suspects whose time is over and dead peers nobody lists.
    fn expire(&mut self, now: Time) {
        let lost: Vec<_> = self
            .peers
            .iter()
            .filter(|p| p.asked.is_some_and(|t| t.after(self.config.timeout).passed(now)))
            .map(|p| p.name.clone())
            .collect();
        for name in lost {
            self.on_silent(&name, now);
        }
        for at in 0..self.peers.len() {
            let peer = &self.peers[at];
            if peer.state == PeerState::Suspect && peer.term.passed(now) {
                self.shift(at, PeerState::Down, now);
            }
        }
        self.forget(now);
    }

    /// Forgets dead peers that the platform no longer lists. While this instance can't confirm its
    /// configuration only those are forgotten that said they leave: the others still count for
    /// [`crate::Freshness::Outage`].
    fn forget(&mut self, now: Time) {
        let fresh = self.confirmation.holds(now);
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|p| p.state == PeerState::Down && !p.listed && p.term.passed(now))
            .filter(|p| fresh || p.left)
            .map(|p| p.name.clone())
            .collect();
        for name in gone {
            self.peers.retain(|p| p.name != name);
            self.queue.forget(&name);
            self.out.push(Action::Forget { peer: name });
        }
    }
}
