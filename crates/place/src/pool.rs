//! The replicas of all targets with their load and health.

use std::{sync::Arc, time::Duration};

use fleet::Replica;
use ident::Time;

use crate::{
    LoadReport, ReplicaLoad,
    partition::Demand,
    speed::{Speed, USUAL_WEIGHT},
};

/// How long a replica is excluded after [`FAILURE_THRESHOLD`] attempts in a row without an answer.
/// Each further one doubles the time.
const FAILURE_COOLDOWN: Duration = Duration::from_millis(600);
/// Longest time for which failures exclude a replica.
const MAX_COOLDOWN: Duration = Duration::from_secs(4);
/// How long a replica is excluded after it refused a request because it was full.
pub(crate) const FULL_COOLDOWN: Duration = Duration::from_millis(150);
/// How long a peer's report of its own requests is used.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1500);
/// How long a replica's own report of its load is used.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(500);
/// The same where peers' loads are old.
const SHARED_REPORT_TTL: Duration = Duration::from_millis(1200);
/// Peers from which on their datagrams are so rare that replicas' reports say more of the load.
const MANY_PEERS: usize = 12;
/// How long the word of an engine's tracker is used. A long prompt arrives at a target every ten ms or
/// so.
const TRACKED_TTL: Duration = Duration::from_millis(60);
/// Weight of a new request in the typical load.
const TYPICAL_WEIGHT: f64 = 0.05;
/// Share of its prefill that a request at a replica still needs, on average.
const UNREAD_SHARE: f64 = 0.5;
/// Longest time for which a replica's word keeps requests away: a wrong one must not shut it out.
const MAX_DECLINED: Duration = Duration::from_secs(60);
/// Number of attempts in a row without an answer from which a replica counts as unhealthy.
pub(crate) const FAILURE_THRESHOLD: u32 = 2;

/// What one or more requests still need of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Prompt tokens that still need prefill.
    pub prefill_tokens: u64,
    /// Memory needed until the requests end, in tokens of KV cache.
    pub memory_tokens: u64,
    /// Number of requests.
    pub requests: u32,
}

/// Prompts with fewer tokens than this are short: their prefill does not noticeably delay others.
const SHORT_PROMPT_TOKENS: u64 = 2048;

/// Whether a prompt with this many tokens is a short one.
pub(crate) fn is_short(tokens: u64) -> bool {
    tokens < SHORT_PROMPT_TOKENS
}

/// Whether the prefill of a prompt with this many tokens delays other requests noticeably.
pub fn is_long(tokens: u64) -> bool {
    !is_short(tokens)
}

impl Load {
    /// Whether it is the load of long prompts. The memory that a prompt needs does not shrink while
    /// it is in flight.
    pub fn is_long(&self) -> bool {
        is_long(self.memory_tokens)
    }

    /// Number of its requests that are long prompts.
    fn long_requests(&self) -> u32 {
        if self.is_long() { self.requests } else { 0 }
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        self.requests = self.requests.saturating_add(other.requests);
    }

    fn sub(&mut self, other: Self) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
        self.requests = self.requests.saturating_sub(other.requests);
    }
}

/// The load that a peer has in flight at one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoad {
    /// Identifier of the replica.
    pub replica: Arc<str>,
    /// Load of the peer's requests at the replica.
    pub load: Load,
}

/// How an attempt at a replica ended, as far as it concerns the replica's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The replica answered.
    Answered,
    /// The replica answered with an error of its own. Does not change its health.
    Failed,
    /// The replica refused the request because it was full or was loading weights.
    Full,
    /// There was no connection, no answer, or only a malformed answer.
    NoAnswer,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) replica: Arc<Replica>,
    /// Load of this instance's own requests at the replica.
    pub(crate) own: Load,
    /// Number of those that are long prompts.
    pub(crate) own_long: u32,
    /// Load that the replica last reported, and when the report arrived, at this instance or a peer.
    pub(crate) reported: Option<(ReplicaLoad, Time)>,
    /// Requests that this instance sent there since the report.
    pub(crate) sent_since: u32,
    /// Mean number of requests in its reports.
    pub(crate) usual_requests: f64,
    /// Whether the report arrived at this instance.
    is_own_report: bool,
    /// Whether a malformed report arrived at this instance.
    is_malformed: bool,
    /// Number of the report among all that this instance recorded.
    report_rev: u64,
    /// Whether the replica has reported a pace: it shares its machine, so that its speed varies.
    is_shared: bool,
    /// What long prompts at the replica still need, as its tracker last said, and when.
    tracked: Option<(Load, Time)>,
    /// Number of attempts without an answer since the last [`Outcome::Answered`].
    pub(crate) failures: u32,
    /// When the replica last answered this instance, or was checked since it did not.
    heard: Time,
    /// Time until which the replica is excluded.
    pub(crate) excluded_until: Time,
    /// Time until which the replica wants no requests of this instance.
    pub(crate) declined_until: Time,
    /// Time until which the replica loads weights, as far as is known.
    pub(crate) loading_until: Time,
    /// Model and weights version that the replica itself reported. They take precedence over the
    /// registered ones until the registered ones change.
    observed: Option<(Arc<str>, u64)>,
}

