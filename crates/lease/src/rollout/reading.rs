//! Readings of the state of replicas.

use std::time::Duration;

use ident::{Fence, Name, Time};

/// How long a reading counts as the present state of the replica.
const READING_TTL: Duration = Duration::from_secs(30);

/// The complete state that a replica can be ordered to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// Weights version.
    pub weights: Name,
    /// Role of the replica, such as `mixed`.
    pub role: Name,
}

/// The newest reading of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Instance name of the replica.
    pub name: Name,
    /// Capacity of the replica, in a unit that all replicas of the target share.
    pub capacity: u32,
    /// State that the replica was last ordered to take; `None` before its first order.
    pub ordered: Option<DesiredState>,
    /// State that the replica serves with; `None` while it loads.
    pub actual: Option<DesiredState>,
    /// Fencing number of the last order; 0 before the first.
    pub fence: Fence,
    /// Whether the replica is live and not leaving.
    pub live: bool,
    /// When the replica was read, on this process's clock: a point before the request was sent.
    pub read_at: Time,
}

impl Replica {
    /// Whether the replica is changing to another state than the one it serves with.
    pub(super) fn is_loading(&self) -> bool {
        self.actual.is_none() || (self.ordered.is_some() && self.ordered != self.actual)
    }
}

/// A version in use and the minimum percentage of the target's capacity that serves it. No replica
/// that serves the version is ordered away if less would remain. No replica is ordered to the
/// version to reach the minimum.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionShare {
    /// Weights version in use.
    pub version: Name,
    /// Percentage of the capacity of all live replicas; at most 100.
    pub share: u8,
}

/// The readings of all replicas in one step.
pub(super) struct Readings<'a> {
    /// Sorted by name.
    list: Vec<&'a Replica>,
    now: Time,
}

impl<'a> Readings<'a> {
    pub(super) fn new(replicas: &'a [Replica], now: Time) -> Self {
        let mut list: Vec<&Replica> = replicas.iter().collect();
        list.sort_by(|a, b| a.name.cmp(&b.name));
        assert!(list.windows(2).all(|w| w[0].name != w[1].name), "two readings of one replica");
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

    pub(super) fn is_fresh(&self, replica: &Replica) -> bool {
        !replica.read_at.after(READING_TTL).passed(self.now)
    }

    /// When the oldest reading of a live replica was taken; `None` without live replicas.
    pub(super) fn oldest(&self) -> Option<Time> {
        self.live().map(|r| r.read_at).min()
    }
}
