//! Cold replicas: which are cold, and how many requests this instance may send to them.
//!
//! Handles targets of up to some hundred replicas, a third of which return cold at the same moment,
//! and 1 to some hundred instances that learn of it up to some seconds apart.

use std::{sync::Arc, time::Duration};

use fleet::{ColdLimit, Replica};
use ident::Time;

use crate::{
    Permit,
    roster::{Place, Roster},
    share::{Bucket, Division},
};

/// Age of a doubt from which an entry that says warm ends it. An entry that arrives earlier may have
/// been written before the replica came back: readers and followers ask at most this far apart.
const ENTRY_DELAY: Duration = Duration::from_millis(2500);
/// Smallest interval between two requests of a share of one request per second. It is longer than
/// the second of the bound, so that requests that take unequally long to arrive keep the bound.
const MIN_INTERVAL: f64 = 1.1;
/// Share of the bound that the instances of one list of instances use. Instances whose lists have no
/// sender in common may send as much again.
const BOUND_SHARE: f64 = 0.5;
/// Time after the end of the cold time in which the rate doubles.
const RAMP_STEP: Duration = Duration::from_millis(500);
/// Time after the end of the cold time from which a replica has no limit.
const RAMP_TIME: Duration = Duration::from_secs(2);
/// How long a replica that is not reached counts as cold if nothing more is heard of it.
const LOST_TTL: Duration = Duration::from_secs(120);

/// In any one second a cold replica gets at most its rate x `excess` + `tolerance` requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor of the rate.
    pub excess: f64,
    /// Requests in addition.
    pub tolerance: f64,
}

/// A reason to take a replica for cold, whatever its entry says.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    /// When the replica was lost, or came back.
    since: Time,
    /// Whether it was not reached since.
    lost: bool,
    /// Whether this instance found out itself that the incarnation ended, so that peers are told.
    told: bool,
    /// [`Entry::cold_until`] if the doubt turns out to be wrong.
    before: Time,
}

/// A replica of a target with a limit for cold replicas.
#[derive(Debug, Clone)]
struct Entry {
    replica: Arc<str>,
    zone: Arc<str>,
    /// [`Replica::started_ms`] of the incarnation.
    started_ms: u64,
    /// [`Replica::cold`] of the last entry.
    stated: Duration,
    limit: ColdLimit,
    /// End of the cold time as far as is known; `Time(0)` if the replica was not cold.
    cold_until: Time,
    doubt: Option<Doubt>,
    /// [`Roster::rev`] for which `place` was computed.
    placed: Option<u64>,
    place: Place,
    bucket: Bucket,
}

/// Which replicas are cold, and this instance's share of what they take.
///
/// Invariant: `entries` is sorted by replica. Replicas of targets without a limit for cold replicas
/// have no entry, so that nothing changes for them.
#[derive(Debug)]
pub struct ColdReplicas {
    bound: ColdBound,
    entries: Vec<Entry>,
    roster: Roster,
    /// Whether the registered replicas were read completely: one that appears later is new.
    is_read: bool,
    /// Unix time at `Time(0)`, in ms.
    origin_ms: u64,
}

/// How a cold replica's `rate` is divided among `count` instances.
///
/// In any second each sender sends at most the whole part of its share, so that the sum is at most
/// [`BOUND_SHARE`] of the bound.
fn division(rate: f64, bound: ColdBound, count: usize) -> Division {
    let allowed = (rate * bound.excess + bound.tolerance) * BOUND_SHARE;
    let requests = allowed.min(rate).max(1.0) as usize;
    let senders = requests.min(count.max(1));
    let most = (requests / senders) as f64 / MIN_INTERVAL;
    Division { senders, rate: most.min(rate / senders as f64), burst: 1.0 }
}

impl Entry {
    fn is_cold(&self, now: Time) -> bool {
        let lost = |d: Doubt| d.lost && now.since(d.since) < LOST_TTL;
        !self.cold_until.passed(now) || self.doubt.is_some_and(lost)
    }

    /// The rate that all instances together may send at now; `None` for no limit.
    fn rate(&self, now: Time) -> Option<f64> {
        if self.is_cold(now) {
            return Some(self.limit.rate);
        }
        let warm = now.since(self.cold_until);
        let steps = warm.as_secs_f64() / RAMP_STEP.as_secs_f64();
        (warm < RAMP_TIME).then(|| self.limit.rate * steps.exp2())
    }

