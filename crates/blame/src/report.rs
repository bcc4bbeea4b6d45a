//! What instances tell each other.

use std::time::Duration;

use ident::Digest;
use serde::{Deserialize, Serialize};

use crate::{EndId, SuspectKey};

/// Ages travel in units of this.
const AGE_UNIT: Duration = Duration::from_millis(10);
/// One in this many bytes of a report is for ends of replicas.
const ENDED_DIVISOR: usize = 3;

/// One in this many bytes of the rest is for suspects that this instance can refute at a peer.
const REFUTED_DIVISOR: usize = 4;

/// Evidence against and for suspects, most important first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// The suspects.
    pub suspects: Vec<SuspectReport>,
    /// Replicas that ended, whatever was there, each with the time since.
    pub ended: Vec<(EndId, Duration)>,
}

/// Evidence against and for one suspect. In a table's row it is an object with one field for each
/// of its own; `part` or `request` holds the key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RowWire", into = "RowWire")]
pub struct SuspectReport {
    /// The suspect.
    pub key: SuspectKey,
    /// The replicas that ended under it since its last whole answer, each with the time since it was
    /// first sent there.
    pub ends: Vec<(EndId, Duration)>,
    /// Time since the last whole answer that the sender saw; `None` if it saw none.
    pub answer: Option<Duration>,
    /// Number of trials that were taken.
    pub trials: u8,
}

#[derive(Serialize, Deserialize)]
struct RowWire {
    #[serde(flatten)]
    key: SuspectKey,
    /// Digest of an end, and time since the suspect was sent there.
    ends: Vec<(u32, u32)>,
    answer: Option<u32>,
    trials: u8,
}

/// A [`SuspectReport`] in a datagram. The order of its fields is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectWire<K> {
    key: K,
    /// Digest of an end, and time since the suspect was sent there.
    ends: Vec<(u32, u32)>,
    answer: Option<u32>,
    trials: u8,
}

/// A [`Report`] in a datagram.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportWire {
    /// The suspects that are parts.
    pub parts: Vec<SuspectWire<u64>>,
    /// The suspects that are requests.
    pub requests: Vec<SuspectWire<[u8; 16]>>,
    /// Digests of ends and their ages.
    pub ended: Vec<(u32, u32)>,
}

fn to_units(age: Duration) -> u32 {
    u32::try_from(age.as_millis() / AGE_UNIT.as_millis()).unwrap_or(u32::MAX)
}

fn from_units(units: u32) -> Duration {
    AGE_UNIT.saturating_mul(units)
}

impl<K> SuspectWire<K> {
    fn new(key: K, report: &SuspectReport) -> Self {
        let SuspectReport { ends, answer, trials, .. } = report;
        let ends = ends.iter().map(|(end, age)| (end.0, to_units(*age))).collect();
        Self { key, ends, answer: answer.map(to_units), trials: *trials }
    }

    fn into_report<F>(self, to_key: F) -> SuspectReport
    where
        F: FnOnce(K) -> SuspectKey,
    {
        let Self { key, ends, answer, trials } = self;
        let ends = ends.into_iter().map(|(end, units)| (EndId(end), from_units(units))).collect();
        SuspectReport { key: to_key(key), ends, answer: answer.map(from_units), trials }
    }
}

impl From<SuspectReport> for RowWire {
    fn from(report: SuspectReport) -> Self {
        let SuspectWire { key, ends, answer, trials } = SuspectWire::new(report.key, &report);
        Self { key, ends, answer, trials }
    }
}

impl From<RowWire> for SuspectReport {
    fn from(wire: RowWire) -> Self {
        let RowWire { key, ends, answer, trials } = wire;
        SuspectWire { key, ends, answer, trials }.into_report(|key| key)
    }
}

impl From<&Report> for ReportWire {
    fn from(report: &Report) -> Self {
        let ended = report.ended.iter().map(|(end, age)| (end.0, to_units(*age))).collect();
        let mut wire = Self { ended, ..Self::default() };
        for suspect in &report.suspects {
            match suspect.key {
                SuspectKey::Part(key) => wire.parts.push(SuspectWire::new(key, suspect)),
                SuspectKey::Request(Digest(key)) => {
                    wire.requests.push(SuspectWire::new(key, suspect));
                }
            }
        }
        wire
    }
}

impl From<ReportWire> for Report {
    fn from(wire: ReportWire) -> Self {
        let parts = wire.parts.into_iter().map(|s| s.into_report(SuspectKey::Part));
        let to_key = |key| SuspectKey::Request(Digest(key));
        let requests = wire.requests.into_iter().map(|s| s.into_report(to_key));
        let ended = wire.ended.into_iter().map(|(end, units)| (EndId(end), from_units(units)));
        Self { suspects: parts.chain(requests).collect(), ended: ended.collect() }
    }
}

impl SuspectReport {
    /// Bytes that it takes in a datagram.
    fn size(&self) -> usize {
        let size = match self.key {
            SuspectKey::Part(key) => postcard::to_stdvec(&SuspectWire::new(key, self)),
            SuspectKey::Request(Digest(key)) => postcard::to_stdvec(&SuspectWire::new(key, self)),
        };
        size.map_or(usize::MAX, |bytes| bytes.len())
    }
}

/// The first of `items` that take at most `bytes` together, and what they take.
fn within<I, F>(bytes: usize, items: I, size: F) -> (Vec<I::Item>, usize)
where
    I: Iterator,
    F: Fn(&I::Item) -> usize,
{
    let mut left = bytes;
    let fits = items.take_while(|item| {
        let size = size(item);
        let fits = size <= left;
        left -= if fits { size } else { 0 };
        fits
    });
    let fits = fits.collect();
    (fits, bytes - left)
}

impl Report {
    /// The first of `refuted`, of the other `suspects` and of `ended` that take at most `bytes` in a
    /// datagram together.
    pub(crate) fn within<S, E>(
        bytes: usize,
        refuted: &[SuspectReport],
        suspects: S,
        ended: E,
    ) -> Self
    where
        S: Iterator<Item = SuspectReport>,
        E: Iterator<Item = (EndId, Duration)>,
    {
        // The lengths of the three lists take up to two bytes each.
        let bytes = bytes.saturating_sub(6);
        let end_size = |(end, age): &(EndId, Duration)| {
            postcard::to_stdvec(&(end.0, to_units(*age))).map_or(usize::MAX, |bytes| bytes.len())
        };
        let (ended, used) = within(bytes / ENDED_DIVISOR, ended, end_size);
        let bytes = bytes - used;
        let refuted = refuted.iter().cloned();
        let (mut first, used) = within(bytes / REFUTED_DIVISOR, refuted, SuspectReport::size);
        let suspects = suspects.filter(|s| first.iter().all(|f| f.key != s.key));
        let (suspects, _) = within(bytes - used, suspects, SuspectReport::size);
        first.extend(suspects);
        Self { suspects: first, ended }
    }
}
