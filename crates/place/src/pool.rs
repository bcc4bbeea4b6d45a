//! The replicas of all targets, what is known of their load and health, and the choice of one.

use std::{sync::Arc, time::Duration};

use fleet::{Engine, Replica};
use ident::{Time, rank};

use crate::Room;

/// Prompt tokens that an engine reads in a ms, until it is measured otherwise.
const READ_RATE: f64 = 45.0;
/// What one more running request costs the others, in ms of delay to a first token.
const RUN_COST_MS: f64 = 1.5;
/// Cost of each request beyond an engine's slots, in ms.
const QUEUED_COST_MS: f64 = 50.0;
/// Cost of a request that waits or runs at a plain service, in ms, per full set of slots.
const SLOT_COST_MS: f64 = 100.0;
/// Cost of crossing into another zone, in ms.
const ZONE_COST_MS: f64 = 3.0;
/// Cost of leaving the replica where the context is at home, in ms, beside the transfer. 25 and 160
/// earned less on the users' bench, 300 answered less in time.
const AWAY_COST_MS: f64 = 80.0;
/// Cost of memory that would have to be taken from other requests, in ms per whole memory.
const MEMORY_COST_MS: f64 = 4000.0;
/// Share of an engine's memory that requests may need before that cost applies.
const MEMORY_FILL: f64 = 0.85;
/// Cost of weights that are no longer the newest, in ms.
const OLD_COST_MS: f64 = 150.0;
/// How long a replica that failed without an answer is left alone, doubled with each failure.
const PAUSE: Duration = Duration::from_millis(600);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// How long a replica that refused for lack of room is left alone.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// How long a peer's report of its own requests counts.
const PEER_TERM: Duration = Duration::from_millis(1500);
/// How long a replica's own report of its load counts.
const REPORT_TERM: Duration = Duration::from_millis(500);
/// Prompts below this many tokens are short: reading one delays no other request noticeably.
const SHORT_TOKENS: u64 = 2048;
/// One in this many replicas of an engine target is at home to short prompts, the others to long
/// ones. Long prompts push the parts of short ones out of a replica's memory within seconds, and
/// each piece of a long prompt that is read delays every short one beside it.
const SHORT_ONE_IN: usize = 4;
/// Cost of a short prompt among long ones, in ms.
const SHORT_AWAY_MS: f64 = 40.0;
/// Cost of a long prompt among short ones, in ms.
const LONG_AWAY_MS: f64 = 400.0;
/// Failures in a row from which on a replica counts as failing.
const FAILURES: u32 = 2;

/// What a request still asks of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens that are still to be read.
    pub reading: u64,
    /// Tokens of memory that it needs until its end.
    pub memory: u64,
    /// Requests.
    pub runs: u32,
}

impl Work {
    fn add(&mut self, other: Self) {
        self.reading += other.reading;
        self.memory += other.memory;
        self.runs += other.runs;
    }

    fn sub(&mut self, other: Self) {
        self.reading = self.reading.saturating_sub(other.reading);
        self.memory = self.memory.saturating_sub(other.memory);
        self.runs = self.runs.saturating_sub(other.runs);
    }
}

/// What a peer has under way at one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoad {
    /// The replica.
    pub replica: Arc<str>,
    /// The peer's requests there.
    pub work: Work,
}

/// How a send to a replica ended, as far as its health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It refused for lack of room, or while it loads weights.
    Full,
    /// No connection, no answer, or an answer that is none.
    Silent,
}

/// What is asked of the pool.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// The target.
    pub target: &'a str,
    /// The context whose home is preferred.
    pub context: Option<&'a str>,
    /// What the request needs, if nothing of the prompt is there.
    pub work: Work,
    /// Prompt tokens that the home most likely has.
    pub shared: u64,
    /// Model and its newest version.
    pub model: Option<(&'a str, u64)>,
    /// The oldest version that may be used.
    pub floor: u64,
    /// How crowded a replica may be.
    pub room: Room,
    /// The asking instance's zone.
    pub zone: &'a str,
    /// Replicas that this request was sent to already.
    pub tried: &'a [Arc<str>],
    /// What the target's engines can do.
    pub engine: Option<&'a Engine>,
    /// Breaks ties; any number.
    pub draw: u64,
}

/// The chosen replica.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The replica.
    pub replica: Arc<Replica>,
    /// The replica where the context is at home, where that's another one.
    pub home: Option<Arc<Replica>>,
    /// The version of the model that it has.
    pub version: Option<u64>,
    /// Expected delay of the first token, in ms.
    pub delay: f64,
    /// What all instances have under way there, as far as is known.
    pub work: Work,
    /// Requests there, by count or by its own report.
    pub requests: u32,
}

