//! What instances tell each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{EndId, PartKey};

/// Ages travel in units of this.
const AGE_UNIT: Duration = Duration::from_millis(10);

/// Evidence against and for parts, most important first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// The parts under suspicion.
    pub suspects: Vec<SuspectReport>,
}

/// Evidence against and for one part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "SuspectWire", into = "SuspectWire")]
pub struct SuspectReport {
    /// The part.
    pub part: PartKey,
    /// The replicas that ended under it since its last whole answer, each with the time since.
    pub ends: Vec<(EndId, Duration)>,
    /// Time since the last whole answer that the sender saw; `None` if it saw none.
    pub answer: Option<Duration>,
    /// Number of trials that were taken.
    pub trials: u8,
}

#[derive(Serialize, Deserialize)]
struct SuspectWire {
    part: u64,
    /// Digest of an end and its age.
    ends: Vec<(u32, u32)>,
    answer: Option<u32>,
    trials: u8,
}

fn to_units(age: Duration) -> u32 {
    u32::try_from(age.as_millis() / AGE_UNIT.as_millis()).unwrap_or(u32::MAX)
}

impl From<SuspectReport> for SuspectWire {
    fn from(report: SuspectReport) -> Self {
        Self {
            part: report.part.0,
            ends: report.ends.iter().map(|(end, age)| (end.0, to_units(*age))).collect(),
            answer: report.answer.map(to_units),
            trials: report.trials,
        }
    }
}

impl From<SuspectWire> for SuspectReport {
    fn from(wire: SuspectWire) -> Self {
        let age = |units: u32| AGE_UNIT.saturating_mul(units);
        Self {
            part: PartKey(wire.part),
            ends: wire.ends.into_iter().map(|(end, units)| (EndId(end), age(units))).collect(),
            answer: wire.answer.map(age),
            trials: wire.trials,
        }
    }
}

impl Report {
    /// Drops the least important entries until the rest takes at most `bytes` in a datagram.
    #[must_use]
    pub fn fit(mut self, bytes: usize) -> Self {
        // The length of the list takes up to two bytes.
        let mut left = bytes.saturating_sub(2);
        let fits = self.suspects.iter().take_while(|suspect| {
            let size = postcard::to_stdvec(suspect).map_or(usize::MAX, |bytes| bytes.len());
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        });
        let count = fits.count();
        self.suspects.truncate(count);
        self
    }
}