impl Entry {
    pub(crate) fn version(&self, model: &str) -> Option<u64> {
        match &self.observed {
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
    /// When the report arrived.
    received: Time,
}

/// The replicas that an instance knows, with their load and health.
///
/// Invariant: `entries` is sorted by id, and `own` of each entry covers just this instance's
/// requests in flight.
#[derive(Debug, Default)]
pub struct Pool {
    pub(crate) entries: Vec<Entry>,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Zones whose replicas are not chosen. Sorted.
    evacuated: Vec<Arc<str>>,
    /// Typical prefill and memory tokens of this instance's short and long prompts.
    pub(crate) typical: [Option<(f64, f64)>; 2],
    /// Number of reports that were recorded.
    reports: u64,
    /// Demand at the engines of each target. Sorted by target.
    pub(crate) demands: Vec<Demand>,
    /// What was learned of the targets whose replicas report a pace. Sorted by target.
    pub(crate) speeds: Vec<Speed>,
}

impl Pool {
    /// Sets the registered replicas, which must be sorted by id. Replicas that are still registered
    /// keep their load and health.
    pub fn sync(&mut self, replicas: &[Arc<Replica>]) {
        let mut old = std::mem::take(&mut self.entries).into_iter().peekable();
        for replica in replicas {
            while old.next_if(|e| e.replica.id < replica.id).is_some() {}
            let kept = old.next_if(|e| e.replica.id == replica.id);
            self.entries.push(match kept {
                Some(entry) if entry.replica.started_ms == replica.started_ms => {
                    let stale = entry.replica.models != replica.models;
                    let observed = entry.observed.filter(|_| !stale);
                    Entry { replica: replica.clone(), observed, ..entry }
                }
                _ => Entry {
                    replica: replica.clone(),
                    own: Load::default(),
                    own_long: 0,
                    reported: None,
                    sent_since: 0,
                    usual_requests: 0.0,
                    is_own_report: false,
                    is_malformed: false,
                    report_rev: 0,
                    is_shared: false,
                    tracked: None,
                    failures: 0,
                    heard: Time(0),
                    excluded_until: Time(0),
                    declined_until: Time(0),
                    loading_until: Time(0),
                    observed: None,
                },
            });
        }
        self.sync_demands();
    }

    /// Sets the zones whose replicas are not chosen, which must be sorted.
    pub fn set_evacuated(&mut self, zones: &[Arc<str>]) {
        self.evacuated = zones.to_vec();
    }

    /// Whether a replica is not chosen because of its zone.
    pub(crate) fn is_evacuated(&self, replica: &Replica) -> bool {
        self.evacuated.binary_search(&replica.zone).is_ok()
    }

    /// Replaces the load that a peer has in flight. `loads` must be sorted by replica.
    pub fn set_peer_loads(&mut self, name: &Arc<str>, loads: Vec<PeerLoad>, now: Time) {
        let peer = Peer { name: name.clone(), loads, received: now };
        match self.peers.binary_search_by(|p| p.name.cmp(name)) {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
        self.observe_demand(now);
    }

    /// Returns the load that this instance has in flight, sorted by replica.
    pub fn own_loads(&self) -> Vec<PeerLoad> {
        let busy = self.entries.iter().filter(|e| e.own != Load::default());
        busy.map(|e| PeerLoad { replica: e.replica.id.clone(), load: e.own }).collect()
    }

    /// Number of requests that this instance has in flight at a replica.
    pub fn own_requests(&self, id: &str) -> u32 {
        let found = self.entries.binary_search_by(|e| (*e.replica.id).cmp(id));
        found.map_or(0, |at| self.entries[at].own.requests)
    }

    /// Adds the load of a request that is sent to a replica.
    pub fn add_load(&mut self, id: &str, load: Load) {
        self.learn_typical(load);
        if let Some(entry) = self.find(id) {
            entry.own.add(load);
            entry.sent_since = entry.sent_since.saturating_add(load.requests);
            entry.own_long = entry.own_long.saturating_add(load.long_requests());
        }
    }

    /// Subtracts all or part of the load that [`Pool::add_load`] added.
    pub fn remove_load(&mut self, id: &str, load: Load) {
        if let Some(entry) = self.find(id) {
            entry.own.sub(load);
            entry.own_long = entry.own_long.saturating_sub(load.long_requests());
        }
    }

    /// Records how an attempt at a replica ended.
    pub fn record_outcome(&mut self, id: &str, outcome: Outcome, now: Time) {
        let Some(entry) = self.find(id) else { return };
        if outcome != Outcome::NoAnswer {
            entry.heard = now;
        }
        match outcome {
            Outcome::Answered => entry.failures = 0,
            Outcome::Failed => {}
            Outcome::Full => {
                entry.excluded_until = entry.excluded_until.max(now.after(FULL_COOLDOWN))
            }
            Outcome::NoAnswer => {
                entry.failures += 1;
                if entry.failures >= FAILURE_THRESHOLD {
                    let doubled =
                        FAILURE_COOLDOWN * (1 << (entry.failures - FAILURE_THRESHOLD).min(4));
                    entry.excluded_until = now.after(doubled.min(MAX_COOLDOWN));
                }
            }
        }
    }

    /// Whether a replica should be checked, because it has answered nothing since `since`. It should
    /// not be again for as long.
    pub fn take_check(&mut self, id: &str, since: Time, now: Time) -> bool {
        let Some(entry) = self.find(id) else { return false };
        let is_silent = entry.heard <= since;
        if is_silent {
            entry.heard = now;
        }
        is_silent
    }

    /// Excludes a replica at once, because no connection to it could be made.
    pub fn mark_unreachable(&mut self, id: &str, now: Time) {
        if let Some(entry) = self.find(id) {
            entry.failures = entry.failures.max(FAILURE_THRESHOLD - 1);
        }
        self.record_outcome(id, Outcome::NoAnswer, now);
    }

    /// Ends the exclusion of a replica that failed, because it was reached.
    pub fn mark_reachable(&mut self, id: &str) {
        if let Some(entry) = self.find(id) {
            (entry.failures, entry.excluded_until) = (0, entry.loading_until);
        }
    }

    /// Excludes a replica until a point in time, whatever its health, because it loads weights.
    pub fn exclude_loading(&mut self, id: &str, until: Time) {
        if let Some(entry) = self.find(id) {
            entry.excluded_until = entry.excluded_until.max(until);
            entry.loading_until = entry.loading_until.max(until);
        }
    }

    /// Sends nothing to an incarnation of a replica for a time that it named. The later of two
    /// deadlines counts.
    pub fn decline(&mut self, replica: &Replica, time: Duration, now: Time) {
        let known = self.find(&replica.id).filter(|e| e.replica.started_ms == replica.started_ms);
        if let Some(entry) = known {
            entry.declined_until = entry.declined_until.max(now.after(time.min(MAX_DECLINED)));
        }
    }

    /// Whether a replica wants no requests of this instance now.
    pub fn declines(&self, id: &str, now: Time) -> bool {
        let found = self.entries.binary_search_by(|e| (*e.replica.id).cmp(id));
        found.is_ok_and(|at| !self.entries[at].declined_until.passed(now))
    }

    /// Whether long prompts for a target are tracked: there are many instances, and the engines'
    /// speed varies, so that counts of requests say little of their work.
    pub fn is_tracked(&self, target: &str) -> bool {
        let mut shared = self.entries.iter().filter(|e| e.is_shared);
        self.has_many_peers() && shared.any(|e| *e.replica.target == *target)
    }

    /// Records what long prompts at an engine still need, as its tracker says.
    pub fn record_tracked(&mut self, id: &str, load: Load, now: Time) {
        if let Some(entry) = self.find(id) {
            entry.tracked = Some((load, now));
        }
    }

    /// What the engine's tracker said lately.
    pub(crate) fn tracked(&self, entry: &Entry, now: Time) -> Option<Load> {
        let recent = |(_, at): &(Load, Time)| now.since(*at) < TRACKED_TTL;
        entry.tracked.filter(recent).map(|(load, _)| load)
    }

    /// Records a replica's own report of its load.
    pub fn record_report(&mut self, id: &str, load: ReplicaLoad, now: Time) {
        self.set_report(id, load, now, true);
        self.observe_demand(now);
    }

    /// Records a report that arrived at a peer, unless a later one is known.
    pub fn merge_report(&mut self, report: &LoadReport) {
        let LoadReport { replica, load, at } = report;
        let is_later = |e: &mut Entry| e.reported.is_none_or(|(_, known)| known < *at);
        if self.find(replica).is_some_and(is_later) {
            self.set_report(replica, *load, *at, false);
        }
    }

    /// Records that a replica's report was malformed. Returns whether it is the first one of its
    /// incarnation.
    pub fn mark_malformed(&mut self, id: &str) -> bool {
        self.find(id).is_some_and(|entry| !std::mem::replace(&mut entry.is_malformed, true))
    }

    fn set_report(&mut self, id: &str, load: ReplicaLoad, at: Time, is_own: bool) {
        self.reports += 1;
        let rev = self.reports;
        if let Some(entry) = self.find(id) {
            (entry.reported, entry.is_own_report) = (Some((load, at)), is_own);
            entry.is_shared |= load.pace.is_some();
            entry.report_rev = rev;
            entry.sent_since = 0;
            entry.usual_requests +=
                (f64::from(load.requests()) - entry.usual_requests) * USUAL_WEIGHT;
            if load.pace.is_some() {
                let target = entry.replica.target.clone();
                self.learn_speed(&target);
            }
        }
    }

    /// Replicas' reports that were recorded after number `rev`, here, or also at peers if `shared`,
    /// and the number of the last one.
    pub fn reports_since(&self, rev: u64, shared: bool) -> (Vec<LoadReport>, u64) {
        let is_new = |e: &&Entry| e.report_rev > rev && (shared || e.is_own_report);
        let report = |e: &Entry| {
            let (load, at) = e.reported?;
            Some(LoadReport { replica: e.replica.id.clone(), load, at })
        };
        (self.entries.iter().filter(is_new).filter_map(report).collect(), self.reports)
    }

    fn learn_typical(&mut self, load: Load) {
        if load.prefill_tokens == 0 {
            return;
        }
        let new = (load.prefill_tokens as f64, load.memory_tokens as f64);
        let typical = &mut self.typical[usize::from(!is_short(load.memory_tokens))];
        let (prefill, memory) = typical.unwrap_or(new);
        let mix = |old: f64, new: f64| old + (new - old) * TYPICAL_WEIGHT;
        *typical = Some((mix(prefill, new.0), mix(memory, new.1)));
    }

    /// Whether other instances choose among the same replicas.
    pub(crate) fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Whether there are so many peers that what they say of their loads is old.
    pub(crate) fn has_many_peers(&self) -> bool {
        self.peers.len() >= MANY_PEERS
    }

    /// Load that all instances have at an engine. Where peers' loads are old, the engine's own report
    /// counts: the requests in it that are not this instance's are taken for typical ones.
    pub(crate) fn engine_load(&self, entry: &Entry, for_short: bool, now: Time) -> Load {
        if let Some(load) = self.tracked(entry, now) {
            return load;
        }
        let recent = |(_, at): &(ReplicaLoad, Time)| now.since(*at) < SHARED_REPORT_TTL;
        let Some((reported, _)) = entry.reported.filter(recent).filter(|_| self.has_many_peers())
        else {
            return self.total_load(entry, now);
        };
        let others = reported.requests().saturating_sub(entry.own.requests);
        let (prefill, memory) = self.typical[usize::from(!for_short)].unwrap_or_default();
        let mut out = entry.own;
        out.add(Load {
            prefill_tokens: (f64::from(others) * prefill * UNREAD_SHARE) as u64,
            memory_tokens: (f64::from(others) * memory) as u64,
            requests: others,
        });
        out
    }

    /// Records the weights version of a model that a replica itself reported.
    pub fn set_version(&mut self, id: &str, model: &Arc<str>, version: u64) {
        if let Some(entry) = self.find(id) {
            entry.observed = Some((model.clone(), version));
        }
    }

    /// Returns the weights version of `model` that a replica has, if known.
    pub fn version(&self, id: &str, model: &str) -> Option<u64> {
        let at = self.entries.binary_search_by(|e| (*e.replica.id).cmp(id)).ok()?;
        self.entries[at].version(model)
    }

    /// Load that all instances have in flight at a replica, as far as is known.
    pub(crate) fn total_load(&self, entry: &Entry, now: Time) -> Load {
        let mut out = entry.own;
        let fresh = self.peers.iter().filter(|p| now.since(p.received) < PEER_LOAD_TTL);
        for peer in fresh {
            let found = peer.loads.binary_search_by(|l| l.replica.cmp(&entry.replica.id));
            if let Ok(at) = found {
                out.add(peer.loads[at].load);
            }
        }
        out
    }

    /// Requests at a replica: the instances' count or the replica's own report, whichever is
    /// higher.
    pub(crate) fn requests(&self, entry: &Entry, now: Time) -> u32 {
        let counted = self.total_load(entry, now).requests;
        let ttl = if self.has_many_peers() { SHARED_REPORT_TTL } else { LOAD_REPORT_TTL };
        let recent = |(_, received): &(ReplicaLoad, Time)| now.since(*received) < ttl;
        entry.reported.filter(recent).map_or(counted, |(load, _)| load.requests().max(counted))
    }

    fn find(&mut self, id: &str) -> Option<&mut Entry> {
        let at = self.entries.binary_search_by(|e| (*e.replica.id).cmp(id)).ok()?;
        Some(&mut self.entries[at])
    }
}
