//! Which replicas an instance reaches, and which peer sends its requests on where it reaches none.
//!
//! The code does no I/O and reads neither a clock nor a random source.

use std::{sync::Arc, time::Duration};

use ident::Time;

/// Pause before a replica that was not reached is probed. It doubles with each failure.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest pause between two probes of a replica.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// How long a peer's report counts unless its next datagram replaces it. Peers that fell silent are no
/// candidates anyway.
const PEER_TTL: Duration = Duration::from_secs(60);

/// A replica that was not reached at the last attempt.
#[derive(Debug)]
struct Unreached {
    replica: Arc<str>,
    /// Attempts without a connection since the last one.
    failures: u32,
    next_probe: Time,
}

/// The targets of which a peer reaches no replica.
#[derive(Debug)]
struct PeerReport {
    peer: Arc<str>,
    targets: Vec<Arc<str>>,
    expires: Time,
}

/// A replica that takes new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identifier of the replica.
    pub replica: Arc<str>,
    /// Its target.
    pub target: Arc<str>,
}

/// A peer that may send requests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the peer.
    pub peer: Arc<str>,
    /// Whether it is in the zone of this instance.
    pub near: bool,
    /// Number of requests that this instance has there.
    pub requests: usize,
}

/// What an instance knows of the ways to replicas.
///
/// Invariant: `unreached` is sorted by replica, `peers` by peer.
#[derive(Debug, Default)]
pub struct Reach {
    unreached: Vec<Unreached>,
    peers: Vec<PeerReport>,
    /// When replicas that were not found unreachable may be probed.
    next_check: Time,
}

impl Reach {
    /// Records that no connection to a replica could be made.
    pub fn failed(&mut self, replica: &Arc<str>, now: Time) {
        let at = match self.find(replica) {
            Ok(at) => at,
            Err(at) => {
                let replica = replica.clone();
                self.unreached.insert(at, Unreached { replica, failures: 0, next_probe: now });
                at
            }
        };
        let entry = &mut self.unreached[at];
        let pause = MIN_PROBE_INTERVAL * (1 << entry.failures.min(4));
        entry.failures += 1;
        entry.next_probe = now.after(pause.min(MAX_PROBE_INTERVAL));
    }

    /// Records that a replica was reached. Returns whether it was not before.
    pub fn reached(&mut self, replica: &str) -> bool {
        let found = self.find(replica);
        if let Ok(at) = found {
            self.unreached.remove(at);
        }
        found.is_ok()
    }

    /// Forgets replicas for which `known` returns false.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(&str) -> bool,
    {
        self.unreached.retain(|entry| known(&entry.replica));
    }

    /// Whether the last attempt to reach a replica did not fail.
    pub fn is_reached(&self, replica: &str) -> bool {
        self.find(replica).is_err()
    }

    /// Whether the last attempts to reach replicas all succeeded.
    pub fn reaches_all(&self) -> bool {
        self.unreached.is_empty()
    }

    /// Whether no replica of `target` is reached, though there are some.
    pub fn is_cut_off(&self, target: &str, members: &[Member]) -> bool {
        let mut members = members.iter().filter(|m| *m.target == *target).peekable();
        members.peek().is_some() && members.all(|m| !self.is_reached(&m.replica))
    }

    /// The targets of which no replica is reached.
    pub fn cut_off(&self, members: &[Member]) -> Vec<Arc<str>> {
        let mut targets: Vec<Arc<str>> = members.iter().map(|m| m.target.clone()).collect();
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| self.is_cut_off(target, members));
        targets
    }

    /// Takes up to `max` replicas to probe now: of targets of which half or more are not reached,
    /// those that are due, and the others, so that a cut is known before all were tried by requests.
    pub fn take_probes(&mut self, members: &[Member], max: usize, now: Time) -> Vec<Arc<str>> {
        let is_doubtful = |target: &str| {
            let all = members.iter().filter(|m| *m.target == *target);
            let (unreached, reached): (Vec<_>, Vec<_>) =
                all.partition(|m| !self.is_reached(&m.replica));
            !unreached.is_empty() && unreached.len() >= reached.len()
        };
        let check = self.next_check.passed(now);
        let is_due = |m: &&Member| match self.find(&m.replica) {
            Ok(at) => self.unreached[at].next_probe.passed(now),
            Err(_) => check,
        };
        let due = members.iter().filter(is_due).filter(|m| is_doubtful(&m.target));
        let due: Vec<Arc<str>> = due.take(max).map(|m| m.replica.clone()).collect();
        for replica in &due {
            match self.find(replica) {
                // The outcome of the probe sets the next one.
                Ok(at) => self.unreached[at].next_probe = now.after(MAX_PROBE_INTERVAL),
                Err(_) => self.next_check = now.after(MAX_PROBE_INTERVAL),
            }
        }
        due
    }

    /// Records the targets of which a peer reaches no replica.
    pub fn set_peer(&mut self, peer: &Arc<str>, targets: Vec<Arc<str>>, now: Time) {
        self.peers.retain(|report| !report.expires.passed(now));
        let expires = now.after(PEER_TTL);
        match (self.peers.binary_search_by(|r| r.peer.cmp(peer)), targets.is_empty()) {
            (Ok(at), true) => {
                self.peers.remove(at);
            }
            (Ok(at), false) => self.peers[at] = PeerReport { peer: peer.clone(), targets, expires },
            (Err(_), true) => {}
            (Err(at), false) => {
                self.peers.insert(at, PeerReport { peer: peer.clone(), targets, expires });
            }
        }
    }

    /// Records that a peer did not take a request, until its next report.
    pub fn not_taken(&mut self, peer: &Arc<str>, target: &Arc<str>, now: Time) {
        let mut targets = self.peer(peer, now).map_or(Vec::new(), |report| report.targets.clone());
        if !targets.contains(target) {
            targets.push(target.clone());
        }
        self.set_peer(peer, targets, now);
    }

    /// Whether a peer reaches replicas of `target`, as far as it says.
    fn peer_reaches(&self, peer: &str, target: &str, now: Time) -> bool {
        let report = self.peer(peer, now);
        report.is_none_or(|r| r.targets.iter().all(|t| **t != *target))
    }

    /// Whether a peer reaches replicas of all targets, as far as it says.
    pub fn peer_reaches_all(&self, peer: &str, now: Time) -> bool {
        self.peer(peer, now).is_none()
    }

    /// Chooses the peer that sends a request for `target` on: the one with fewer requests of this
    /// instance of two that `random` selects, in this zone if one there reaches the target.
    pub fn choose_peer(
        &self,
        target: &str,
        candidates: &[Candidate],
        random: u64,
        now: Time,
    ) -> Option<Arc<str>> {
        let usable = candidates.iter().filter(|c| self.peer_reaches(&c.peer, target, now));
        let (near, far): (Vec<&Candidate>, Vec<&Candidate>) = usable.partition(|c| c.near);
        let usable = if near.is_empty() { far } else { near };
        let pick = |random: u64| usable.get((random % usable.len().max(1) as u64) as usize);
        let both = [pick(random & 0xffff_ffff), pick(random >> 32)].into_iter().flatten();
        both.min_by_key(|c| c.requests).map(|c| c.peer.clone())
    }

    fn peer(&self, peer: &str, now: Time) -> Option<&PeerReport> {
        let at = self.peers.binary_search_by(|r| (*r.peer).cmp(peer)).ok()?;
        Some(&self.peers[at]).filter(|report| !report.expires.passed(now))
    }

    fn find(&self, replica: &str) -> Result<usize, usize> {
        self.unreached.binary_search_by(|entry| (*entry.replica).cmp(replica))
    }
}
