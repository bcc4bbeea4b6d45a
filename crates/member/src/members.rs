//! The instances that this one knows, and how messages change what it knows.

use std::{net::SocketAddr, time::Duration};

use ident::{Digest, Name, Rev, Time};

use crate::{
    Config, ListedInstance, LocalInstance, MIN_PING_INTERVAL, Peer, PeerState, PeerUpdate, Ping,
    Pong, Status, fresh::Confirmation, queue::Queue, ring::neighbours,
};

/// An action for the caller, or a change that it may record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a ping. Report the pong with [`Members::on_pong`], or a timeout with
    /// [`Members::on_ping_timeout`].
    Ping {
        /// Name of the receiver.
        to: Name,
        /// Address of the receiver's peer socket.
        addr: SocketAddr,
        /// The ping to send.
        ping: Ping,
    },
    /// Ask a peer for the configuration changes after a revision.
    FetchChanges {
        /// Name of the peer to ask.
        from: Name,
        /// Address of its peer socket.
        addr: SocketAddr,
        /// Revision that this instance applies.
        after: Rev,
    },
    /// The state of a peer changed; the caller may record it as an event.
    Changed {
        /// Name of the peer.
        peer: Name,
        /// New state of the peer.
        state: PeerState,
    },
    /// A peer is no longer known; connections to it can be closed.
    Forget {
        /// Name of the peer.
        peer: Name,
    },
}

/// The instances that this one knows, and its own state.
#[derive(Debug)]
pub struct Members {
    pub(crate) local: LocalInstance,
    pub(crate) config: Config,
    /// Incarnation of this instance. Invariant: never decreases.
    pub(crate) incarnation: u64,
    /// The incarnation that announced the leave; `None` while this instance is not leaving.
    pub(crate) leave_incarnation: Option<u64>,
    /// All other known instances. Invariant: sorted by name.
    pub(crate) peers: Vec<Peer>,
    /// Whether a peer went down or came back since `neighbours` was computed.
    pub(crate) neighbours_changed: bool,
    /// The names from which `neighbours` was computed.
    names: Vec<Name>,
    /// Names of the peers that this instance pings. Invariant: sorted.
    pub(crate) neighbours: Vec<Name>,
    /// Updates to be sent with the next messages.
    pub(crate) queue: Queue,
    /// Actions for the caller since the last call.
    pub(crate) actions: Vec<Action>,
    pub(crate) confirmation: Confirmation,
    /// Utilisation of this instance in thousandths.
    pub(crate) load: u16,
    /// When the last answer of this instance expires that named the instance itself.
    pub(crate) named_until: Time,
    /// When every address answer of peers that names this instance has expired; `None` until every
    /// neighbour has acknowledged the leave.
    pub(crate) answers_expire: Option<Time>,
    /// When the next peer that is down is pinged.
    pub(crate) next_probe: Time,
    /// No peer is asked for configuration changes before this point.
    next_fetch: Time,
    /// The last revision for which neighbours were pinged early.
    pub(crate) announced_rev: Rev,
}

impl Members {
    /// Creates a view that knows only this instance.
    pub fn new(local: LocalInstance, config: Config) -> Self {
        Self {
            incarnation: local.started.0.max(1),
            leave_incarnation: None,
            peers: Vec::new(),
            neighbours_changed: false,
            names: Vec::new(),
            neighbours: Vec::new(),
            queue: Queue::default(),
            actions: Vec::new(),
            confirmation: Confirmation::default(),
            load: 0,
            named_until: Time::default(),
            answers_expire: None,
            next_probe: Time::default(),
            next_fetch: Time::default(),
            announced_rev: Rev::default(),
            local,
            config,
        }
    }

    /// Name and addresses of this instance.
    pub fn local(&self) -> &LocalInstance {
        &self.local
    }

    /// All known peers, sorted by name.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Names of the peers that this instance pings. Sorted.
    pub fn neighbours(&self) -> &[Name] {
        &self.neighbours
    }

    /// Sets the utilisation of this instance in thousandths, which its messages carry.
    pub fn set_load(&mut self, load: u16) {
        self.load = load;
    }

    /// Applies the platform's instance list. A peer that is missing from it stays known until it is
    /// down as well.
    pub fn sync_list(&mut self, entries: &[ListedInstance], now: Time) {
        for peer in &mut self.peers {
            peer.listed = false;
        }
        for entry in entries {
            match self.find(&entry.name) {
                _ if entry.name == self.local.name => {}
                Ok(at) => self.copy_listed_fields(at, entry, now),
                Err(at) => self.peers.insert(at, Peer::new(entry, now)),
            }
        }
        self.refresh(now);
    }

    /// Copies the fields of a peer from its entry in the platform's list.
    fn copy_listed_fields(&mut self, at: usize, entry: &ListedInstance, now: Time) {
        let peer = &mut self.peers[at];
        if (peer.addr, peer.peer_addr) != (entry.addr, entry.peer_addr) {
            peer.next_ping = now;
        }
        peer.zone = entry.zone.clone();
        peer.addr = entry.addr;
        peer.peer_addr = entry.peer_addr;
        peer.listed = true;
        peer.leaving = entry.leaving;
    }