    fn permit(&mut self, bound: ColdBound, roster: &Roster, now: Time) -> Option<Permit> {
        let rate = self.rate(now)?;
        if self.placed != Some(roster.rev) {
            (self.place, self.placed) = (roster.place(&self.replica), Some(roster.rev));
        }
        let division = division(rate, bound, self.place.count);
        Some(match self.bucket.permit(self.place.rank, &division, now) {
            Permit::Now => Permit::Cold,
            other => other,
        })
    }

    /// Takes the replica for cold from now on, as if it had just started.
    fn start_cold(&mut self, now: Time) {
        let until = now.after(self.limit.span);
        let before = self.doubt.map_or(self.cold_until, |d| d.before);
        let told = self.doubt.is_some_and(|d| d.told);
        self.doubt = Some(Doubt { since: now, lost: false, told, before });
        self.set_until(self.cold_until.max(until), now);
    }

    fn set_until(&mut self, until: Time, now: Time) {
        if self.rate(now).is_none() {
            // The share begins empty.
            self.bucket = Bucket::empty(now);
        }
        self.cold_until = until;
    }

    /// Applies what an entry of the same incarnation says.
    fn apply(&mut self, stated: Duration, now: Time) {
        let is_new = self.stated != stated;
        self.stated = stated;
        let may_be_old = self.doubt.is_some_and(|d| now.since(d.since) < ENTRY_DELAY);
        let until = match stated {
            Duration::ZERO if may_be_old => return,
            Duration::ZERO => self.cold_until.min(now),
            // Read again. After its end the same time means that the replica is cold once more.
            _ if !is_new && !self.cold_until.passed(now) => return,
            _ => now.after(stated.min(self.limit.span)),
        };
        if may_be_old {
            return self.set_until(self.cold_until.max(until), now);
        }
        self.doubt = None;
        self.set_until(until, now);
    }
}

impl ColdReplicas {
    /// Knows no replica.
    pub fn new(bound: ColdBound) -> Self {
        Self { bound, entries: Vec::new(), roster: Roster::default(), is_read: false, origin_ms: 0 }
    }

    /// Sets the Unix time at `Time(0)`, in ms, by which the ages of replicas are computed.
    pub fn set_origin(&mut self, origin_ms: u64) {
        self.origin_ms = origin_ms;
    }

    /// Sets the registered instances, this one included, among which the rates are divided. `names`
    /// must be sorted.
    pub fn set_instances(&mut self, own: &Arc<str>, names: Vec<Arc<str>>, now: Time) {
        self.roster.set(own, names, now);
    }

    /// Records that all registered replicas were noted. Those that appear later are new.
    pub fn set_read(&mut self) {
        self.is_read = true;
    }

    /// Records a replica's entry, each time that it is read. `limit` is that of its target; `known`
    /// says whether this incarnation was registered before. Returns whether the replica counts as
    /// cold now and did not before.
    pub fn note(
        &mut self,
        replica: &Replica,
        limit: Option<ColdLimit>,
        known: bool,
        now: Time,
    ) -> bool {
        let found = self.find(&replica.id);
        let Some(limit) = limit else {
            if let Ok(at) = found {
                self.entries.remove(at);
            }
            return false;
        };
        let entry = found.ok().map(|at| &self.entries[at]);
        let was_cold = entry.is_some_and(|e| e.is_cold(now));
        let same = entry.is_some_and(|e| e.started_ms == replica.started_ms);
        let at = match found {
            Ok(at) if same => {
                let entry = &mut self.entries[at];
                (entry.limit, entry.zone) = (limit, replica.zone.clone());
                entry.apply(replica.cold, now);
                return entry.is_cold(now) && !was_cold;
            }
            Ok(at) => {
                self.entries.remove(at);
                at
            }
            Err(at) => at,
        };
        // Without an entry a known replica had no limit until now.
        let is_new = found.is_ok() || (self.is_read && !known);
        let mut entry = Entry {
            replica: replica.id.clone(),
            zone: replica.zone.clone(),
            started_ms: replica.started_ms,
            stated: replica.cold,
            limit,
            cold_until: Time(0),
            doubt: None,
            placed: None,
            place: Place { rank: usize::MAX, count: 0 },
            bucket: Bucket::empty(now),
        };
        let age = (self.origin_ms + now.0).saturating_sub(replica.started_ms);
        let age = Duration::from_millis(age);
        let young = limit.span.saturating_sub(age);
        let is_doubted = is_new || !young.is_zero();
        entry.cold_until = match replica.cold {
            Duration::ZERO if is_new => now.after(limit.span),
            Duration::ZERO if is_doubted => now.after(young),
            Duration::ZERO => Time(0),
            stated => now.after(stated.min(limit.span)),
        };
        let doubt = Doubt { since: now, lost: false, told: false, before: entry.cold_until };
        entry.doubt = is_doubted.then_some(doubt);
        let is_cold = entry.is_cold(now);
        self.entries.insert(at, entry);
        is_cold && !was_cold
    }

