//! Replicas that end when they have to refuse too many requests within a second.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use fleet::Replica;
use ident::Time;

use crate::{Peers, Permit};

/// Span in which a replica counts its refusals.
const WINDOW: Duration = Duration::from_secs(1);
/// Share of the refusals that a replica bears which its senders may cause together. The rest is for
/// instances that don't know yet that it is full.
const SAFE_SHARE: f64 = 0.8;
/// Most senders of a full replica.
const MAX_SENDERS: usize = 16;
/// How long after its last refusal a replica is taken for full.
const FULL_TTL: Duration = Duration::from_secs(1);
/// The time by which each instance makes this longer, so that it stays longer than the interval
/// between two datagrams of a peer.
const FULL_STEP: Duration = Duration::from_millis(50);
/// Time after that between one instance and the next that comes back, for one refusal per second that
/// the replica bears.
const RETURN_STEP: Duration = Duration::from_secs(1);
/// A replica refuses a request within this time, or does not.
const REFUSAL_DELAY: Duration = Duration::from_millis(100);
/// Times of a refusal that differ by less are of the same one.
const SAME_REFUSAL: Duration = Duration::from_millis(20);
/// Pause after a refusal before a sender has one more request at the replica than before.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How long what a replica said of itself is kept without news.
const NAMED_TTL: Duration = Duration::from_secs(60);

/// What an instance tells its peers of a replica that bears few refusals.
#[derive(Debug, Clone, PartialEq)]
pub struct RefusalReport {
    /// Identifier of the replica.
    pub replica: Arc<str>,
    /// [`Replica::started_ms`] of the incarnation.
    pub started_ms: u64,
    /// Refusals per second that the replica bears.
    pub max: f64,
    /// Time since an answer of the replica to the instance said so.
    pub age: Duration,
    /// Time since the replica last refused a request of the instance for want of room.
    pub refused: Duration,
}

/// A replica that said how many refusals it bears.
#[derive(Debug, Clone)]
struct Entry {
    replica: Arc<str>,
    started_ms: u64,
    /// Refusals per second that it bears; `None` after an answer that names none.
    max: Option<f64>,
    /// When an answer said so.
    observed: Time,
    /// Position of this instance in the rendezvous order for the replica.
    rank: usize,
    /// The last refusal for want of room, of any instance, while the replica is full.
    refused: Option<Time>,
    /// The last one of this instance.
    own: Option<Time>,
    /// Its refusals within [`WINDOW`].
    recent: VecDeque<Time>,
    /// Refusals of all instances within [`WINDOW`], as far as is known.
    known: VecDeque<Time>,
    /// When requests were sent that may still be refused.
    open: VecDeque<Time>,
    /// Most requests that this instance has at the replica while it is full.
    max_requests: u32,
    /// When `max_requests` may grow.
    next_probe: Time,
}

/// How many refusals replicas bear, and this instance's share of them.
///
/// As long as such a replica has room, all instances send to it, each only as many requests at once
/// as it may see refused. Once it is full few instances do, its senders: the first in the rendezvous
/// order for the replica. All together they cause fewer refusals than it bears.
///
/// Invariant: `entries` is sorted by replica. A replica that never named a number has no entry.
#[derive(Debug, Default)]
pub struct Refusals {
    entries: Vec<Entry>,
    peers: Peers,
}

/// Number of senders of a full replica that bears `max` refusals per second.
fn sender_count(max: f64, registered: usize) -> usize {
    let count = (max * SAFE_SHARE).clamp(1.0, MAX_SENDERS as f64) as usize;
    count.min(registered.max(1))
}

/// Number of known refusals within [`WINDOW`] from which a replica that bears `max` is taken for full. A
/// single one may come where there is room, since instances don't know each other's requests exactly.
fn full_refusals(max: f64) -> usize {
    (max / 2.0).clamp(1.0, 2.0) as usize
}

fn full_ttl(registered: usize) -> Duration {
    FULL_TTL + FULL_STEP * registered as u32
}