    /// Handles a ping and returns the pong to send.
    ///
    /// The ping of a process that has not yet answered a ping of this instance may be a replay. So
    /// it is answered, the sender is pinged, and its status is used only once it has answered.
    pub fn on_ping(&mut self, from: &Name, ping: Ping, now: Time) -> Pong {
        if let Ok(at) = self.find(from) {
            let peer = &mut self.peers[at];
            if peer.boot == Some(ping.status.boot) {
                self.apply_message(at, ping.status, &ping.updates, now);
            } else {
                peer.ping_once = true;
            }
        }
        let (status, updates) = self.message(from, now);
        Pong { status, updates }
    }

    /// Handles the pong to the last ping that was sent to `from`.
    pub fn on_pong(&mut self, from: &Name, pong: Pong, now: Time) -> Vec<Action> {
        let Ok(at) = self.find(from) else {
            return Vec::new();
        };
        let peer = &mut self.peers[at];
        let Some(sent) = peer.unanswered.take() else {
            return Vec::new();
        };
        peer.misses = 0;
        if peer.boot != Some(pong.status.boot) {
            peer.boot = Some(pong.status.boot);
            peer.status = None;
            self.requeue_states();
        }
        self.apply_message(at, pong.status, &pong.updates, now);
        self.confirm(&pong.status, sent);
        std::mem::take(&mut self.actions)
    }

    /// Applies a message from the process of a peer that has answered a ping.
    fn apply_message(&mut self, at: usize, status: Status, updates: &[PeerUpdate], now: Time) {
        let due = now.after(self.ping_delay(&self.peers[at].name, now));
        if status.table_reachable {
            self.confirm_at_outage_end(now);
        }
        let peer = &mut self.peers[at];
        peer.last_seen = now;
        peer.next_ping = due;
        if peer.status.is_none_or(|s| s.incarnation <= status.incarnation) {
            peer.status = Some(status);
            let state = if status.leaving { PeerState::Leaving } else { PeerState::Live };
            let name = peer.name.clone();
            self.apply_update(&PeerUpdate { name, incarnation: status.incarnation, state }, now);
        }
        for update in updates {
            self.apply_update(update, now);
        }
        self.fetch(at, status.rev, now);
        let peer = &mut self.peers[at];
        peer.ping_once |= peer.needs_update();
        self.check_leave_acknowledged(now);
    }

    /// Asks a peer for the configuration changes that this instance lacks, unless a peer was asked
    /// less than [`MIN_PING_INTERVAL`] ago.
    fn fetch(&mut self, at: usize, rev: Rev, now: Time) {
        if rev <= self.rev() || !self.next_fetch.passed(now) {
            return;
        }
        self.next_fetch = now.after(MIN_PING_INTERVAL);
        let (from, addr) = (self.peers[at].name.clone(), self.peers[at].peer_addr);
        self.actions.push(Action::FetchChanges { from, addr, after: self.rev() });
    }

    /// Applies an update, which the instance itself or another one sent. Older updates are ignored.
    fn apply_update(&mut self, update: &PeerUpdate, now: Time) {
        if update.name == self.local.name {
            self.refute(update, now);
            return;
        }
        let Ok(at) = self.find(&update.name) else {
            return;
        };
        let peer = &self.peers[at];
        let known = (peer.incarnation, peer.state.rank());
        if (update.incarnation, update.state.rank()) <= known {
            self.correct_older(at, update);
            return;
        }
        let expected = peer.incarnation == 0 && peer.state == update.state;
        self.peers[at].incarnation = update.incarnation;
        if expected {
            return;
        }
        self.set_state(at, update.state, now);
    }

    /// Queues the known state of a peer if another instance still spreads an older, worse state.
    fn correct_older(&mut self, at: usize, old: &PeerUpdate) {
        let peer = &self.peers[at];
        if old.incarnation < peer.incarnation && old.state.rank() > peer.state.rank() {
            let (name, incarnation) = (peer.name.clone(), peer.incarnation);
            self.queue.push_if_absent(PeerUpdate { name, incarnation, state: peer.state });
        }
    }

    /// Refutes a wrong update about this instance by announcing a higher incarnation.
    fn refute(&mut self, update: &PeerUpdate, now: Time) {
        let own = self.own_state();
        if (update.incarnation, update.state.rank()) <= (self.incarnation, own.rank()) {
            return;
        }
        self.incarnation = update.incarnation + 1;
        self.announce(now);
    }

    /// Queues the state of this instance for all peers.
    pub(crate) fn announce(&mut self, now: Time) {
        let (name, state) = (self.local.name.clone(), self.own_state());
        self.queue.push(PeerUpdate { name, incarnation: self.incarnation, state });
        self.ping_soon(now);
    }

