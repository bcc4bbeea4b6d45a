//! Finds the part of a prompt under which replicas end, from what all instances saw.
//!
//! The code does no I/O and reads neither a clock nor a random source. Evidence merges in any
//! order and any number of times, so that lost and doubled datagrams do no harm.

mod answered;
mod evidence;
mod flights;
mod report;
mod verdict;

use std::{sync::Arc, time::Duration};

use ident::Time;

pub use crate::{
    evidence::{EndId, PartKey},
    report::{Report, SuspectReport},
    verdict::{Admission, Fatal},
};

use crate::{answered::Answered, evidence::Evidence, flights::Flights};

/// Times after the end that made a part fatal at which one request is let through as a trial.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(60)];

/// The shared parts of a request that is at a replica.
pub type Parts = Arc<[PartKey]>;

/// Names a request at a replica, unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flight(u64);

/// What an instance knows of the ends of replicas and of the parts that were there.
#[derive(Debug, Default)]
pub struct Blame {
    flights: Flights,
    answered: Answered,
    evidence: Evidence,
    /// The verdict on `evidence`; `None` after a change.
    fatal: Option<Arc<[Fatal]>>,
}

impl Blame {
    /// Records that a request is sent to a replica.
    pub fn begin(&mut self, replica: EndId, parts: Parts, now: Time) -> Flight {
        self.flights.begin(replica, parts, now)
    }

    /// Records that a replica has begun to answer a request. It has outlived what was lost there
    /// before the request was sent.
    pub fn begun(&mut self, flight: Flight, now: Time) {
        if let Some((replica, sent)) = self.flights.sent(flight) {
            self.alive(replica, sent, now);
        }
    }

    /// Records that a request ended without telling anything about its parts.
    pub fn forget(&mut self, flight: Flight) {
        self.flights.remove(flight);
    }

    /// Records that a request got its whole answer. Returns whether the verdict may have changed.
    pub fn answered(&mut self, flight: Flight, now: Time) -> bool {
        let Some(parts) = self.flights.remove(flight) else { return false };
        self.clear(&parts, now)
    }

    /// Records that a request's connection ended before its answer was certainly whole. `unframed`
    /// tells whether only the end of the connection ended the answer, which is whole then if the
    /// replica has outlived it. Returns whether this is new evidence, because the replica is known
    /// to have ended.
    pub fn lost(&mut self, flight: Flight, unframed: bool, now: Time) -> bool {
        let Some((replica, parts)) = self.flights.lose(flight, unframed, now) else {
            return false;
        };
        self.evidence.has_ended(replica) && self.accuse(replica, &parts, now)
    }

    /// Records that a replica ran at the time `at` or later. It has outlived what was lost there
    /// before. Returns whether something was lost there since.
    pub fn alive(&mut self, replica: EndId, at: Time, now: Time) -> bool {
        for parts in self.flights.outlived(replica, at) {
            self.clear(&parts, now);
        }
        self.flights.has_lost(replica)
    }

    /// Whether requests are at a replica or were lost there lately.
    pub fn has_flights(&self, replica: EndId, now: Time) -> bool {
        !self.flights.at(replica, now).is_empty()
    }

    /// Whether a replica is known to have ended.
    pub fn has_ended(&self, replica: EndId) -> bool {
        self.evidence.has_ended(replica)
    }

    /// Whether all parts were answered whole before, as far as this instance knows.
    pub fn all_answered(&self, parts: &[PartKey]) -> bool {
        parts.iter().all(|part| self.answered.last(*part).is_some())
    }

    /// Records the end of a replica, and returns whether this is new evidence against a part.
    pub fn replica_ended(&mut self, replica: EndId, now: Time) -> bool {
        if self.evidence.note_end(replica, now) {
            self.fatal = None;
        }
        let mut news = false;
        for parts in self.flights.at(replica, now) {
            news |= self.accuse(replica, &parts, now);
        }
        news
    }

    /// Merges a peer's report, and returns whether it held anything new.
    pub fn merge(&mut self, report: &Report, now: Time) -> bool {
        let mut news = false;
        for suspect in &report.suspects {
            if let Some(last) = self.answered.last(suspect.part) {
                self.evidence.ensure(suspect.part);
                self.evidence.answered(suspect.part, last, true);
            }
            news |= self.evidence.merge(suspect, now);
        }
        // Requests of this instance may have been at the replicas that ended.
        let new_ends = self.evidence.take_new_ends();
        if !new_ends.is_empty() {
            self.fatal = None;
        }
        for replica in new_ends {
            for parts in self.flights.at(replica, now) {
                news |= self.accuse(replica, &parts, now);
            }
        }
        if news {
            self.fatal = None;
        }
        news
    }

    /// The evidence for peers, most important first.
    pub fn report(&mut self, now: Time) -> Report {
        let fatal = self.fatal(now);
        let named = |part: &PartKey| fatal.iter().any(|f| f.parts.contains(part));
        self.evidence.report(named, now)
    }

    /// The evidence against one part; `None` if there is none.
    pub fn report_on(&mut self, part: PartKey, now: Time) -> Option<SuspectReport> {
        self.report(now).suspects.into_iter().find(|s| s.part == part)
    }

    /// The fatal parts. Parts that can't be told apart are together.
    pub fn fatal(&mut self, now: Time) -> Arc<[Fatal]> {
        if self.evidence.expire(now) {
            self.fatal = None;
        }
        let evidence = &self.evidence;
        self.fatal.get_or_insert_with(|| verdict::judge(evidence).into()).clone()
    }

    /// Whether a request with these shared parts may be sent.
    pub fn admit(&mut self, parts: &[PartKey], now: Time) -> Admission {
        if parts.is_empty() || self.evidence.is_empty() {
            return Admission::Free;
        }
        let fatal = self.fatal(now);
        let Some(found) = fatal.iter().find(|f| f.parts.iter().all(|p| parts.contains(p))) else {
            return Admission::Free;
        };
        let part = found.parts[0];
        let taken = self.evidence.trials(part);
        let trial = TRIAL_DELAYS.get(usize::from(taken)).map(|delay| found.since.after(*delay));
        match trial {
            Some(at) if at.passed(now) => Admission::Trial { part, number: taken },
            Some(until) => Admission::Barred { part, ends: found.ends, since: found.since, until },
            None => {
                let until = self.evidence.deadline(part).unwrap_or(now);
                Admission::Barred { part, ends: found.ends, since: found.since, until }
            }
        }
    }

    /// Records that trial `number` of a part was taken, by this instance or another.
    pub fn trial_taken(&mut self, part: PartKey, number: u8) {
        self.evidence.trial_taken(part, number);
    }

    fn clear(&mut self, parts: &[PartKey], now: Time) -> bool {
        let mut changed = false;
        for part in parts {
            self.answered.insert(*part, now);
            changed |= self.evidence.answered(*part, now, true);
        }
        if changed {
            self.fatal = None;
        }
        changed
    }

    fn accuse(&mut self, replica: EndId, parts: &[PartKey], now: Time) -> bool {
        let mut news = false;
        for part in parts {
            self.evidence.ensure(*part);
            if let Some(last) = self.answered.last(*part) {
                self.evidence.answered(*part, last, true);
            }
            news |= self.evidence.accuse(*part, replica, now);
        }
        if news {
            self.fatal = None;
        }
        news
    }
}
