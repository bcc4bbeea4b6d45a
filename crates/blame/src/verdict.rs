//! The verdict: which parts are fatal.

use ident::Time;

use crate::{
    EndId, PartKey,
    evidence::{Evidence, Suspect},
};

/// Parts under which replicas end. If there are several, they can't be told apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fatal {
    /// The parts, sorted; not empty.
    pub parts: Vec<PartKey>,
    /// Number of replicas that ended under them since their last whole answer.
    pub ends: usize,
    /// When the end came that made them fatal.
    pub since: Time,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// None of its parts is fatal.
    Free,
    /// It holds a fatal part.
    Barred {
        /// The first of the fatal parts.
        part: PartKey,
        /// Number of replicas that ended under it since its last whole answer.
        ends: usize,
        /// When the end came that made it fatal.
        since: Time,
        /// When the next trial is due, or the verdict is dropped.
        until: Time,
    },
    /// It holds a fatal part, and may be sent if the instance takes the trial.
    Trial {
        /// The first of the fatal parts.
        part: PartKey,
        /// Number of the trial, from 0.
        number: u8,
    },
}

/// Blames each end on one part, or on several that can't be told apart: the part with most ends
/// takes all of its ends, and what is left is judged again.
pub(crate) fn judge(evidence: &Evidence) -> Vec<Fatal> {
    let mut explained: Vec<EndId> = Vec::new();
    let mut out: Vec<Fatal> = Vec::new();
    loop {
        let open = |s: &Suspect| -> Vec<EndId> {
            let ends = s.open_ends().iter().map(|(end, _)| *end);
            let mut ends: Vec<EndId> = ends.filter(|end| !explained.contains(end)).collect();
            ends.sort_unstable();
            ends
        };
        let specific = |s: &Suspect| evidence.is_specific(s);
        let candidates = evidence.suspects().iter().map(|s| (s, open(s)));
        let candidates: Vec<_> =
            candidates.filter(|(s, ends)| ends.len() >= s.fatal_ends() && specific(s)).collect();
        let Some((_, ends)) = candidates.iter().max_by_key(|(_, ends)| ends.len()) else {
            return out;
        };
        let alike = candidates.iter().filter(|(_, other)| other == ends);
        let parts: Vec<PartKey> = alike.clone().map(|(s, _)| s.part).collect();
        let since = alike.map(|(s, _)| s.open_ends()[s.fatal_ends() - 1].1).min();
        let since = since.expect("the part with most ends is one of them");
        let ends = ends.clone();
        out.push(Fatal { parts, ends: ends.len(), since });
        explained.extend(ends);
    }
}
