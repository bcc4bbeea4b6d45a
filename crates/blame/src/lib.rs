//! Finds the part of a prompt, or the request, under which replicas end, from what all instances saw.
//!
//! The code does no I/O and reads neither a clock nor a random source. Evidence merges in any
//! order and any number of times, so that lost and doubled datagrams do no harm.

mod answered;
mod evidence;
mod flights;
mod report;
mod suspect;
mod verdict;

use std::{sync::Arc, time::Duration};

use ident::Time;

pub use crate::{
    report::{Report, ReportWire, SuspectReport, SuspectWire},
    suspect::{EndId, SuspectKey},
    verdict::{Admission, Fatal},
};

use crate::{
    answered::Answered,
    evidence::Evidence,
    flights::{Flights, Sent},
};

/// Times after the end that made a suspect fatal at which one request is let through as a trial.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(60)];

/// The shared parts of a request's prompt, and the request itself.
pub type Suspects = Arc<[SuspectKey]>;

/// Names a request at a replica, unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flight(u64);

/// What an instance knows of the ends of replicas and of what was there.
#[derive(Debug, Default)]
pub struct Blame {
    flights: Flights,
    answered: Answered,
    evidence: Evidence,
    /// The verdict on `evidence`; `None` before the first.
    fatal: Option<Arc<[Fatal]>>,
}

impl Blame {
    /// An instance that starts at `now`.
    pub fn new(now: Time) -> Self {
        Self { evidence: Evidence::new(now), ..Self::default() }
    }

    /// Records that a request is sent to a replica.
    pub fn begin(&mut self, replica: EndId, suspects: Suspects, now: Time) -> Flight {
        self.flights.begin(replica, suspects, now)
    }

    /// Records that a replica has begun to answer a request. It has outlived what was lost there
    /// before the request was sent.
    pub fn begun(&mut self, flight: Flight, now: Time) {
        if let Some((replica, sent)) = self.flights.sent(flight) {
            self.alive(replica, sent, now);
        }
    }

    /// Records that a request ended without telling anything about what it holds.
    pub fn forget(&mut self, flight: Flight) {
        self.flights.remove(flight);
    }

    /// Records that a request got its whole answer. Returns whether the verdict may have changed.
    pub fn answered(&mut self, flight: Flight, now: Time) -> bool {
        let Some(suspects) = self.flights.remove(flight) else { return false };
        self.clear(&suspects, now)
    }

    /// Records that a replica rejected a request for what it asks. It has read the request, and
    /// perhaps not its prompt. Returns whether the verdict may have changed.
    pub fn rejected(&mut self, flight: Flight, now: Time) -> bool {
        let Some(suspects) = self.flights.remove(flight) else { return false };
        let requests: Vec<SuspectKey> =
            suspects.iter().copied().filter(|key| matches!(key, SuspectKey::Request(_))).collect();
        self.clear(&requests, now)
    }

    /// Records that a request's connection ended before its answer was certainly whole. `unframed`
    /// tells whether only the end of the connection ended the answer, which is whole then if the
    /// replica has outlived it. Returns whether this is new evidence, because the replica is known
    /// to have ended.
    pub fn lost(&mut self, flight: Flight, unframed: bool, now: Time) -> bool {
        let Some((replica, sent)) = self.flights.lose(flight, unframed, now) else {
            return false;
        };
        self.evidence.has_ended(replica) && self.accuse(replica, &sent, now)
    }

    /// Records that a replica ran at the time `at` or later. It has outlived what was lost there
    /// before. Returns whether something was lost there since.
    pub fn alive(&mut self, replica: EndId, at: Time, now: Time) -> bool {
        for suspects in self.flights.outlived(replica, at) {
            self.clear(&suspects, now);
        }
        self.flights.has_lost(replica)
    }

    /// Whether requests are at a replica or were lost there lately.
    pub fn has_flights(&self, replica: EndId, now: Time) -> bool {
        !self.flights.at(replica, now).is_empty()
    }

    /// Number of requests that are at replicas.
    pub fn flight_count(&self) -> usize {
        self.flights.count()
    }

    /// Whether a replica is known to have ended.
    pub fn has_ended(&self, replica: EndId) -> bool {
        self.evidence.has_ended(replica)
    }

    /// Whether all parts were answered whole before, as far as this instance knows. Requests are not
    /// asked about: most are new.
    pub fn parts_answered(&self, suspects: &[SuspectKey]) -> bool {
        let mut parts = suspects.iter().filter(|key| matches!(key, SuspectKey::Part(_)));
        parts.all(|part| self.answered.last(*part).is_some())
    }

