//! The state of one instance's view and how messages change it.

use std::{net::SocketAddr, time::Duration};

use ident::{Digest, Name, Rev, Time};

use crate::{
    Config, Entry, Me, News, PING_GAP, Peer, PeerState, Ping, Pong, Status, fresh::Confirmation,
    news::Queue, ring::neighbours,
};

/// What the caller has to do or may record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a ping; report the pong with [`Members::on_pong`] or its absence with
    /// [`Members::on_silent`].
    Ping {
        /// The receiver.
        to: Name,
        /// Its peer socket.
        addr: SocketAddr,
        /// The ping.
        ping: Ping,
    },
    /// Ask a peer for the configuration changes after a revision.
    FetchChanges {
        /// The peer.
        from: Name,
        /// Its peer socket.
        addr: SocketAddr,
        /// Revision of this instance.
        after: Rev,
    },
    /// A peer's state changed; for the time line.
    Changed {
        /// The peer.
        peer: Name,
        /// Its new state.
        state: PeerState,
    },
    /// A peer is gone; connections to it can be dropped.
    Forget {
        /// The peer.
        peer: Name,
    },
}

/// The instances this one knows of.
#[derive(Debug)]
pub struct Members {
    pub(crate) me: Me,
    pub(crate) config: Config,
    /// Own incarnation. Invariant: never decreases.
    pub(crate) incarnation: u64,
    /// The incarnation that announced the leave; `None` while not leaving.
    pub(crate) leaving: Option<u64>,
    /// Invariant: sorted by name, without this instance.
    pub(crate) peers: Vec<Peer>,
    /// A peer died or came back since `near` was worked out.
    pub(crate) moved: bool,
    /// The names that `near` was worked out from.
    names: Vec<Name>,
    /// Invariant: sorted; peers that are pinged.
    pub(crate) near: Vec<Name>,
    pub(crate) queue: Queue,
    pub(crate) out: Vec<Action>,
    pub(crate) confirmation: Confirmation,
    /// Own utilisation in thousandths.
    pub(crate) load: u16,
    /// When the last answer that named this instance expires.
    pub(crate) named: Time,
    /// When every address answer of others that names this instance has expired; set once every
    /// neighbour knows of the leave.
    pub(crate) quiet: Option<Time>,
    /// Next ping to a dead peer.
    pub(crate) probe: Time,
    /// No peer is asked for changes before.
    fetch: Time,
    /// The revision that neighbours were last told of early.
    pub(crate) told: Rev,
}

impl Members {
    /// A view that holds this instance only.
    pub fn new(me: Me, config: Config) -> Self {
        Self {
            incarnation: me.started.0.max(1),
            leaving: None,
            peers: Vec::new(),
            moved: false,
            names: Vec::new(),
            near: Vec::new(),
            queue: Queue::default(),
            out: Vec::new(),
            confirmation: Confirmation::default(),
            load: 0,
            named: Time::default(),
            quiet: None,
            probe: Time::default(),
            fetch: Time::default(),
            told: Rev::default(),
            me,
            config,
        }
    }

    /// This instance.
    pub fn me(&self) -> &Me {
        &self.me
    }

    /// All peers, by name.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// The peers that are pinged, by name.
    pub fn neighbours(&self) -> &[Name] {
        &self.near
    }

    /// Sets this instance's utilisation in thousandths, which pings carry.
    pub fn set_load(&mut self, load: u16) {
        self.load = load;
    }

    /// Takes the platform's list. A peer missing from it stays known: it is only forgotten once
    /// it is dead as well.
    pub fn sync_list(&mut self, entries: &[Entry], now: Time) {
        for peer in &mut self.peers {
            peer.listed = false;
        }
        for entry in entries {
            match self.find(&entry.name) {
                _ if entry.name == self.me.name => {}
                Ok(at) => self.update(at, entry, now),
                Err(at) => self.peers.insert(at, Peer::new(entry, now)),
            }
        }
        self.refresh(now);
    }

    fn update(&mut self, at: usize, entry: &Entry, now: Time) {
        let peer = &mut self.peers[at];
        if (peer.addr, peer.peer) != (entry.addr, entry.peer) {
            peer.due = now;
        }
        peer.zone = entry.zone.clone();
        peer.addr = entry.addr;
        peer.peer = entry.peer;
        peer.listed = true;
        peer.leaving = entry.leaving;
    }

