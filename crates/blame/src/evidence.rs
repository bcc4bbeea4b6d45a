//! The ends of replicas, and the parts of prompts and requests that were there.

use std::{cmp::Reverse, time::Duration};

use ident::Time;

use crate::{
    EndId, Report, SuspectKey, SuspectReport,
    suspect::{ANSWER_REPORT_TTL, SUSPECT_TTL, Suspect, UnderEnd, fatal_since},
};

/// Most parts under suspicion.
const MAX_PARTS: usize = 256;
/// Most requests under suspicion: an end takes all requests at its replica along.
const MAX_REQUESTS: usize = 1024;
/// Most ends of replicas that are known, whatever was there.
const MAX_ENDED: usize = 256;
/// Ends since a suspect's last whole answer that make it fatal.
const FATAL_ENDS: usize = 3;
/// The same for a suspect that was ever answered whole.
const FATAL_ENDS_ANSWERED: usize = 6;
/// How long after its start an instance waits for more ends, or a peer's word, before it blames what
/// it saw alone.
const YOUNG: Duration = Duration::from_secs(3);
/// Ends this long before or after one under a suspect are counted beside it.
const NEAR: Duration = Duration::from_secs(1);
/// Shortest interval between two looks for suspicions to drop.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Evidence that is dropped sooner than this is not passed on, so that instances don't hand it to
/// each other again after it was dropped.
const FORWARD_MARGIN: Duration = Duration::from_secs(30);

/// The end of a replica.
#[derive(Debug, Clone, Copy)]
struct Ended {
    replica: EndId,
    /// The earliest known time of it.
    at: Time,
    /// Whether an instance found it at that time; otherwise that is when a suspect was sent there.
    found: bool,
    /// Whether it tells something about what was there: it was not announced, or took requests
    /// along.
    counts: bool,
}

/// All suspects, and the ends of replicas that are known.
///
/// Invariant: `suspects` is sorted by key and has at most [`MAX_PARTS`] parts and [`MAX_REQUESTS`]
/// requests. The ends under a suspect have the times in `ended`.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    suspects: Vec<Suspect>,
    /// Replicas that ended. Sorted by id.
    ended: Vec<Ended>,
    /// Ends that peers reported and that were not known before.
    new_ends: Vec<EndId>,
    /// Until when this instance has just started: it may not have heard of whole answers.
    young_until: Time,
    /// Whether that time had not passed at the last [`Evidence::expire`].
    is_young: bool,
    /// When suspicions were last dropped.
    expired_at: Time,
    /// Whether anything changed on which the verdict depends since [`Evidence::take_changed`].
    changed: bool,
}

impl Evidence {
    pub(crate) fn new(now: Time) -> Self {
        Self { young_until: now.after(YOUNG), is_young: true, ..Self::default() }
    }

    /// Whether a suspect has enough open ends to be fatal. Replicas that are lost together are at one
    /// moment under everything that many requests hold, and the next whole answer shows it.
    pub(crate) fn has_fatal_ends(&self, suspect: &Suspect) -> bool {
        let mut ends = suspect.open_ends();
        let (first, last) = (ends.next(), ends.next_back());
        let is_spread =
            first.zip(last).is_some_and(|(first, last)| last.at.since(first.at) >= NEAR);
        let counts = is_spread || suspect.answer.is_none();
        counts && fatal_since(suspect.open_ends(), self.fatal_ends(suspect)).is_some()
    }