/// Why no replica was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The target has no replica that takes work.
    #[error("the target has no replica that takes work")]
    Empty,
    /// All usable replicas are more crowded than was asked for.
    #[error("all replicas are full")]
    Crowded,
    /// All replicas with the right weights were tried or are left alone for now.
    #[error("no replica is usable now")]
    Unusable {
        /// When the first of them may be tried again.
        until: Time,
    },
}

#[derive(Debug)]
struct Entry {
    replica: Arc<Replica>,
    own: Work,
    /// Running and waiting requests by its own report, and when it was read.
    reported: Option<(u32, Time)>,
    /// Failures in a row.
    failures: u32,
    /// Left alone until then.
    paused: Time,
    /// Loads weights until then, as far as is known.
    loading: Time,
    /// Weights that were learnt from the replica itself, newer than the registered ones.
    learnt: Option<(Arc<str>, u64)>,
}

/// A replica that takes work, and whether short prompts are at home there.
#[derive(Debug, Clone, Copy)]
struct Member<'e> {
    entry: &'e Entry,
    short: bool,
}

impl Ask<'_> {
    /// Whether the prompt is short.
    fn short(&self) -> bool {
        self.work.reading < SHORT_TOKENS
    }
}

impl Entry {
    fn version(&self, model: &str) -> Option<u64> {
        match &self.learnt {
            Some((m, version)) if &**m == model => Some(*version),
            _ => self.replica.version(model),
        }
    }
}

#[derive(Debug)]
struct Peer {
    name: Arc<str>,
    /// Sorted by replica.
    loads: Vec<PeerLoad>,
    read: Time,
}