    /// Records the end of a replica, and returns whether this is new evidence. `planned` tells
    /// whether the replica had announced that it leaves.
    pub fn replica_ended(&mut self, replica: EndId, planned: bool, now: Time) -> bool {
        self.evidence.note_end(replica, !planned, now);
        self.accuse_flights(replica, now)
    }

    /// Merges a peer's report, and returns whether it held anything that others should hear of at
    /// once.
    pub fn merge(&mut self, report: &Report, now: Time) -> bool {
        let mut news = false;
        for (end, age) in &report.ended {
            self.evidence.merge_end(*end, now.before(*age));
        }
        for suspect in &report.suspects {
            if let Some(last) = self.answered.last(suspect.key) {
                self.evidence.ensure(suspect.key);
                self.evidence.answered(suspect.key, last, true);
            }
            news |= self.evidence.merge(suspect, now);
        }
        // Requests of this instance may have been at the replicas that ended.
        for replica in self.evidence.take_new_ends() {
            news |= self.accuse_flights(replica, now);
        }
        news
    }

    /// Whether there is evidence against anything.
    pub fn has_suspects(&self) -> bool {
        !self.evidence.is_empty()
    }

    /// The evidence for peers, most important first, that takes at most `bytes` in a datagram.
    pub fn report(&mut self, bytes: usize, now: Time) -> Report {
        let fatal = self.fatal(now);
        let named = |key: &SuspectKey| fatal.iter().any(|f| f.suspects.contains(key));
        self.evidence.report(named, bytes, now)
    }

    /// The evidence against one suspect; `None` if there is none.
    pub fn report_on(&mut self, key: SuspectKey, now: Time) -> Option<SuspectReport> {
        self.report(usize::MAX, now).suspects.into_iter().find(|s| s.key == key)
    }

    /// The fatal requests and parts. Parts that can't be told apart are together.
    pub fn fatal(&mut self, now: Time) -> Arc<[Fatal]> {
        self.evidence.expire(now);
        if self.evidence.take_changed() {
            self.fatal = None;
        }
        let evidence = &self.evidence;
        self.fatal.get_or_insert_with(|| verdict::judge(evidence).into()).clone()
    }

    /// Whether a request with these suspects may be sent.
    pub fn admit(&mut self, suspects: &[SuspectKey], now: Time) -> Admission {
        if suspects.is_empty() || self.evidence.is_empty() {
            return Admission::Free;
        }
        let fatal = self.fatal(now);
        let Some(found) = fatal.iter().find(|f| f.suspects.iter().all(|s| suspects.contains(s)))
        else {
            return Admission::Free;
        };
        let suspect = found.suspects[0];
        let taken = self.evidence.trials(suspect);
        let trial = TRIAL_DELAYS.get(usize::from(taken)).map(|delay| found.since.after(*delay));
        match trial {
            Some(at) if at.passed(now) => Admission::Trial { suspect, number: taken },
            Some(until) => {
                Admission::Barred { suspect, ends: found.ends, since: found.since, until }
            }
            None => {
                let until = self.evidence.deadline(suspect).unwrap_or(now);
                Admission::Barred { suspect, ends: found.ends, since: found.since, until }
            }
        }
    }

    /// Records that trial `number` of a suspect was taken, by this instance or another.
    pub fn trial_taken(&mut self, key: SuspectKey, number: u8) {
        self.evidence.trial_taken(key, number);
    }

    fn clear(&mut self, suspects: &[SuspectKey], now: Time) -> bool {
        let mut changed = false;
        for key in suspects {
            self.answered.insert(*key, now);
            changed |= self.evidence.answered(*key, now, true);
        }
        changed
    }

    /// Records that a replica ended under the requests of this instance that are there.
    fn accuse_flights(&mut self, replica: EndId, now: Time) -> bool {
        let mut news = false;
        for sent in self.flights.at(replica, now) {
            news |= self.accuse(replica, &sent, now);
        }
        news
    }

    fn accuse(&mut self, replica: EndId, sent: &Sent, now: Time) -> bool {
        let mut news = false;
        for key in &*sent.suspects {
            self.evidence.ensure(*key);
            if let Some(last) = self.answered.last(*key) {
                self.evidence.answered(*key, last, true);
            }
            news |= self.evidence.accuse(*key, replica, sent.at, now);
        }
        news
    }
}