    /// Whether anything changed on which the verdict depends since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Number of open ends that make a suspect fatal.
    pub(crate) fn fatal_ends(&self, suspect: &Suspect) -> usize {
        let unsure = self.is_young && suspect.heard < FATAL_ENDS;
        if suspect.answer.is_some() || unsure { FATAL_ENDS_ANSWERED } else { FATAL_ENDS }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    pub(crate) fn suspects(&self) -> &[Suspect] {
        &self.suspects
    }

    /// Number of ends near those of `ends`, which are among them, without the ones in `explained`.
    pub(crate) fn count_near(&self, ends: &[(EndId, Time)], explained: &[EndId]) -> usize {
        let near = |at: Time| ends.iter().any(|(_, end)| at.since(*end).max(end.since(at)) <= NEAR);
        let other = |e: &&Ended| e.counts && !explained.contains(&e.replica);
        self.ended.iter().filter(other).filter(|e| near(e.at)).count()
    }

    pub(crate) fn has_ended(&self, replica: EndId) -> bool {
        self.find_end(replica).is_ok()
    }

    fn find_end(&self, replica: EndId) -> Result<usize, usize> {
        self.ended.binary_search_by_key(&replica, |e| e.replica)
    }

    /// Records that a replica was found to have ended at the time `at` or before. `counts` tells
    /// whether that may be due to what was there.
    pub(crate) fn note_end(&mut self, replica: EndId, counts: bool, at: Time) {
        self.put_end(Ended { replica, at, found: true, counts });
    }

    /// The same for what a peer found.
    pub(crate) fn merge_end(&mut self, replica: EndId, at: Time) {
        if !self.has_ended(replica) {
            self.new_ends.push(replica);
        }
        self.note_end(replica, true, at);
    }

    fn put_end(&mut self, end: Ended) {
        let found = match self.find_end(end.replica) {
            Ok(found) => found,
            Err(at) => {
                self.changed = true;
                self.ended.insert(at, end);
                if self.ended.len() > MAX_ENDED {
                    let oldest = (0..self.ended.len()).min_by_key(|at| self.ended[*at].at);
                    self.ended.remove(oldest.expect("there are ends"));
                }
                return;
            }
        };
        let known = &mut self.ended[found];
        self.changed |= end.counts && !known.counts;
        known.counts |= end.counts;
        if end.found && (!known.found || end.at < known.at) {
            (known.found, known.at) = (true, end.at);
            self.changed = true;
            self.suspects.iter_mut().for_each(|s| s.redate(end.replica, end.at));
        }
    }

    /// Takes the ends that peers reported since the last call.
    pub(crate) fn take_new_ends(&mut self) -> Vec<EndId> {
        std::mem::take(&mut self.new_ends)
    }

    /// Creates the entry of a suspect if there is none.
    pub(crate) fn ensure(&mut self, key: SuspectKey) {
        if let Err(at) = self.position(key) {
            let (ends, mentioned) = (Vec::new(), Time(0));
            let suspect = Suspect {
                key,
                ends,
                answer: None,
                own: false,
                heard: 0,
                refuted: None,
                mentioned,
                trials: 0,
            };
            self.suspects.insert(at, suspect);
        }
    }

    /// Records that a replica ended under a suspect of this instance, which was sent there at the
    /// time `sent`. Returns whether that was not known.
    pub(crate) fn accuse(
        &mut self,
        key: SuspectKey,
        replica: EndId,
        sent: Time,
        now: Time,
    ) -> bool {
        self.note_end(replica, true, now);
        self.ensure(key);
        let new = self.add_end(key, replica, sent, now);
        let at = self.position(key).expect("the entry was created");
        let suspect = &mut self.suspects[at];
        (suspect.mentioned, suspect.own) = (now, true);
        self.evict(key.is_request());
        new
    }

    /// Adds a known end to a suspect's.
    fn add_end(&mut self, key: SuspectKey, replica: EndId, sent: Time, now: Time) -> bool {
        let at = self.find_end(replica).map_or(now, |at| self.ended[at].at);
        let found = self.position(key).expect("the entry was created");
        let suspect = &mut self.suspects[found];
        let redated = suspect.redate_sent(replica, sent);
        let new = suspect.add_end(UnderEnd { replica, sent, at });
        self.changed |= new || redated;
        new
    }

    /// Records a whole answer to a request with something that is under suspicion. `own` tells whether
    /// this instance saw it. Returns whether the verdict may have changed.
    pub(crate) fn answered(&mut self, key: SuspectKey, at: Time, own: bool) -> bool {
        let Ok(found) = self.position(key) else { return false };
        let suspect = &mut self.suspects[found];
        let open = suspect.open_count();
        let first = suspect.answer.is_none();
        suspect.answer = Some(match suspect.answer {
            Some((last, own_last)) if last > at || (last == at && own_last) => (last, own_last),
            _ => (at, own),
        });
        let changed = first || suspect.open_count() != open;
        self.changed |= changed;
        changed
    }

    /// Merges what a peer reports of a suspect, and returns whether it held anything that peers should
    /// hear of at once.
    pub(crate) fn merge(&mut self, report: &SuspectReport, now: Time) -> bool {
        self.ensure(report.key);
        let mut new = false;
        for (replica, age) in &report.ends {
            let sent = now.before(*age);
            if !self.has_ended(*replica) {
                self.new_ends.push(*replica);
                self.put_end(Ended { replica: *replica, at: sent, found: false, counts: true });
            }
            let found = self.position(report.key).expect("the entry was created");
            let suspect = &mut self.suspects[found];
            if sent.after(SUSPECT_TTL).passed(now) && suspect.ends.is_empty() {
                continue;
            }
            new |= self.add_end(report.key, *replica, sent, now);
            let suspect = &mut self.suspects[found];
            suspect.mentioned = now;
            suspect.heard = suspect.heard.max(report.ends.len());
        }
        if let Some(age) = report.answer {
            new |= self.answered(report.key, now.before(age), false);
        }
        let found = self.position(report.key).expect("the entry was created");
        let suspect = &mut self.suspects[found];
        if suspect.refutes(report) {
            suspect.refuted = Some(now);
        }
        if report.trials > suspect.trials {
            suspect.trials = report.trials;
            new = true;
        }
        let is_news = new && suspect.is_news();
        if suspect.ends.is_empty() {
            self.suspects.remove(found);
        }
        self.evict(report.key.is_request());
        is_news
    }

    /// The evidence for peers, at most `bytes` in a datagram: suspects that this instance can refute
    /// at a peer, the last first; and those that `named` tells, then those with most ends, then its
    /// own, then the youngest.
    pub(crate) fn report<F>(&self, named: F, bytes: usize, now: Time) -> Report
    where
        F: Fn(&SuspectKey) -> bool,
    {
        let mut fresh: Vec<&Suspect> = self
            .suspects
            .iter()
            .filter(|s| !self.expires(s).before(FORWARD_MARGIN).passed(now))
            .collect();
        let report = |s: &Suspect| {
            let mentioned = now.since(s.mentioned) < ANSWER_REPORT_TTL;
            SuspectReport {
                key: s.key,
                ends: s.open_ends().map(|e| (e.replica, now.since(e.sent))).collect(),
                answer: s.answer.filter(|(_, own)| *own && mentioned).map(|(at, _)| now.since(at)),
                trials: s.trials,
            }
        };
        // A peer goes on telling of what is fatal to it until it has heard of the answer.
        fresh.sort_by_key(|s| Reverse(s.refuted_lately(now)));
        let refuted: Vec<SuspectReport> = fresh
            .iter()
            .take_while(|s| s.refuted_lately(now).is_some())
            .map(|s| report(s))
            .collect();
        fresh.sort_by_key(|s| {
            (!named(&s.key), Reverse((s.open_count(), s.own, s.mentioned)), s.key)
        });
        let suspects = fresh.into_iter().map(report);
        let mut ended: Vec<&Ended> = self.ended.iter().filter(|e| e.found && e.counts).collect();
        ended.sort_by_key(|e| Reverse(e.at));
        let ended = ended.into_iter().map(|e| (e.replica, now.since(e.at)));
        let suspects = suspects.filter(|s| !s.ends.is_empty() || s.answer.is_some());
        Report::within(bytes, &refuted, suspects, ended)
    }

    pub(crate) fn trials(&self, key: SuspectKey) -> u8 {
        self.position(key).map_or(0, |at| self.suspects[at].trials)
    }

    pub(crate) fn trial_taken(&mut self, key: SuspectKey, number: u8) {
        if let Ok(at) = self.position(key) {
            let suspect = &mut self.suspects[at];
            suspect.trials = suspect.trials.max(number.saturating_add(1));
        }
    }

    /// When a suspicion is dropped.
    pub(crate) fn deadline(&self, key: SuspectKey) -> Option<Time> {
        self.position(key).ok().map(|at| self.expires(&self.suspects[at]))
    }

    fn expires(&self, suspect: &Suspect) -> Time {
        suspect.deadline(self.fatal_ends(suspect))
    }

    /// Drops suspicions whose time is over, once a second at most.
    pub(crate) fn expire(&mut self, now: Time) {
        let grown = self.is_young && self.young_until.passed(now);
        self.is_young &= !grown;
        self.changed |= grown;
        if now.since(self.expired_at) < EXPIRE_INTERVAL {
            return;
        }
        self.expired_at = now;
        let before = self.suspects.len();
        let suspects = std::mem::take(&mut self.suspects);
        self.suspects = suspects.into_iter().filter(|s| !self.expires(s).passed(now)).collect();
        self.changed |= self.suspects.len() != before;
    }

    /// Drops the request, or part, with the fewest open ends, of these the one mentioned longest ago,
    /// while there are too many.
    fn evict(&mut self, requests: bool) {
        let max = if requests { MAX_REQUESTS } else { MAX_PARTS };
        loop {
            // Parts come first in the order of keys.
            let parts = self.suspects.partition_point(|s| !s.key.is_request());
            let alike = if requests { parts..self.suspects.len() } else { 0..parts };
            if alike.len() <= max {
                return;
            }
            let alike = alike.map(|at| (at, &self.suspects[at]));
            let least = alike.min_by_key(|(_, s)| (s.open_count(), s.mentioned));
            let (at, _) = least.expect("there are suspects");
            self.suspects.remove(at);
        }
    }

    fn position(&self, key: SuspectKey) -> Result<usize, usize> {
        self.suspects.binary_search_by_key(&key, |s| s.key)
    }
}
