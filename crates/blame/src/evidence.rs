//! The ends of replicas and the parts that were there.

use std::time::Duration;

use ident::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Report, SuspectReport};

/// Most parts under suspicion.
const MAX_SUSPECTS: usize = 256;
/// Most ends that are kept for a part.
const MAX_ENDS: usize = 16;
/// Ends since a part's last whole answer that make it fatal.
const FATAL_ENDS: usize = 3;
/// The same for a part that was ever answered whole.
const FATAL_ENDS_ANSWERED: usize = 6;
/// Ends this long before the first and after the last one under a part are counted beside them.
const SPAN_MARGIN: Duration = Duration::from_millis(500);
/// How long after its last end a part is under suspicion.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// The same for a part that is fatal.
const FATAL_TTL: Duration = Duration::from_secs(3600);
/// Evidence that is dropped sooner than this is not passed on, so that instances don't hand it to
/// each other again after it was dropped.
const FORWARD_MARGIN: Duration = Duration::from_secs(30);
/// How long after it was last mentioned a whole answer is reported to peers.
const ANSWER_REPORT_TTL: Duration = Duration::from_secs(10);

/// Digest of a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartKey(pub u64);

impl PartKey {
    /// The digest of part `id` for `model`. Parts of a dedicated team are told from those of
    /// others.
    pub fn new(model: &str, team: Option<&str>, id: &str) -> Self {
        Self(xxh3_64(format!("{model}\0{}\0{id}", team.unwrap_or_default()).as_bytes()))
    }
}

/// Digest of an incarnation of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndId(pub u32);

impl EndId {
    /// The digest of the incarnation of replica `id` that started at `started_ms`.
    pub fn new(id: &str, started_ms: u64) -> Self {
        Self(xxh3_64(format!("{id}\0{started_ms}").as_bytes()) as u32)
    }
}

/// A part that was at replicas which ended.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    pub(crate) part: PartKey,
    /// The incarnations that ended, with the earliest known time of each. Sorted by time.
    pub(crate) ends: Vec<(EndId, Time)>,
    /// The last whole answer that is known, and whether this instance saw it.
    pub(crate) answer: Option<(Time, bool)>,
    /// When a peer or an end last mentioned the part.
    mentioned: Time,
    /// Number of trials that were taken.
    trials: u8,
}

impl Suspect {
    /// The ends since the last whole answer.
    pub(crate) fn open_ends(&self) -> &[(EndId, Time)] {
        let from = match self.answer {
            Some((answer, _)) => self.ends.partition_point(|(_, at)| *at <= answer),
            None => 0,
        };
        &self.ends[from..]
    }

    /// Number of open ends that make the part fatal.
    pub(crate) fn fatal_ends(&self) -> usize {
        if self.answer.is_some() { FATAL_ENDS_ANSWERED } else { FATAL_ENDS }
    }

    /// When the suspicion is dropped.
    fn deadline(&self) -> Time {
        let ttl = if self.open_ends().len() >= self.fatal_ends() { FATAL_TTL } else { SUSPECT_TTL };
        let last = self.ends.last().map_or(self.mentioned, |(_, at)| *at);
        last.after(ttl)
    }

    fn add_end(&mut self, end: EndId, at: Time) -> bool {
        match self.ends.iter().position(|(e, _)| *e == end) {
            // Whoever knows the earlier time is closer to the end.
            Some(found) if at < self.ends[found].1 => {
                self.ends[found].1 = at;
                self.ends.sort_by_key(|(end, at)| (*at, *end));
                false
            }
            Some(_) => false,
            None => {
                self.ends.push((end, at));
                self.ends.sort_by_key(|(end, at)| (*at, *end));
                if self.ends.len() > MAX_ENDS {
                    self.ends.remove(0);
                }
                true
            }
        }
    }
}

/// All suspects, and the ends of replicas that are known.
///
/// Invariant: `suspects` is sorted by part and has at most [`MAX_SUSPECTS`] entries.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    suspects: Vec<Suspect>,
    /// Replicas that ended, with the time at which this instance learned it. Oldest first.
    ended: Vec<(EndId, Time)>,
    /// Ends that peers reported and that were not known before.
    new_ends: Vec<EndId>,
}

impl Evidence {
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    pub(crate) fn suspects(&self) -> &[Suspect] {
        &self.suspects
    }

    /// Whether a suspect was at most of the replicas that ended in the time in which those under it
    /// did. If not, something else has ended them, such as the loss of a zone.
    pub(crate) fn is_specific(&self, suspect: &Suspect) -> bool {
        let open = suspect.open_ends();
        let (Some((_, first)), Some((_, last))) = (open.first(), open.last()) else { return false };
        let (from, to) = (first.before(SPAN_MARGIN), last.after(SPAN_MARGIN));
        let around = self.ended.iter().filter(|(_, at)| (from..=to).contains(at)).count();
        open.len() * 2 >= around
    }

    pub(crate) fn has_ended(&self, replica: EndId) -> bool {
        self.ended.iter().any(|(end, _)| *end == replica)
    }

    /// Records that a replica ended. Returns whether that was not known, which may change the
    /// verdict.
    pub(crate) fn note_end(&mut self, replica: EndId, now: Time) -> bool {
        if self.has_ended(replica) {
            return false;
        }
        self.ended.push((replica, now));
        if self.ended.len() > MAX_SUSPECTS {
            self.ended.remove(0);
        }
        true
    }