    /// Drops the replicas for which `known` returns false. One that comes back is new.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(&str) -> bool,
    {
        self.entries.retain(|e| known(&e.replica));
    }

    /// Records that an incarnation of a replica was not reached, or that a connection to it broke:
    /// it may come back cold. Returns whether it was not lost before.
    pub fn lost(&mut self, replica: &str, started_ms: u64, now: Time) -> bool {
        let Some(entry) = self.incarnation(replica, started_ms) else { return false };
        let was_lost = entry.doubt.is_some_and(|d| d.lost);
        if entry.rate(now).is_none() {
            entry.bucket = Bucket::empty(now);
        }
        let before = entry.doubt.map_or(entry.cold_until, |d| d.before);
        let told = was_lost && entry.doubt.is_some_and(|d| d.told);
        entry.doubt = Some(Doubt { since: now, lost: true, told, before });
        !was_lost
    }

    /// Records that this instance found out that an incarnation ended. Returns whether that is new,
    /// so that peers should hear of it.
    pub fn ended(&mut self, replica: &str, started_ms: u64, now: Time) -> bool {
        self.lost(replica, started_ms, now);
        let entry = self.incarnation(replica, started_ms);
        let doubt = entry.and_then(|e| e.doubt.as_mut());
        doubt.is_some_and(|d| !std::mem::replace(&mut d.told, true))
    }

    /// The incarnations that this instance lately found to have ended, by identifier and
    /// [`Replica::started_ms`].
    pub fn report(&self, now: Time) -> Vec<(Arc<str>, u64)> {
        let is_recent = |d: &Doubt| d.told && now.since(d.since) < ENTRY_DELAY;
        let ended = self.entries.iter().filter(|e| e.doubt.as_ref().is_some_and(is_recent));
        ended.map(|e| (e.replica.clone(), e.started_ms)).collect()
    }

    /// Records that a replica was reached. If it was lost, it counts as cold from now on.
    pub fn reached(&mut self, replica: &str, now: Time) {
        let Ok(at) = self.find(replica) else { return };
        if self.entries[at].doubt.is_some_and(|d| d.lost) {
            self.entries[at].start_cold(now);
        }
    }

    /// Records that a replica said itself that it is still this incarnation: it was not lost.
    pub fn is_same(&mut self, replica: &str, started_ms: u64, now: Time) {
        let Some(entry) = self.incarnation(replica, started_ms) else { return };
        if let Some(doubt) = entry.doubt.take() {
            entry.set_until(doubt.before, now);
        }
    }

    /// Records that the evacuation of a zone ended: all its replicas may be cold. Returns their
    /// number.
    pub fn zone_returned(&mut self, zone: &str, now: Time) -> usize {
        let returned = self.entries.iter_mut().filter(|e| *e.zone == *zone);
        returned.map(|e| e.start_cold(now)).count()
    }

    /// The limited replicas and whether this instance may send to them, sorted by replica.
    pub fn permits(&mut self, now: Time) -> Vec<(Arc<str>, Permit)> {
        let Self { bound, roster, .. } = self;
        let permit = |e: &mut Entry| Some((e.replica.clone(), e.permit(*bound, roster, now)?));
        self.entries.iter_mut().filter_map(permit).collect()
    }

    /// Takes the permit for one request. Returns `None` if there is none, else whether the replica
    /// is limited.
    pub fn take(&mut self, replica: &str, now: Time) -> Option<bool> {
        let Ok(at) = self.find(replica) else { return Some(false) };
        let entry = &mut self.entries[at];
        match entry.permit(self.bound, &self.roster, now) {
            None => Some(false),
            Some(Permit::Cold) => {
                entry.bucket.take();
                Some(true)
            }
            Some(_) => None,
        }
    }

    /// Number of cold replicas.
    pub fn count(&self, now: Time) -> usize {
        self.entries.iter().filter(|e| e.is_cold(now)).count()
    }

    /// Whether a replica counts as cold.
    pub fn is_cold(&self, replica: &str, now: Time) -> bool {
        self.find(replica).is_ok_and(|at| self.entries[at].is_cold(now))
    }

    fn incarnation(&mut self, replica: &str, started_ms: u64) -> Option<&mut Entry> {
        let at = self.find(replica).ok()?;
        Some(&mut self.entries[at]).filter(|e| e.started_ms == started_ms)
    }

    fn find(&self, replica: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| (*e.replica).cmp(replica))
    }
}
