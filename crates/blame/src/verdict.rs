//! The verdict: which parts of prompts and requests are fatal.

use ident::Time;

use crate::{
    EndId, SuspectKey,
    evidence::Evidence,
    suspect::{Suspect, fatal_since},
};

/// Most causes that are blamed together where none was at half of the ends by itself.
const MAX_CAUSES: usize = 3;
/// Share of the ends near theirs at which they must have been together. Any three popular suspects
/// were at half of the replicas that are lost together.
const TOGETHER_SHARE: f64 = 0.8;

/// What replicas end under: one request, or one or more parts that can't be told apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fatal {
    /// The request or the parts, sorted; not empty.
    pub suspects: Vec<SuspectKey>,
    /// Number of replicas that ended under them since their last whole answer.
    pub ends: usize,
    /// When the end came that made them fatal.
    pub since: Time,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Neither it nor a part of it is fatal.
    Free,
    /// It is fatal or holds a fatal part.
    Barred {
        /// The request, or the first of the fatal parts.
        suspect: SuspectKey,
        /// Number of replicas that ended under it since its last whole answer.
        ends: usize,
        /// When the end came that made it fatal.
        since: Time,
        /// When the next trial is due, or the verdict is dropped.
        until: Time,
    },
    /// It is fatal or holds a fatal part, and may be sent if the instance takes the trial.
    Trial {
        /// The request, or the first of the fatal parts.
        suspect: SuspectKey,
        /// Number of the trial, from 0.
        number: u8,
    },
}

/// Suspects with the same ends, which explain these.
struct Cause<'e> {
    alike: Vec<&'e Suspect>,
    ends: Vec<(EndId, Time)>,
    /// When the end came that made the first of them fatal.
    since: Time,
}

impl Cause<'_> {
    /// The verdict. A request explains the ends more narrowly than its parts do.
    fn fatal(&self) -> Vec<Fatal> {
        let fatal = |suspects| Fatal { suspects, ends: self.ends.len(), since: self.since };
        let keys: Vec<SuspectKey> = self.alike.iter().map(|s| s.key).collect();
        let requests: Vec<SuspectKey> =
            keys.iter().copied().filter(|k| matches!(k, SuspectKey::Request(_))).collect();
        match requests.is_empty() {
            true => vec![fatal(keys)],
            false => requests.into_iter().map(|key| fatal(vec![key])).collect(),
        }
    }

    fn is_part(&self) -> bool {
        self.alike.iter().all(|s| matches!(s.key, SuspectKey::Part(_)))
    }
}

/// The suspects with most of the ends that are not in `explained`, among those for which `pick`
/// returns true.
fn most_ends<'e, F>(evidence: &'e Evidence, explained: &[EndId], pick: F) -> Option<Cause<'e>>
where
    F: Fn(&Suspect, &[(EndId, Time)]) -> bool,
{
    let open = |s: &Suspect| -> Vec<(EndId, Time)> {
        let ends = s.open_ends().map(|e| (e.replica, e.at));
        let mut ends: Vec<(EndId, Time)> =
            ends.filter(|(end, _)| !explained.contains(end)).collect();
        ends.sort_unstable();
        ends
    };
    let candidates = evidence.suspects().iter().filter(|s| evidence.has_fatal_ends(s));
    let candidates = candidates.map(|s| (s, open(s)));
    let left = |s: &Suspect| {
        let left = s.open_ends().filter(|e| !explained.contains(&e.replica));
        fatal_since(left, evidence.fatal_ends(s)).is_some()
    };
    let candidates: Vec<_> = candidates.filter(|(s, ends)| left(s) && pick(s, ends)).collect();
    let (_, ends) = candidates.iter().max_by_key(|(_, ends)| ends.len())?;
    let ids = |ends: &[(EndId, Time)]| ends.iter().map(|(end, _)| *end).collect::<Vec<_>>();
    let alike = candidates.iter().filter(|(_, other)| ids(other) == ids(ends));
    let alike: Vec<&Suspect> = alike.map(|(s, _)| *s).collect();
    let since = alike.iter().filter_map(|s| fatal_since(s.open_ends(), evidence.fatal_ends(s)));
    let since = since.min()?;
    Some(Cause { alike, ends: ends.clone(), since })
}

/// Causes that together were at [`TOGETHER_SHARE`] or more of the ends near theirs: requests, and one group of
/// parts at most, since a lost zone takes a few popular parts along at all of its replicas.
fn together<'e>(evidence: &'e Evidence, explained: &[EndId]) -> Vec<Cause<'e>> {
    let mut causes: Vec<Cause<'e>> = Vec::new();
    let (mut taken, mut ends) = (explained.to_vec(), Vec::new());
    while causes.len() < MAX_CAUSES {
        let has_part = causes.iter().any(Cause::is_part);
        let pick =
            |s: &Suspect, _: &[(EndId, Time)]| !has_part || matches!(s.key, SuspectKey::Request(_));
        let Some(cause) = most_ends(evidence, &taken, pick) else { break };
        taken.extend(cause.ends.iter().map(|(end, _)| *end));
        ends.extend(cause.ends.iter().copied());
        causes.push(cause);
    }
    let enough = ends.len() as f64 >= evidence.count_near(&ends, explained) as f64 * TOGETHER_SHARE;
    if enough { causes } else { Vec::new() }
}

/// Blames each end on one request, on one part, or on several parts that can't be told apart: the
/// suspect with most ends takes all of its ends, and what is left is judged again. A suspect must
/// have been at half or more of the ends near its own that nothing else explains. If not, something
/// else has ended them, such as the loss of a zone.
pub(crate) fn judge(evidence: &Evidence) -> Vec<Fatal> {
    let mut explained: Vec<EndId> = Vec::new();
    let mut out: Vec<Fatal> = Vec::new();
    loop {
        let specific = |_: &Suspect, ends: &[(EndId, Time)]| {
            ends.len() * 2 >= evidence.count_near(ends, &explained)
        };
        let causes = match most_ends(evidence, &explained, specific) {
            Some(cause) => vec![cause],
            None => together(evidence, &explained),
        };
        if causes.is_empty() {
            return out;
        }
        for cause in causes {
            out.extend(cause.fatal());
            explained.extend(cause.ends.iter().map(|(end, _)| *end));
        }
    }
}