    /// Answers a ping.
    ///
    /// A life that has not answered a ping of ours yet may be a replay: it is answered and pinged,
    /// and believed only once it has answered.
    pub fn on_ping(&mut self, from: &Name, ping: Ping, now: Time) -> Pong {
        if let Ok(at) = self.find(from) {
            let peer = &mut self.peers[at];
            if peer.boot == Some(ping.status.boot) {
                self.hear(at, ping.status, &ping.news, now);
            } else {
                peer.hint = true;
            }
        }
        let (status, news) = self.message(from, now);
        Pong { status, news }
    }

    /// Takes the pong to the last ping sent to `from`.
    pub fn on_pong(&mut self, from: &Name, pong: Pong, now: Time) -> Vec<Action> {
        let Ok(at) = self.find(from) else {
            return Vec::new();
        };
        let peer = &mut self.peers[at];
        let Some(sent) = peer.asked.take() else {
            return Vec::new();
        };
        peer.misses = 0;
        if peer.boot != Some(pong.status.boot) {
            peer.boot = Some(pong.status.boot);
            peer.status = None;
            self.retell();
        }
        self.hear(at, pong.status, &pong.news, now);
        self.confirm(&pong.status, sent);
        std::mem::take(&mut self.out)
    }

    /// Takes a message of an established life.
    fn hear(&mut self, at: usize, status: Status, news: &[News], now: Time) {
        let due = now.after(self.pause(&self.peers[at].name, now));
        if status.table {
            self.end_outage(now);
        }
        let peer = &mut self.peers[at];
        peer.heard = now;
        peer.due = due;
        if peer.status.is_none_or(|s| s.incarnation <= status.incarnation) {
            peer.status = Some(status);
            let state = if status.leaving { PeerState::Leaving } else { PeerState::Live };
            let name = peer.name.clone();
            self.learn(&News { name, incarnation: status.incarnation, state }, now);
        }
        for news in news {
            self.learn(news, now);
        }
        self.fetch(at, status.rev, now);
        let peer = &mut self.peers[at];
        peer.hint |= peer.needs_word();
        self.check_quiet(now);
    }

    /// Asks a peer for the changes that this instance lacks, unless somebody was just asked.
    fn fetch(&mut self, at: usize, rev: Rev, now: Time) {
        if rev <= self.rev() || !self.fetch.passed(now) {
            return;
        }
        self.fetch = now.after(PING_GAP);
        let (from, addr) = (self.peers[at].name.clone(), self.peers[at].peer);
        self.out.push(Action::FetchChanges { from, addr, after: self.rev() });
    }

    /// Takes news, from the instance itself or passed on. Older news are ignored.
    fn learn(&mut self, news: &News, now: Time) {
        if news.name == self.me.name {
            self.contradict(news, now);
            return;
        }
        let Ok(at) = self.find(&news.name) else {
            return;
        };
        let peer = &self.peers[at];
        let held = (peer.incarnation, peer.state.rank());
        if (news.incarnation, news.state.rank()) <= held {
            self.correct(at, news);
            return;
        }
        let first = peer.incarnation == 0 && peer.state == news.state;
        self.peers[at].incarnation = news.incarnation;
        if first {
            return;
        }
        self.shift(at, news.state, now);
    }

    /// Tells on what is held about a peer when somebody still spreads older bad news about it.
    fn correct(&mut self, at: usize, old: &News) {
        let peer = &self.peers[at];
        if old.incarnation < peer.incarnation && old.state.rank() > peer.state.rank() {
            let (name, incarnation) = (peer.name.clone(), peer.incarnation);
            self.queue.offer(News { name, incarnation, state: peer.state });
        }
    }

    /// Answers news about this instance that it knows better.
    fn contradict(&mut self, news: &News, now: Time) {
        let own = self.own_state();
        if (news.incarnation, news.state.rank()) <= (self.incarnation, own.rank()) {
            return;
        }
        self.incarnation = news.incarnation + 1;
        self.announce(now);
    }

    /// Spreads this instance's own state.
    pub(crate) fn announce(&mut self, now: Time) {
        let (name, state) = (self.me.name.clone(), self.own_state());
        self.queue.push(News { name, incarnation: self.incarnation, state });
        self.hurry(now);
    }