/// The home of the context within each version of the model: parts of one version are of no use to
/// another.
fn homes<'e>(members: &[Member<'e>], ask: &Ask<'_>, now: Time) -> Vec<(Option<u64>, &'e Entry)> {
    let Some(context) = ask.context else { return Vec::new() };
    let mut out: Vec<(Option<u64>, &'e Entry)> = Vec::new();
    let order = rank(context.as_bytes(), members, |m| &m.entry.replica.id);
    // One that loads weights loses what it has.
    let keeps = |m: &&Member<'e>| m.entry.failures < FAILURES && m.entry.loading.passed(now);
    let healthy = order.into_iter().filter(keeps);
    let (own, other): (Vec<&Member<'e>>, Vec<&Member<'e>>) =
        healthy.partition(|m| m.short == ask.short());
    for entry in own.into_iter().chain(other).map(|m| m.entry) {
        let version = ask.model.and_then(|(model, _)| entry.version(model));
        if out.iter().all(|(v, _)| *v != version) {
            out.push((version, entry));
        }
    }
    out
}

/// What an instance knows of the replicas.
///
/// Invariant: `entries` is sorted by id, and own work there belongs to requests under way.
#[derive(Debug, Default)]
pub struct Pool {
    entries: Vec<Entry>,
    /// Sorted by name.
    peers: Vec<Peer>,
}

impl Pool {
    /// Takes in the registered replicas, sorted by id. Load and health of those that stay is kept.
    pub fn sync(&mut self, replicas: &[Arc<Replica>]) {
        let mut old = std::mem::take(&mut self.entries).into_iter().peekable();
        for replica in replicas {
            while old.next_if(|e| e.replica.id < replica.id).is_some() {}
            let kept = old.next_if(|e| e.replica.id == replica.id);
            self.entries.push(match kept {
                Some(entry) if entry.replica.born == replica.born => {
                    let stale = entry.replica.models != replica.models;
                    let learnt = entry.learnt.filter(|_| !stale);
                    Entry { replica: replica.clone(), learnt, ..entry }
                }
                _ => Entry {
                    replica: replica.clone(),
                    own: Work::default(),
                    reported: None,
                    failures: 0,
                    paused: Time(0),
                    loading: Time(0),
                    learnt: None,
                },
            });
        }
    }

    /// Takes in what a peer has under way, sorted by replica.
    pub fn peer(&mut self, name: &Arc<str>, loads: Vec<PeerLoad>, now: Time) {
        let peer = Peer { name: name.clone(), loads, read: now };
        match self.peers.binary_search_by(|p| p.name.cmp(name)) {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
    }

    /// What this instance has under way, sorted by replica.
    pub fn loads(&self) -> Vec<PeerLoad> {
        let busy = self.entries.iter().filter(|e| e.own != Work::default());
        busy.map(|e| PeerLoad { replica: e.replica.id.clone(), work: e.own }).collect()
    }

    /// Counts a request that is sent to a replica.
    pub fn begin(&mut self, id: &str, work: Work) {
        if let Some(entry) = self.find(id) {
            entry.own.add(work);
        }
    }

    /// Takes back part of what [`Pool::begin`] counted.
    pub fn release(&mut self, id: &str, work: Work) {
        if let Some(entry) = self.find(id) {
            entry.own.sub(work);
        }
    }

    /// Notes how a send ended.
    pub fn outcome(&mut self, id: &str, outcome: Outcome, now: Time) {
        let Some(entry) = self.find(id) else { return };
        match outcome {
            Outcome::Answered => entry.failures = 0,
            Outcome::Failed => {}
            Outcome::Full => entry.paused = entry.paused.max(now.after(FULL_PAUSE)),
            Outcome::Silent => {
                entry.failures += 1;
                if entry.failures >= FAILURES {
                    let doubled = PAUSE * (1 << (entry.failures - FAILURES).min(4));
                    entry.paused = now.after(doubled.min(MAX_PAUSE));
                }
            }
        }
    }

    /// Leaves a replica alone at once: no connection to it could be made.
    pub fn unreachable(&mut self, id: &str, now: Time) {
        if let Some(entry) = self.find(id) {
            entry.failures = entry.failures.max(FAILURES - 1);
        }
        self.outcome(id, Outcome::Silent, now);
    }

    /// Leaves a replica alone until a point in time, whatever its health: it loads weights.
    pub fn avoid(&mut self, id: &str, until: Time) {
        if let Some(entry) = self.find(id) {
            entry.paused = entry.paused.max(until);
            entry.loading = entry.loading.max(until);
        }
    }

    /// Takes in a replica's own report of running and waiting requests.
    pub fn reported(&mut self, id: &str, requests: u32, now: Time) {
        if let Some(entry) = self.find(id) {
            entry.reported = Some((requests, now));
        }
    }

    /// Notes the weights that a replica itself says it has.
    pub fn learnt(&mut self, id: &str, model: &Arc<str>, version: u64) {
        if let Some(entry) = self.find(id) {
            entry.learnt = Some((model.clone(), version));
        }
    }

    /// The version of `model` that a replica has, as far as is known.
    pub fn version(&self, id: &str, model: &str) -> Option<u64> {
        let at = self.entries.binary_search_by(|e| (*e.replica.id).cmp(id)).ok()?;
        self.entries[at].version(model)
    }

    /// Chooses the replica with the least expected delay.
    pub fn choose(&self, ask: &Ask<'_>, now: Time) -> Result<Choice, Denied> {
        let members = self.members(ask);
        if members.is_empty() {
            return Err(Denied::Empty);
        }
        let homes = homes(&members, ask, now);
        let home_of = |entry: &Entry| {
            let version = ask.model.and_then(|(model, _)| entry.version(model));
            homes.iter().find(|(v, _)| *v == version).map(|(_, home)| *home)
        };
        let usable = members.iter().filter(|m| self.usable(m.entry, ask, now));
        let roomy = usable.clone().filter(|m| self.has_room(m, ask, now));
        let crowded = usable.count() > 0;
        let best = roomy
            .map(|m| (self.cost(m, home_of(m.entry), ask, now), m.entry))
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        let Some((delay, entry)) = best else {
            if crowded {
                return Err(Denied::Crowded);
            }
            let paused = members.iter().map(|m| m.entry.paused).filter(|t| !t.passed(now)).min();
            return Err(Denied::Unusable { until: paused.unwrap_or(now.after(FULL_PAUSE)) });
        };
        let version = ask.model.and_then(|(model, _)| entry.version(model));
        let other = home_of(entry).filter(|h| h.replica.id != entry.replica.id);
        let home = other.map(|h| h.replica.clone());
        let (work, requests) = (self.work(entry, now), self.requests(entry, now));
        Ok(Choice { replica: entry.replica.clone(), home, version, delay, work, requests })
    }

    /// The replicas that take work. Which of an engine target's are at home to short prompts
    /// follows from their ids alone, so that all instances agree.
    fn members(&self, ask: &Ask<'_>) -> Vec<Member<'_>> {
        let works = |e: &&Entry| &*e.replica.target == ask.target && !e.replica.leaving;
        let entries: Vec<&Entry> = self.entries.iter().filter(works).collect();
        if ask.engine.is_none() {
            return entries.into_iter().map(|entry| Member { entry, short: false }).collect();
        }
        let shorts = entries.len() / SHORT_ONE_IN;
        let order = rank(ask.target.as_bytes(), &entries, |e| &e.replica.id);
        let short: Vec<&str> = order.iter().take(shorts).map(|e| &*e.replica.id).collect();
        let is_short = |e: &Entry| short.contains(&&*e.replica.id);
        entries.into_iter().map(|entry| Member { entry, short: is_short(entry) }).collect()
    }

    /// Whether the replica has the room that is asked for.
    fn has_room(&self, member: &Member<'_>, ask: &Ask<'_>, now: Time) -> bool {
        let (Some(engine), false) = (ask.engine, ask.room == Room::Any || ask.short()) else {
            return true;
        };
        let taken = self.work(member.entry, now).memory;
        let own = ask.room == Room::Tight || !member.short;
        own && ask.room.fits(taken, ask.work.memory, engine.capacity)
    }

    fn usable(&self, entry: &Entry, ask: &Ask<'_>, now: Time) -> bool {
        let tried = ask.tried.contains(&entry.replica.id);
        let version =
            ask.model.is_none_or(|(model, _)| entry.version(model).is_some_and(|v| v >= ask.floor));
        !tried && version && entry.paused.passed(now)
    }

    /// Expected delay of the first token, or of the answer, in ms.
    fn cost(&self, member: &Member<'_>, home: Option<&Entry>, ask: &Ask<'_>, now: Time) -> f64 {
        let entry = member.entry;
        let work = self.work(entry, now);
        let zone = if &*entry.replica.zone == ask.zone { 0.0 } else { ZONE_COST_MS };
        let noise = (ask.draw.wrapping_mul(entry.replica.addr.port().into()) % 64) as f64 / 64.0;
        let Some(engine) = ask.engine else {
            let load = f64::from(self.requests(entry, now) + 1);
            return load / f64::from(entry.replica.slots.max(1)) * SLOT_COST_MS + zone + noise;
        };
        let is_home = home.is_some_and(|h| h.replica.id == entry.replica.id);
        let away = if is_home || ask.shared == 0 { 0.0 } else { AWAY_COST_MS };
        let moved = ask.shared as f64 * engine.bytes as f64 * 8.0 / (engine.link * 1000.0);
        let moved = if is_home { 0.0 } else { moved };
        let own = ask.work.reading.saturating_sub(ask.shared);
        let read = (work.reading + own) as f64 / READ_RATE;
        let capacity = engine.capacity.max(1) as f64;
        let over = ((work.memory + ask.work.memory) as f64 / capacity - MEMORY_FILL).max(0.0);
        let old = match ask.model {
            Some((model, newest)) if entry.version(model) < Some(newest) => OLD_COST_MS,
            _ => 0.0,
        };
        let runs = f64::from(self.requests(entry, now));
        let queued = (runs + 1.0 - f64::from(engine.slots)).max(0.0) * QUEUED_COST_MS;
        let foreign = match (ask.short(), member.short) {
            (true, false) => SHORT_AWAY_MS,
            (false, true) => LONG_AWAY_MS,
            _ => 0.0,
        };
        let waits = read + moved + queued + runs * RUN_COST_MS + over * MEMORY_COST_MS;
        waits + away + zone + noise + old + foreign
    }

    /// What all instances have under way at a replica, as far as is known.
    fn work(&self, entry: &Entry, now: Time) -> Work {
        let mut out = entry.own;
        let fresh = self.peers.iter().filter(|p| now.since(p.read) < PEER_TERM);
        for peer in fresh {
            let found = peer.loads.binary_search_by(|l| l.replica.cmp(&entry.replica.id));
            if let Ok(at) = found {
                out.add(peer.loads[at].work);
            }
        }
        out
    }

    /// Requests at a replica: by the instances' own counts or its report, whichever is more.
    fn requests(&self, entry: &Entry, now: Time) -> u32 {
        let counted = self.work(entry, now).runs;
        let recent = |(_, read): &(u32, Time)| now.since(*read) < REPORT_TERM;
        entry.reported.filter(recent).map_or(counted, |(n, _)| n.max(counted))
    }

    fn find(&mut self, id: &str) -> Option<&mut Entry> {
        let at = self.entries.binary_search_by(|e| (*e.replica.id).cmp(id)).ok()?;
        Some(&mut self.entries[at])
    }
}
