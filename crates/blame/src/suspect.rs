//! What replicas may end under, with the ends that are known of it.

use std::time::Duration;

use ident::{Digest, Time};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::SuspectReport;

/// Most ends that are kept for a suspect.
const MAX_ENDS: usize = 16;
/// Ends within this time of each other are one moment: what ends a replica is at one at a time, so
/// replicas that end together were lost together.
const MOMENT: Duration = Duration::from_millis(50);
/// How much later than a replica ended a suspect may seem to have been sent there, as times are known
/// from datagrams.
const SENT_MARGIN: Duration = Duration::from_millis(250);
/// How long after its last end something is under suspicion.
pub(crate) const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// The same for what is fatal.
const FATAL_TTL: Duration = Duration::from_secs(3600);
/// How long after it was last mentioned a whole answer is reported to peers.
pub(crate) const ANSWER_REPORT_TTL: Duration = Duration::from_secs(10);

/// What replicas may end under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectKey {
    /// Digest of a shared part of a prompt.
    Part(u64),
    /// Digest of a request that may come again. Nobody can find a second request with the same one.
    Request(Digest),
}

impl SuspectKey {
    /// The key of part `id` for `model`. Parts of a dedicated team are told from those of others.
    pub fn part(model: &str, team: Option<&str>, id: &str) -> Self {
        Self::Part(xxh3_64(format!("{model}\0{}\0{id}", team.unwrap_or_default()).as_bytes()))
    }

    /// The digest, or its first 64 bits.
    pub fn short(&self) -> u64 {
        match self {
            Self::Part(digest) => *digest,
            Self::Request(Digest(bytes)) => {
                u64::from_be_bytes(bytes[..8].try_into().expect("8 bytes"))
            }
        }
    }

    pub(crate) fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
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

/// A part or request that was at replicas which ended.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    pub(crate) key: SuspectKey,
    /// The incarnations that ended. Sorted by the time of their ends.
    pub(crate) ends: Vec<UnderEnd>,
    /// The last whole answer that is known, and whether this instance saw it.
    pub(crate) answer: Option<(Time, bool)>,
    /// Whether this instance had a request with it at a replica that ended.
    pub(crate) own: bool,
    /// Most ends under it that one peer, or a stored verdict, told of.
    pub(crate) heard: usize,
    /// When a peer last told of an end before a whole answer that this instance saw.
    pub(crate) refuted: Option<Time>,
    /// When a peer or an end last mentioned it.
    pub(crate) mentioned: Time,
    /// Number of trials that were taken.
    pub(crate) trials: u8,
}

/// The end of a replica at which a suspect was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UnderEnd {
    pub(crate) replica: EndId,
    /// When the suspect was first sent there, as far as is known.
    pub(crate) sent: Time,
    /// The earliest known time of the end.
    pub(crate) at: Time,
}

impl UnderEnd {
    /// Whether the suspect was there before the replica ended. It may have been sent on a connection
    /// that was left of a replica which had ended.
    pub(crate) fn counts(&self) -> bool {
        self.sent <= self.at.after(SENT_MARGIN)
    }
}

impl Suspect {
    /// The ends since the last whole answer, in the order of their times.
    pub(crate) fn open_ends(&self) -> impl DoubleEndedIterator<Item = &UnderEnd> {
        let answer = self.answer.map(|(at, _)| at);
        self.ends.iter().filter(move |e| e.counts() && answer.is_none_or(|at| e.at > at))
    }

    pub(crate) fn open_count(&self) -> usize {
        self.open_ends().count()
    }

    /// When the suspicion is dropped, if `fatal_ends` open ends make it fatal.
    pub(crate) fn deadline(&self, fatal_ends: usize) -> Time {
        let ttl = if self.open_count() >= fatal_ends { FATAL_TTL } else { SUSPECT_TTL };
        let last = self.ends.last().map_or(self.mentioned, |e| e.at);
        last.after(ttl)
    }

    /// Whether peers should hear of it at once. A request with one end is most likely a sound one
    /// that was at the replica by chance; whoever saw that tells it.
    pub(crate) fn is_news(&self) -> bool {
        !self.key.is_request() || self.own || self.open_count() > 1
    }

    /// Whether a peer's report holds ends that came before a whole answer which this instance saw.
    pub(crate) fn refutes(&self, report: &SuspectReport) -> bool {
        let Some((answer, true)) = self.answer else { return false };
        let is_reported = |e: &&UnderEnd| report.ends.iter().any(|(id, _)| *id == e.replica);
        self.ends.iter().filter(is_reported).any(|e| e.at <= answer)
    }

    /// When a peer last held ends against it despite a whole answer which this instance saw; `None`
    /// if that is long ago.
    pub(crate) fn refuted_lately(&self, now: Time) -> Option<Time> {
        self.refuted.filter(|at| now.since(*at) < ANSWER_REPORT_TTL)
    }

    /// Applies an earlier time at which the suspect was sent to a replica. Returns whether the end of
    /// that replica counts now and did not before.
    pub(crate) fn redate_sent(&mut self, replica: EndId, sent: Time) -> bool {
        let Some(known) = self.ends.iter_mut().find(|e| e.replica == replica) else { return false };
        let counted = known.counts();
        known.sent = known.sent.min(sent);
        known.counts() != counted
    }

    /// Adds an end. Returns whether it was not known.
    pub(crate) fn add_end(&mut self, end: UnderEnd) -> bool {
        if self.ends.iter().any(|e| e.replica == end.replica) {
            return false;
        }
        let at = self.ends.partition_point(|e| (e.at, e.replica) < (end.at, end.replica));
        if at == 0 && self.ends.len() == MAX_ENDS {
            return false;
        }
        self.ends.insert(at, end);
        if self.ends.len() > MAX_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Applies an earlier time of an end.
    pub(crate) fn redate(&mut self, replica: EndId, at: Time) {
        if let Some(known) = self.ends.iter_mut().find(|e| e.replica == replica) {
            known.at = at;
            self.ends.sort_unstable_by_key(|e| (e.at, e.replica));
        }
    }
}

/// When the last of `count` ends at different moments came, if there are so many. `ends` are in the
/// order of their times.
pub(crate) fn fatal_since<'e, I>(ends: I, count: usize) -> Option<Time>
where
    I: Iterator<Item = &'e UnderEnd>,
{
    let mut moment: Option<Time> = None;
    let is_next = |e: &&UnderEnd| {
        let next = moment.is_none_or(|at| e.at.since(at) > MOMENT);
        moment = if next { Some(e.at) } else { moment };
        next
    };
    ends.filter(is_next).nth(count - 1).map(|e| e.at)
}