impl Entry {
    fn new(replica: &Arc<str>, started_ms: u64, rank: usize, now: Time) -> Self {
        Self {
            replica: replica.clone(),
            started_ms,
            max: None,
            observed: now,
            rank,
            refused: None,
            own: None,
            recent: VecDeque::new(),
            known: VecDeque::new(),
            open: VecDeque::new(),
            max_requests: u32::MAX,
            next_probe: now,
        }
    }

    /// Refusals per second that the replica bears, as far as is known.
    fn named(&self, now: Time) -> Option<f64> {
        self.max.filter(|_| now.since(self.observed) < NAMED_TTL)
    }

    /// Drops what happened too long ago to matter.
    fn forget(&mut self, now: Time) {
        while self.recent.front().is_some_and(|at| at.after(WINDOW).passed(now)) {
            self.recent.pop_front();
        }
        self.known.retain(|at| !at.after(WINDOW).passed(now));
        while self.open.front().is_some_and(|at| at.after(REFUSAL_DELAY).passed(now)) {
            self.open.pop_front();
        }
    }

    fn is_full(&self, registered: usize, now: Time) -> bool {
        self.refused.is_some_and(|at| !at.after(full_ttl(registered)).passed(now))
    }

    /// Records a refusal of any instance; `requests` of this one are at the replica. Returns whether
    /// the replica was not known to be full.
    fn fill(&mut self, at: Time, requests: u32, registered: usize, now: Time) -> bool {
        self.forget(now);
        // A report may come twice.
        let is_known = |known: &Time| at.since(*known).max(known.since(at)) < SAME_REFUSAL;
        if !at.after(WINDOW).passed(now) && !self.known.iter().any(is_known) {
            self.known.push_back(at);
        }
        let was_full = self.is_full(registered, now);
        if was_full || self.known.len() >= self.max.map_or(1, full_refusals) {
            self.refused = self.refused.max(Some(at));
        }
        if !was_full && self.is_full(registered, now) {
            self.max_requests = requests.max(1);
            self.next_probe = now.after(REFUSAL_DELAY);
        }
        !was_full
    }

    fn permit(&mut self, max: f64, requests: u32, registered: usize, now: Time) -> Permit {
        self.forget(now);
        let senders = sender_count(max, registered);
        let is_sender = self.rank < senders;
        let share =
            if is_sender { (max * SAFE_SHARE / senders as f64).max(1.0) as usize } else { 1 };
        if let Some(refused) = self.refused.filter(|_| !is_sender) {
            let step = RETURN_STEP.div_f64(max.max(1.0));
            let turn =
                refused.after(full_ttl(registered)).after(step * self.rank.min(registered) as u32);
            if !turn.passed(now) {
                return Permit::Elsewhere;
            }
        }
        if let Some(at) = self.open.front().filter(|_| self.recent.len() + self.open.len() >= share)
        {
            return Permit::At(at.after(REFUSAL_DELAY));
        }
        let is_full = self.is_full(registered, now);
        let until = match self.recent.front() {
            Some(at) if self.recent.len() >= share => at.after(WINDOW),
            _ if is_full && requests >= self.max_requests => self.next_probe,
            _ => return Permit::Now,
        };
        if until.passed(now) {
            return Permit::Now;
        }
        if is_full && is_sender {
            // Its senders would send more: it stays full.
            (self.refused, self.own) = (Some(now), Some(now));
        }
        Permit::At(until)
    }
}

impl Refusals {
    /// Sets the instances among which refusals are shared.
    pub fn set_peers(&mut self, peers: Peers) {
        if peers != self.peers {
            self.peers = peers;
            for entry in &mut self.entries {
                entry.rank = self.peers.rank(&entry.replica);
            }
        }
    }

    /// Records how many refusals per second a replica bears, as its answer to this instance says;
    /// `None` if it says nothing. Returns whether that differs from what it said before.
    pub fn observe(&mut self, replica: &Replica, max: Option<f64>, now: Time) -> bool {
        if max.is_none() && self.find(&replica.id).is_err() {
            return false;
        }
        let entry = self.ensure(&replica.id, replica.started_ms, now);
        entry.open.pop_front();
        entry.observed = now;
        std::mem::replace(&mut entry.max, max) != max
    }

