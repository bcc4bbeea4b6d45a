//! Which versions of their software the replicas of a target had lately.

use std::{sync::Arc, time::Duration};

use ident::Time;

/// How long a version is remembered after it was last seen: longer than streams last.
const SEEN_TTL: Duration = Duration::from_secs(60);

/// Versions that replicas had which are gone, or at which peers began streams.
///
/// Invariant: `seen` has each pair of target and version once, and none that is older than
/// [`SEEN_TTL`] when the last one was added.
#[derive(Debug, Default)]
pub struct Versions {
    /// Target, version and when it was last seen. A version is `None` if it is not known.
    seen: Vec<(Arc<str>, Option<Arc<str>>, Time)>,
    /// Time from which on all versions are in `seen` or in service; `None` until what was there
    /// before this instance started has been read.
    complete: Option<Time>,
}

impl Versions {
    /// Records a version that was in service at `at`.
    pub fn note(&mut self, target: &Arc<str>, software: Option<&Arc<str>>, at: Time, now: Time) {
        self.seen.retain(|(_, _, seen)| now.since(*seen) < SEEN_TTL);
        match self.seen.iter_mut().find(|(t, s, _)| t == target && s.as_ref() == software) {
            Some(known) => known.2 = known.2.max(at),
            None => self.seen.push((target.clone(), software.cloned(), at)),
        }
    }

    /// Records that all versions that were in service after `since` are known.
    pub fn set_complete(&mut self, since: Time) {
        self.complete = Some(self.complete.map_or(since, |known| known.min(since)));
    }

    /// Whether what was there before this instance started has been read.
    pub fn is_complete(&self) -> bool {
        self.complete.is_some()
    }

    /// The only version of a target that was in service at any time after `since`, if that is known.
    /// `current` are the versions of its replicas.
    pub fn only<'v, I>(&'v self, target: &str, current: I, since: Time) -> Option<Arc<str>>
    where
        I: IntoIterator<Item = Option<&'v Arc<str>>>,
    {
        self.complete.filter(|complete| *complete <= since)?;
        let mut current = current.into_iter();
        let only = current.next()??;
        let lately = self.seen.iter().filter(|(t, _, at)| **t == *target && *at >= since);
        let mut all = current.chain(lately.map(|(_, software, _)| software.as_ref()));
        all.all(|software| software == Some(only)).then(|| only.clone())
    }
}
