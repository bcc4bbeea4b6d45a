//! Readings of replicas.

use std::time::Duration;

use ident::{Fence, Name, Time};

/// How long a reading counts as the replica's present state.
const FRESH: Duration = Duration::from_secs(30);

/// The state a replica can be ordered to take, whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The weight version.
    pub weights: Name,
    /// The role.
    pub role: Name,
}

/// The newest reading of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Its instance name.
    pub name: Name,
    /// What it can serve, in units that all replicas of the target share.
    pub capacity: u32,
    /// What it was last ordered to be; `None` before its first order.
    pub wanted: Option<Wanted>,
    /// What it serves as; `None` while it loads.
    pub actual: Option<Wanted>,
    /// The fencing number of that order, or 0.
    pub fence: Fence,
    /// Whether it is live and not leaving.
    pub live: bool,
    /// When it was read, on this process's clock: a point before the request was sent.
    pub read: Time,
}

impl Replica {
    /// Whether it is taking up another state than it serves with.
    pub(super) fn loads(&self) -> bool {
        self.actual.is_none() || (self.wanted.is_some() && self.wanted != self.actual)
    }
}

/// A version in use and the percentage of the target's capacity that must go on serving it, where
/// that much serves it already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The version.
    pub version: Name,
    /// Percentage of the capacity of all live replicas; at most 100.
    pub share: u8,
}

/// The replicas of one step.
pub(super) struct Readings<'a> {
    /// Sorted by name.
    list: Vec<&'a Replica>,
    now: Time,
}

impl<'a> Readings<'a> {
    pub(super) fn new(replicas: &'a [Replica], now: Time) -> Self {
        let mut list: Vec<&Replica> = replicas.iter().collect();
        list.sort_by(|a, b| a.name.cmp(&b.name));
        assert!(list.windows(2).all(|w| w[0].name != w[1].name), "one reading for each replica");
        Self { list, now }
    }

    pub(super) fn find(&self, name: &Name) -> Option<&'a Replica> {
        let at = self.list.binary_search_by(|r| r.name.cmp(name)).ok()?;
        Some(self.list[at])
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &'a Replica> {
        self.list.iter().copied()
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &'a Replica> {
        self.all().filter(|r| r.live)
    }

    pub(super) fn fresh(&self, replica: &Replica) -> bool {
        !replica.read.after(FRESH).passed(self.now)
    }

    /// When the oldest reading of a live replica was taken.
    pub(super) fn oldest(&self) -> Option<Time> {
        self.live().map(|r| r.read).min()
    }
}