    /// State of this instance, as peers should see it.
    pub(crate) fn own_state(&self) -> PeerState {
        if self.leave_incarnation.is_some() { PeerState::Leaving } else { PeerState::Live }
    }

    /// Sets the state of a peer, reports a change to the caller and queues the update for peers.
    pub(crate) fn set_state(&mut self, at: usize, state: PeerState, now: Time) {
        let peer = &mut self.peers[at];
        let changed = peer.state != state;
        let liveness_changed = (peer.state == PeerState::Down) != (state == PeerState::Down);
        peer.state = state;
        peer.state_deadline = match state {
            PeerState::Suspect => now.after(self.config.suspect_timeout),
            PeerState::Down => now.after(self.config.down_ttl),
            PeerState::Live | PeerState::Leaving => Time::NEVER,
        };
        match state {
            PeerState::Suspect => peer.next_ping = now,
            PeerState::Leaving => peer.announced_leave = true,
            PeerState::Live => peer.announced_leave = false,
            PeerState::Down => {}
        }
        let (name, incarnation) = (peer.name.clone(), peer.incarnation);
        if changed {
            self.actions.push(Action::Changed { peer: name.clone(), state });
        }
        self.queue.push(PeerUpdate { name, incarnation, state });
        self.ping_soon(now);
        self.neighbours_changed |= liveness_changed;
    }

    /// Makes the pings to all neighbours due early, so that updates spread within about two
    /// seconds.
    pub(crate) fn ping_soon(&mut self, now: Time) {
        for i in 0..self.neighbours.len() {
            let at = self.find(&self.neighbours[i]).expect("neighbours are known peers");
            let peer = &mut self.peers[at];
            peer.next_ping = peer.next_ping.min(peer.last_ping.after(MIN_PING_INTERVAL).max(now));
        }
    }

    /// Queues again the state of every peer that is not live. A new process does not know these
    /// states.
    fn requeue_states(&mut self) {
        for peer in self.peers.iter().filter(|p| p.state != PeerState::Live && p.incarnation > 0) {
            let (name, incarnation) = (peer.name.clone(), peer.incarnation);
            self.queue.push(PeerUpdate { name, incarnation, state: peer.state });
        }
    }

    /// The status and updates for the next message to `to`.
    pub(crate) fn message(&mut self, to: &Name, now: Time) -> (Status, Vec<PeerUpdate>) {
        let peer = self.find(to).ok().map(|at| &self.peers[at]);
        let acknowledged = peer.and_then(|p| p.status).map_or(0, |s| s.incarnation);
        let about_receiver = peer.filter(|p| p.needs_update() && p.incarnation > 0).map(|p| {
            PeerUpdate { name: p.name.clone(), incarnation: p.incarnation, state: p.state }
        });
        // The number of messages that carry one update grows with the logarithm of the number of
        // instances.
        let limit = 3 * (self.peers.len() + 2).ilog2().max(2);
        let updates = self.queue.take(to, limit, about_receiver);
        (self.status(acknowledged, now), updates)
    }

    /// Status of this instance. `acknowledged` is the receiver's incarnation that it acknowledges.
    fn status(&self, acknowledged: u64, now: Time) -> Status {
        Status {
            boot: self.local.boot,
            incarnation: self.incarnation,
            acknowledged,
            leaving: self.leave_incarnation.is_some(),
            takes_work: self.takes_work(now),
            table_reachable: self.confirmation.table_reachable,
            rev: self.rev(),
            age_ms: self.confirmation.age(now),
            load: self.load,
        }
    }

    /// Recomputes the neighbours if the set of peers that are not down has changed.
    pub(crate) fn refresh(&mut self, now: Time) {
        let mut names: Vec<_> = self
            .peers
            .iter()
            .filter(|p| p.state != PeerState::Down)
            .map(|p| p.name.clone())
            .collect();
        names.push(self.local.name.clone());
        if names == self.names {
            return;
        }
        let neighbours = neighbours(&self.local.name, &names);
        for name in neighbours.iter().filter(|n| self.neighbours.binary_search(n).is_err()) {
            let at = self.find(name).expect("neighbours are known peers");
            self.peers[at].next_ping = self.peers[at].next_ping.min(now);
        }
        self.neighbours = neighbours;
        self.names = names;
    }

    /// Time until the next ping to a peer. The two instances get different times, so that usually
    /// only one of them pings.
    fn ping_delay(&self, name: &Name, now: Time) -> Duration {
        let seed = format!("{} {name} {now}", self.local.name);
        let draw = u32::from(Digest::of(seed.as_bytes()).0[0]);
        // `draw` is below 256, so up to a quarter of the interval is added.
        self.config.ping_interval + self.config.ping_interval * draw / 1024
    }

    /// Index of a peer, or the index to insert it at.
    pub(crate) fn find(&self, name: &Name) -> Result<usize, usize> {
        self.peers.binary_search_by(|p| p.name.cmp(name))
    }
}
