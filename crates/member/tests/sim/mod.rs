//! Simulation of many instances in one thread.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{collections::BTreeMap, time::Duration};

use ident::{Boot, Name, Rev, Time};
use member::{
    Action, Config, ListedInstance, LocalInstance, Members, Peer, PeerState, PeerUpdate, Ping,
    Pong, Status,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const TICK: Duration = Duration::from_millis(100);
const START_MS: u64 = 1_700_000_000_000;
const PING_TIMEOUT: Duration = Duration::from_secs(1);
const LIST_LAG_MS: u64 = 5_000;
const READ_INTERVAL_MS: u64 = 4_000;

/// Size of a message on the wire, in bytes.
pub type Size = fn(&Status, &[PeerUpdate]) -> u64;

pub struct Node {
    pub members: Members,
    pub alive: bool,
    pub table: bool,
    pub bytes: u64,
    ping_deadlines: BTreeMap<Name, Time>,
    read: Time,
}

enum Message {
    Ping(usize, usize, Ping, Time),
    Pong(usize, usize, Pong, Time),
    Fetch(usize, usize),
}

pub struct Sim {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub rng: SmallRng,
    pub rev: Rev,
    /// Whether messages from the first to the second instance are lost.
    pub cut: fn(usize, usize) -> bool,
    pub size: Size,
    pub zones: usize,
    /// Whether requests for configuration changes are answered.
    pub fetch: bool,
    pub changes: Vec<(Time, usize, Name, PeerState)>,
    list: Vec<(u64, Vec<ListedInstance>)>,
    messages: Vec<Message>,
}

pub fn name(i: usize) -> Name {
    Name::new(&format!("entry-{i:03}")).unwrap()
}

fn index(name: &Name) -> usize {
    name.as_str()[6..].parse().unwrap()
}

pub fn entry(i: usize, zones: usize) -> ListedInstance {
    let port = 1000 + u16::try_from(i).unwrap();
    let at = |host: u8| ([10, 0, 0, host], port).into();
    let zone = Name::new(&format!("zone-{}", i % zones)).unwrap();
    ListedInstance { name: name(i), zone, addr: at(1), peer_addr: at(2), leaving: false }
}

fn local_instance(i: usize, zones: usize, now: Time, boot: u128) -> LocalInstance {
    let ListedInstance { name, zone, addr, peer_addr, .. } = entry(i, zones);
    LocalInstance { name, zone, addr, peer_addr, boot: Boot(boot), started: now }
}

impl Sim {
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let now = Time(START_MS);
        let mut sim = Self {
            now,
            nodes: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            rev: Rev(1),
            cut: |_, _| false,
            size: |_, _| 0,
            zones,
            fetch: true,
            changes: Vec::new(),
            list: vec![(0, (0..count).map(|i| entry(i, zones)).collect())],
            messages: Vec::new(),
        };
        for i in 0..count {
            let node = sim.boot(i);
            sim.nodes.push(node);
        }
        sim
    }

    fn boot(&mut self, i: usize) -> Node {
        let local = local_instance(i, self.zones, self.now, self.rng.random());
        let mut members = Members::new(local, Config::default());
        members.sync_list(self.shown_list(), self.now);
        let read = Time(self.now.0 + self.rng.random_range(0..1000));
        Node { members, alive: true, table: true, bytes: 0, ping_deadlines: BTreeMap::new(), read }
    }

    /// The list as the platform shows it now, after its lag.
    fn shown_list(&self) -> &[ListedInstance] {
        let at = self.now.0 - LIST_LAG_MS;
        let shown = self.list.iter().rev().find(|(t, _)| *t <= at).unwrap_or(&self.list[0]);
        &shown.1
    }

    pub fn set_list(&mut self, entries: Vec<ListedInstance>) {
        self.list.push((self.now.0, entries));
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].alive = false;
    }

    pub fn restart(&mut self, i: usize) {
        self.nodes[i] = self.boot(i);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        while !end.passed(self.now) {
            self.step();
        }
    }

    /// Steps until `done`, at most for `limit`; returns how long it took.
    pub fn until<F>(&mut self, limit: Duration, done: F) -> Option<Duration>
    where
        F: Fn(&Self) -> bool,
    {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.step();
        }
        None
    }

    pub fn step(&mut self) {
        self.now = self.now.after(TICK);
        for message in std::mem::take(&mut self.messages) {
            self.deliver(message);
        }
        for i in 0..self.nodes.len() {
            if self.nodes[i].alive {
                self.advance(i);
            }
        }
    }

    fn advance(&mut self, i: usize) {
        let (now, draw, rev) = (self.now, self.rng.random(), self.rev);
        if self.rng.random_range(0..60) == 0 {
            let list = self.shown_list().to_vec();
            self.nodes[i].members.sync_list(&list, now);
        }
        let node = &mut self.nodes[i];
        if node.read.passed(now) {
            node.read = now.after(Duration::from_millis(READ_INTERVAL_MS));
            if node.table {
                node.members.set_rev(rev);
            }
            node.members.on_table_read(now, node.table, rev);
        }
        let late: Vec<_> = node
            .ping_deadlines
            .iter()
            .filter(|(_, t)| t.passed(now))
            .map(|(n, _)| n.clone())
            .collect();
        for peer in late {
            node.ping_deadlines.remove(&peer);
            node.members.on_ping_timeout(&peer, now);
        }
        let actions = node.members.tick(now, draw);
        self.act(i, actions);
    }

    fn act(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Ping { to, ping, .. } => {
                    let j = index(&to);
                    self.nodes[i].bytes += (self.size)(&ping.status, &ping.updates);
                    self.nodes[i].ping_deadlines.insert(to, self.now.after(PING_TIMEOUT));
                    self.messages.push(Message::Ping(i, j, ping, self.now));
                }
                Action::Changed { peer, state } => {
                    self.changes.push((self.now, i, peer, state));
                }
                Action::FetchChanges { from, .. } => {
                    self.messages.push(Message::Fetch(i, index(&from)))
                }
                Action::Forget { .. } => {}
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Ping(i, j, ping, at) => {
                if (self.cut)(i, j) || !self.nodes[j].alive {
                    return;
                }
                let node = &mut self.nodes[j];
                node.bytes += (self.size)(&ping.status, &ping.updates);
                let pong = node.members.on_ping(&name(i), ping, now);
                node.bytes += (self.size)(&pong.status, &pong.updates);
                self.messages.push(Message::Pong(j, i, pong, at));
            }
            Message::Fetch(i, j) => {
                if self.fetch && !(self.cut)(i, j) && !(self.cut)(j, i) && self.nodes[j].alive {
                    let rev = self.nodes[j].members.rev();
                    self.nodes[i].members.set_rev(rev);
                }
            }
            Message::Pong(j, i, pong, at) => {
                let deadline = at.after(PING_TIMEOUT);
                let node = &mut self.nodes[i];
                if (self.cut)(j, i)
                    || !node.alive
                    || node.ping_deadlines.get(&name(j)) != Some(&deadline)
                {
                    return;
                }
                node.ping_deadlines.remove(&name(j));
                node.bytes += (self.size)(&pong.status, &pong.updates);
                let actions = node.members.on_pong(&name(j), pong, now);
                self.act(i, actions);
            }
        }
    }

    /// Whether all running instances have the newest revision.
    pub fn up_to_date(&self) -> bool {
        self.nodes.iter().all(|n| !n.alive || n.members.rev() == self.rev)
    }

    /// The states that running instances have for instance `i`.
    pub fn states(&self, i: usize) -> Vec<PeerState> {
        let of = |n: &Node| find(n, i).map(|p| p.state);
        let others = self.nodes.iter().enumerate().filter(|(j, n)| *j != i && n.alive);
        others.filter_map(|(_, n)| of(n)).collect()
    }

    pub fn all_hold(&self, i: usize, state: PeerState) -> bool {
        self.states(i).iter().all(|s| *s == state)
    }
}

pub fn find(node: &Node, i: usize) -> Option<&Peer> {
    let (name, peers) = (name(i), node.members.peers());
    peers.binary_search_by(|p| p.name.cmp(&name)).ok().map(|at| &peers[at])
}
