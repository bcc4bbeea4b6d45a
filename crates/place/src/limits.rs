//! Limits on requests that replicas name in their answers.

use std::{sync::Arc, time::Duration};

use fleet::Replica;
use ident::{Time, rendezvous_order};

use crate::share::{Bucket, Division};

/// Most senders of a replica.
const MAX_SENDERS: usize = 16;
/// Highest position in a rendezvous order that matters; above [`MAX_SENDERS`].
const MAX_RANK: usize = 600;
/// Lowest rate at which a limited replica is sent requests. Without any, nobody would learn that the
/// limit was raised.
const MIN_RATE: f64 = 0.25;
/// How long the end of a limit is reported to peers.
const DROPPED_TTL: Duration = Duration::from_secs(60);
/// How long a limit is kept without news of it, at the first instance in the rendezvous order.
const SILENT_TTL: Duration = Duration::from_secs(60);
/// The time by which each further instance keeps it longer, so that they don't all send at once.
const SILENT_STEP: Duration = Duration::from_secs(2);

/// What an answer says of the limit of its replica.
#[derive(Debug, Clone, PartialEq)]
pub enum NamedLimit {
    /// It names none: the replica has no limit, or no longer.
    None,
    /// Requests per second that the replica takes from all instances together; at least 0.
    Rate(f64),
    /// It names something that is not a rate. A limit named before still holds.
    Malformed(Arc<str>),
}

impl NamedLimit {
    /// Parses a rate: a decimal number, at least 0.
    pub fn parse(text: &str) -> Self {
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        match text.parse::<f64>() {
            Ok(rate) if is_decimal && rate.is_finite() => Self::Rate(rate),
            _ => Self::Malformed(text.into()),
        }
    }
}

/// Whether a request may be sent to a replica that restricts what it takes. The later variant is the
/// stricter one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permit {
    /// This instance may send one request now.
    Now,
    /// It may, but the replica is cold, or was until lately: others are preferred.
    Cold,
    /// This instance may send its next request at that time.
    At(Time),
    /// Other instances send to the replica.
    Elsewhere,
}

/// The limit of a replica as an instance saw it in an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// Identifier of the replica.
    pub replica: Arc<str>,
    /// [`Replica::started_ms`] of the incarnation.
    pub started_ms: u64,
    /// Requests per second; `None` if the answer named no limit.
    pub rate: Option<f64>,
    /// Time since the answer.
    pub age: Duration,
}

/// A replica that named a limit.
#[derive(Debug, Clone)]
struct Entry {
    replica: Arc<str>,
    /// [`Replica::started_ms`] of the incarnation.
    started_ms: u64,
    /// Requests per second; `None` after an answer that names no limit.
    rate: Option<f64>,
    /// When the answer came.
    observed: Time,
    /// Whether this instance got the answer.
    own: bool,
    /// When `rate` changed last.
    changed: Time,
    /// Position of this instance in the rendezvous order for the replica.
    rank: usize,
    /// Requests that this instance may send.
    bucket: Bucket,
}

/// The instances that may send to limited replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Peers {
    /// Name of this instance.
    pub own: Arc<str>,
    /// Names of the instances that are registered and were heard lately, this one included. Sorted.
    pub alive: Vec<Arc<str>>,
    /// Number of registered instances.
    pub registered: usize,
}

/// The limits of replicas, and this instance's share of them.
///
/// A replica's limit is shared by few instances, its senders: the first in the rendezvous order for
/// the replica. Each sends at an equal share of the rate with a burst of one or two requests.
///
/// Invariant: `entries` is sorted by replica. A replica that never named a limit has no entry.
#[derive(Debug, Default)]
pub struct Limits {
    entries: Vec<Entry>,
    peers: Peers,
}

impl Peers {
    /// Position of this instance in the rendezvous order for a replica; [`MAX_RANK`] if it is not
    /// listed.
    pub(crate) fn rank(&self, replica: &str) -> usize {
        let order = rendezvous_order(replica.as_bytes(), &self.alive, |name| name);
        order.into_iter().position(|name| *name == self.own).unwrap_or(MAX_RANK)
    }
}

/// Number of senders of a replica with a limit of `rate` requests per second.
fn sender_count(rate: f64, registered: usize) -> usize {
    let count = (rate / 2.0 + 2.0).min(MAX_SENDERS as f64) as usize;
    count.min(registered.max(1))
}

/// How a limit of `rate` requests per second is divided.
fn division(rate: f64, registered: usize) -> Division {
    let senders = sender_count(rate, registered);
    Division { senders, rate: rate / senders as f64, burst: (rate / 8.0).clamp(1.0, 2.0) }
}