    /// Records that a replica refused a request of this instance for want of room; `requests` others
    /// are there. Returns whether peers should hear of it at once.
    pub fn refused(&mut self, replica: &str, requests: u32, now: Time) -> bool {
        let registered = self.peers.registered;
        let Ok(at) = self.find(replica) else { return false };
        let entry = &mut self.entries[at];
        entry.recent.push_back(now);
        entry.own = Some(now);
        let is_news = entry.fill(now, requests, registered, now);
        entry.max_requests = entry.max_requests.min(requests.max(1));
        entry.next_probe = now.after(PROBE_INTERVAL);
        is_news
    }

    /// Merges what a peer reports; `requests` of this instance are at the replica.
    pub fn merge(&mut self, report: &RefusalReport, requests: u32, now: Time) {
        let observed = now.before(report.age);
        let known = self.find(&report.replica).ok().map(|at| &self.entries[at]);
        if known.is_some_and(|e| e.started_ms > report.started_ms) {
            return;
        }
        let registered = self.peers.registered;
        let entry = self.ensure(&report.replica, report.started_ms, now);
        if entry.max.is_none() || entry.observed < observed {
            (entry.max, entry.observed) = (Some(report.max), observed);
        }
        entry.fill(now.before(report.refused), requests, registered, now);
    }

    /// What this instance saw itself of replicas that are full, the last refusal first.
    pub fn report(&self, now: Time) -> Vec<RefusalReport> {
        let report = |e: &Entry| {
            let (max, refused) = (e.named(now)?, now.since(e.own?));
            let (replica, started_ms) = (e.replica.clone(), e.started_ms);
            let age = now.since(e.observed);
            (refused < full_ttl(self.peers.registered)).then_some(RefusalReport {
                replica,
                started_ms,
                max,
                age,
                refused,
            })
        };
        let mut out: Vec<RefusalReport> = self.entries.iter().filter_map(report).collect();
        out.sort_by_key(|r| r.refused);
        out
    }

    /// The replicas that bear few refusals and to which this instance may not send now, sorted by
    /// replica. `requests` returns how many of its requests are at a replica.
    pub fn permits<F>(&mut self, requests: F, now: Time) -> Vec<(Arc<str>, Permit)>
    where
        F: Fn(&str) -> u32,
    {
        let registered = self.peers.registered;
        let permit = |e: &mut Entry| {
            let max = e.named(now)?;
            let permit = e.permit(max, requests(&e.replica), registered, now);
            (permit != Permit::Now).then(|| (e.replica.clone(), permit))
        };
        self.entries.iter_mut().filter_map(permit).collect()
    }

    /// Takes the permit for one request; `requests` others of this instance are at the replica.
    /// Returns false if there is none.
    pub fn take(&mut self, replica: &str, requests: u32, now: Time) -> bool {
        let Ok(at) = self.find(replica) else { return true };
        let entry = &mut self.entries[at];
        let Some(max) = entry.named(now) else { return true };
        if entry.permit(max, requests, self.peers.registered, now) != Permit::Now {
            return false;
        }
        entry.open.push_back(now);
        if requests >= entry.max_requests {
            entry.max_requests = requests + 1;
            entry.next_probe = now.after(REFUSAL_DELAY);
        }
        true
    }

    /// Whether no replica said how many refusals it bears.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of replicas that bear few refusals.
    pub fn count(&self, now: Time) -> usize {
        self.entries.iter().filter(|e| e.named(now).is_some()).count()
    }

    /// Drops the entries of replicas for which `known` returns false. It gets the identifier and
    /// [`Replica::started_ms`].
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(&str, u64) -> bool,
    {
        self.entries.retain(|e| known(&e.replica, e.started_ms));
    }

    /// The entry of an incarnation. Another incarnation's is replaced.
    fn ensure(&mut self, replica: &Arc<str>, started_ms: u64, now: Time) -> &mut Entry {
        let new = || Entry::new(replica, started_ms, self.peers.rank(replica), now);
        let at = match self.find(replica) {
            Ok(at) if self.entries[at].started_ms == started_ms => at,
            Ok(at) => {
                self.entries[at] = new();
                at
            }
            Err(at) => {
                self.entries.insert(at, new());
                at
            }
        };
        &mut self.entries[at]
    }

    fn find(&self, replica: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| (*e.replica).cmp(replica))
    }
}