    /// Takes the ends that peers reported since the last call.
    pub(crate) fn take_new_ends(&mut self) -> Vec<EndId> {
        std::mem::take(&mut self.new_ends)
    }

    /// Creates the entry of a part if there is none.
    pub(crate) fn ensure(&mut self, part: PartKey) {
        if let Err(at) = self.position(part) {
            let suspect =
                Suspect { part, ends: Vec::new(), answer: None, mentioned: Time(0), trials: 0 };
            self.suspects.insert(at, suspect);
        }
    }

    /// Records that a replica ended under a part. Returns whether that was not known.
    pub(crate) fn accuse(&mut self, part: PartKey, replica: EndId, now: Time) -> bool {
        self.note_end(replica, now);
        self.ensure(part);
        let at = self.position(part).expect("the entry was created");
        self.suspects[at].mentioned = now;
        let new = self.suspects[at].add_end(replica, now);
        self.evict();
        new
    }

    /// Records a whole answer to a request with a part that is under suspicion. `own` tells whether
    /// this instance saw it. Returns whether the verdict may have changed.
    pub(crate) fn answered(&mut self, part: PartKey, at: Time, own: bool) -> bool {
        let Ok(found) = self.position(part) else { return false };
        let suspect = &mut self.suspects[found];
        let open = suspect.open_ends().len();
        let first = suspect.answer.is_none();
        suspect.answer = Some(match suspect.answer {
            Some((last, own_last)) if last > at || (last == at && own_last) => (last, own_last),
            _ => (at, own),
        });
        first || suspect.open_ends().len() != open
    }

    /// Merges what a peer reports of a part, and returns whether it held anything new.
    pub(crate) fn merge(&mut self, report: &SuspectReport, now: Time) -> bool {
        self.ensure(report.part);
        let mut news = false;
        for (end, age) in &report.ends {
            let at = now.before(*age);
            if self.note_end(*end, now) {
                self.new_ends.push(*end);
            }
            let found = self.position(report.part).expect("the entry was created");
            let suspect = &mut self.suspects[found];
            if at.after(SUSPECT_TTL).passed(now) && suspect.ends.is_empty() {
                continue;
            }
            news |= suspect.add_end(*end, at);
            suspect.mentioned = now;
        }
        if let Some(age) = report.answer {
            news |= self.answered(report.part, now.before(age), false);
        }
        let found = self.position(report.part).expect("the entry was created");
        let suspect = &mut self.suspects[found];
        if report.trials > suspect.trials {
            suspect.trials = report.trials;
            news = true;
        }
        if suspect.ends.is_empty() {
            self.suspects.remove(found);
        }
        self.evict();
        news
    }

    /// The evidence for peers: parts that `named` tells first, then those with most ends, then the
    /// youngest.
    pub(crate) fn report<F>(&self, named: F, now: Time) -> Report
    where
        F: Fn(&PartKey) -> bool,
    {
        let mut fresh: Vec<&Suspect> = self
            .suspects
            .iter()
            .filter(|s| !s.deadline().before(FORWARD_MARGIN).passed(now))
            .collect();
        fresh.sort_by_key(|s| {
            let open = s.open_ends().len();
            (!named(&s.part), std::cmp::Reverse((open, s.mentioned)), s.part)
        });
        let suspects = fresh.into_iter().map(|s| {
            let mentioned = now.since(s.mentioned) < ANSWER_REPORT_TTL;
            SuspectReport {
                part: s.part,
                ends: s.open_ends().iter().map(|(end, at)| (*end, now.since(*at))).collect(),
                answer: s.answer.filter(|(_, own)| *own && mentioned).map(|(at, _)| now.since(at)),
                trials: s.trials,
            }
        });
        let suspects = suspects.filter(|s| !s.ends.is_empty() || s.answer.is_some()).collect();
        Report { suspects }
    }

    pub(crate) fn trials(&self, part: PartKey) -> u8 {
        self.position(part).map_or(0, |at| self.suspects[at].trials)
    }

    pub(crate) fn trial_taken(&mut self, part: PartKey, number: u8) {
        if let Ok(at) = self.position(part) {
            let suspect = &mut self.suspects[at];
            suspect.trials = suspect.trials.max(number.saturating_add(1));
        }
    }

    /// When the suspicion of a part is dropped.
    pub(crate) fn deadline(&self, part: PartKey) -> Option<Time> {
        self.position(part).ok().map(|at| self.suspects[at].deadline())
    }

    /// Drops suspicions whose time is over. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Time) -> bool {
        let before = self.suspects.len();
        self.suspects.retain(|s| !s.deadline().passed(now));
        self.suspects.len() != before
    }

    /// Drops the part with the fewest open ends, of these the one mentioned longest ago, while there
    /// are too many.
    fn evict(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self.suspects.iter().enumerate();
            let least = least.min_by_key(|(_, s)| (s.open_ends().len(), s.mentioned));
            let (at, _) = least.expect("there are suspects");
            self.suspects.remove(at);
        }
    }

    fn position(&self, part: PartKey) -> Result<usize, usize> {
        self.suspects.binary_search_by_key(&part, |s| s.part)
    }
}