impl Entry {
    /// Whether the replica has a limit, as far as is known.
    fn is_limited(&self, now: Time) -> bool {
        let ttl = SILENT_TTL + SILENT_STEP * self.rank.min(MAX_RANK) as u32;
        self.rate.is_some() && now.since(self.observed) < ttl
    }

    fn permit(&mut self, registered: usize, now: Time) -> Permit {
        let rate = self.rate.unwrap_or_default().max(MIN_RATE);
        self.bucket.permit(self.rank, &division(rate, registered), now)
    }

    /// Applies an observation. Returns whether the limit changed.
    fn apply(&mut self, rate: Option<f64>, observed: Time, own: bool, now: Time) -> bool {
        let changed = self.rate != rate;
        if changed {
            self.changed = now;
        }
        if self.rate.is_none() && rate.is_some() {
            self.bucket = Bucket::empty(now);
        }
        (self.rate, self.observed, self.own) = (rate, observed, own);
        changed
    }
}

impl Limits {
    /// Sets the instances among which limits are shared.
    pub fn set_peers(&mut self, peers: Peers) {
        if peers != self.peers {
            self.peers = peers;
            for entry in &mut self.entries {
                entry.rank = self.peers.rank(&entry.replica);
            }
        }
    }

    /// Records the limit that an answer of a replica names; `None` if it names none. Returns whether
    /// it differs from the one before.
    pub fn observe(&mut self, replica: &Replica, rate: Option<f64>, now: Time) -> bool {
        self.apply(&replica.id, replica.started_ms, rate, now, true, now)
    }

    /// Merges what a peer saw. Returns whether a limit changed.
    pub fn merge(&mut self, report: &LimitReport, now: Time) -> bool {
        let observed = now.before(report.age);
        let found = self.find(&report.replica);
        let known = found.ok().map(|at| &self.entries[at]);
        if known.is_some_and(|e| e.started_ms == report.started_ms && e.observed >= observed) {
            return false;
        }
        self.apply(&report.replica, report.started_ms, report.rate, observed, false, now)
    }

    /// What this instance saw itself, the youngest first.
    pub fn report(&self, now: Time) -> Vec<LimitReport> {
        let recent = |e: &&Entry| e.rate.is_some() || now.since(e.changed) < DROPPED_TTL;
        let own = self.entries.iter().filter(|e| e.own).filter(recent);
        let mut out: Vec<LimitReport> = own
            .map(|e| LimitReport {
                replica: e.replica.clone(),
                started_ms: e.started_ms,
                rate: e.rate,
                age: now.since(e.observed),
            })
            .collect();
        out.sort_by_key(|r| r.age);
        out
    }

    /// The limited replicas and whether this instance may send to them, sorted by replica.
    pub fn permits(&mut self, now: Time) -> Vec<(Arc<str>, Permit)> {
        let registered = self.peers.registered;
        let limited = self.entries.iter_mut().filter(|e| e.is_limited(now));
        limited.map(|e| (e.replica.clone(), e.permit(registered, now))).collect()
    }

    /// Takes the permit for one request. Returns false if there is none.
    pub fn take(&mut self, replica: &str, now: Time) -> bool {
        let Ok(at) = self.find(replica) else { return true };
        let entry = &mut self.entries[at];
        if !entry.is_limited(now) {
            return true;
        }
        let free = entry.permit(self.peers.registered, now) == Permit::Now;
        if free {
            entry.bucket.take();
        }
        free
    }

    /// Number of replicas with a limit.
    pub fn count(&self) -> usize {
        self.entries.iter().filter(|e| e.rate.is_some()).count()
    }

    /// Drops the entries of replicas for which `known` returns false. It gets the identifier and
    /// [`Replica::started_ms`].
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(&str, u64) -> bool,
    {
        self.entries.retain(|e| known(&e.replica, e.started_ms));
    }

    fn apply(
        &mut self,
        replica: &Arc<str>,
        started_ms: u64,
        rate: Option<f64>,
        observed: Time,
        own: bool,
        now: Time,
    ) -> bool {
        let rank = self.peers.rank(replica);
        let new = || Entry {
            replica: replica.clone(),
            started_ms,
            rate,
            observed,
            own,
            changed: now,
            rank,
            bucket: Bucket::empty(now),
        };
        match self.find(replica) {
            Ok(at) if self.entries[at].started_ms == started_ms => {
                self.entries[at].apply(rate, observed, own, now)
            }
            Ok(at) => {
                self.entries[at] = new();
                rate.is_some()
            }
            Err(_) if rate.is_none() => false,
            Err(at) => {
                self.entries.insert(at, new());
                true
            }
        }
    }

    fn find(&self, replica: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| (*e.replica).cmp(replica))
    }
}