    pub(crate) fn own_state(&self) -> PeerState {
        if self.leaving.is_some() { PeerState::Leaving } else { PeerState::Live }
    }

    /// Puts a peer into a state, tells the caller and spreads the news.
    pub(crate) fn shift(&mut self, at: usize, state: PeerState, now: Time) {
        let peer = &mut self.peers[at];
        let changed = peer.state != state;
        let ring = (peer.state == PeerState::Down) != (state == PeerState::Down);
        peer.state = state;
        peer.term = match state {
            PeerState::Suspect => now.after(self.config.suspicion),
            PeerState::Down => now.after(self.config.memory),
            PeerState::Live | PeerState::Leaving => Time::NEVER,
        };
        match state {
            PeerState::Suspect => peer.due = now,
            PeerState::Leaving => peer.left = true,
            PeerState::Live => peer.left = false,
            PeerState::Down => {}
        }
        let (name, incarnation) = (peer.name.clone(), peer.incarnation);
        if changed {
            self.out.push(Action::Changed { peer: name.clone(), state });
        }
        self.queue.push(News { name, incarnation, state });
        self.hurry(now);
        self.moved |= ring;
    }

    /// Pings neighbours early, so that news spreads within a second or two.
    pub(crate) fn hurry(&mut self, now: Time) {
        for i in 0..self.near.len() {
            let at = self.find(&self.near[i]).expect("neighbours are known peers");
            let peer = &mut self.peers[at];
            peer.due = peer.due.min(peer.sent.after(PING_GAP).max(now));
        }
    }

    /// Tells again of every peer that is not simply live, for a life that was not there to hear.
    fn retell(&mut self) {
        for peer in self.peers.iter().filter(|p| p.state != PeerState::Live && p.incarnation > 0) {
            let (name, incarnation) = (peer.name.clone(), peer.incarnation);
            self.queue.push(News { name, incarnation, state: peer.state });
        }
    }

    /// What is said to `to` now.
    pub(crate) fn message(&mut self, to: &Name, now: Time) -> (Status, Vec<News>) {
        let peer = self.find(to).ok().map(|at| &self.peers[at]);
        let seen = peer.and_then(|p| p.status).map_or(0, |s| s.incarnation);
        let word = peer.filter(|p| p.needs_word() && p.incarnation > 0).map(|p| News {
            name: p.name.clone(),
            incarnation: p.incarnation,
            state: p.state,
        });
        let limit = 3 * (self.peers.len() + 2).ilog2().max(2);
        let news = self.queue.take(to, limit, word);
        (self.status(seen, now), news)
    }

    fn status(&self, seen: u64, now: Time) -> Status {
        Status {
            boot: self.me.boot,
            incarnation: self.incarnation,
            seen,
            leaving: self.leaving.is_some(),
            fresh: self.takes_work(now),
            table: self.confirmation.table,
            rev: self.rev(),
            age: self.confirmation.age(now),
            load: self.load,
        }
    }

    /// Recomputes the neighbours.
    pub(crate) fn refresh(&mut self, now: Time) {
        let mut names: Vec<_> = self
            .peers
            .iter()
            .filter(|p| p.state != PeerState::Down)
            .map(|p| p.name.clone())
            .collect();
        names.push(self.me.name.clone());
        if names == self.names {
            return;
        }
        let near = neighbours(&self.me.name, &names);
        for name in near.iter().filter(|n| self.near.binary_search(n).is_err()) {
            let at = self.find(name).expect("neighbours are known peers");
            self.peers[at].due = self.peers[at].due.min(now);
        }
        self.near = near;
        self.names = names;
    }

    /// Time until the next exchange with a peer. The two ends draw different times, so that mostly
    /// one of them asks.
    fn pause(&self, name: &Name, now: Time) -> Duration {
        let seed = format!("{} {name} {now}", self.me.name);
        let draw = u32::from(Digest::of(seed.as_bytes()).0[0]);
        self.config.interval + self.config.interval * draw / 1024
    }

    pub(crate) fn find(&self, name: &Name) -> Result<usize, usize> {
        self.peers.binary_search_by(|p| p.name.cmp(name))
    }
}
