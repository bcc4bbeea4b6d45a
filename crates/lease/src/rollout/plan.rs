//! Chooses the replicas that may load next.

use ident::Name;

use super::reading::{DesiredState, Readings, Replica, VersionShare};

/// Reason why no replica may be ordered.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BlockReason {
    /// One more load would leave less serving capacity than the minimum.
    #[error("one more load would leave less capacity than the floor; add replicas or lower it")]
    Floor,
    /// One more load would leave this version, which is in use, less capacity than its share.
    #[error("version {0} is still in use and needs the remaining capacity")]
    InUse(Name),
    /// The caller holds no load slot.
    #[error("no load slot is held; acquire one and ask again")]
    Slots,
    /// Replicas that may differ from the wanted state can't be read.
    #[error("replicas that may differ can't be read; read them again")]
    Unreadable,
}

/// Capacity that serves one version, and how much of it must keep serving.
struct VersionCapacity {
    version: Name,
    capacity: u64,
    required: u64,
}

/// Plan of the next loads: capacities and loads as the choices so far leave them.
pub(super) struct Plan<'a> {
    readings: &'a Readings<'a>,
    /// Replicas with an order in flight that makes them load. Sorted.
    load_ordered: &'a [Name],
    /// Capacity for each version. Sorted by version.
    versions: Vec<VersionCapacity>,
    /// Capacity that serves, over all versions.
    serving: u64,
    /// Minimum of `serving`, in the same unit.
    min_serving: u64,
    /// Number of replicas that load or have an order in flight that makes them load.
    loading: usize,
    max_loads: usize,
    /// Reason that is reported if no replica is chosen.
    block: BlockReason,
}

impl<'a> Plan<'a> {
    pub(super) fn new(
        readings: &'a Readings<'a>,
        load_ordered: &'a [Name],
        version_shares: &[VersionShare],
        min_percent: u8,
        max_loads: usize,
    ) -> Self {
        let total: u64 = readings.live().map(|r| u64::from(r.capacity)).sum();
        let ordered = |r: &Replica| load_ordered.binary_search(&r.name).is_ok();
        let absent = load_ordered.iter().filter(|n| readings.find(n).is_none()).count();
        let loading = readings.all().filter(|r| ordered(r) || r.is_loading()).count() + absent;
        let block = if max_loads == 0 { BlockReason::Slots } else { BlockReason::Unreadable };
        let min_serving = share(total, min_percent);
        let mut plan = Self {
            readings,
            load_ordered,
            versions: Vec::new(),
            serving: 0,
            min_serving,
            loading,
            max_loads,
            block,
        };
        for replica in readings.live() {
            if let Some(version) = plan.serves(replica) {
                let version = version.clone();
                plan.serving += u64::from(replica.capacity);
                plan.version_mut(&version).capacity += u64::from(replica.capacity);
            }
        }
        for entry in version_shares {
            plan.version_mut(&entry.version).required = share(total, entry.share);
        }
        plan
    }

    /// Number of replicas that load or are ordered to load.
    pub(super) fn loading(&self) -> usize {
        self.loading
    }

    /// Reason why no replica was chosen.
    pub(super) fn block_reason(self) -> BlockReason {
        self.block
    }

    /// Chooses the replicas to order next.
    pub(super) fn choose(&mut self, wanted: &DesiredState) -> Vec<Name> {
        let mut out = Vec::new();
        for replica in self.candidates(wanted) {
            if self.loading >= self.max_loads {
                break;
            }
            if self.try_reserve(replica) {
                out.push(replica.name.clone());
            }
        }
        assert!(out.is_empty() || self.loading <= self.max_loads, "too many loads at once");
        out
    }

    /// Replicas that differ from the wanted state. Those that serve nothing come first.
    fn candidates(&self, wanted: &DesiredState) -> Vec<&'a Replica> {
        let differs = |r: &&Replica| match &r.ordered {
            Some(w) => w != wanted,
            None => r.actual.as_ref() != Some(wanted),
        };
        let free = |r: &&Replica| self.load_ordered.binary_search(&r.name).is_err();
        let readable = self.readings.live().filter(|r| self.readings.is_fresh(r));
        let mut list: Vec<&Replica> = readable.filter(free).filter(differs).collect();
        list.sort_by_key(|r| (self.serves(r).is_some(), r.name.clone()));
        list
    }

    /// Counts the replica as loading in this plan if the target can do without its capacity, and
    /// returns whether it did.
    fn try_reserve(&mut self, replica: &Replica) -> bool {
        let capacity = u64::from(replica.capacity);
        if let Some(version) = self.serves(replica).cloned() {
            if self.serving - capacity < self.min_serving {
                self.block = BlockReason::Floor;
                return false;
            }
            let served = self.version_mut(&version);
            if served.capacity - capacity < served.required {
                self.block = BlockReason::InUse(version);
                return false;
            }
            served.capacity -= capacity;
            self.serving -= capacity;
            assert!(self.serving >= self.min_serving, "the serving capacity is below its minimum");
        }
        // A replica that loads another state is already counted.
        if !replica.is_loading() {
            self.loading += 1;
        }
        true
    }

    /// The version that a replica serves and is expected to keep serving; `None` for no such
    /// version.
    fn serves<'r>(&self, replica: &'r Replica) -> Option<&'r Name> {
        let steady =
            !replica.is_loading() && self.load_ordered.binary_search(&replica.name).is_err();
        let usable = replica.live && steady && self.readings.is_fresh(replica);
        replica.actual.as_ref().filter(|_| usable).map(|a| &a.weights)
    }

    fn version_mut(&mut self, version: &Name) -> &mut VersionCapacity {
        let at = match self.versions.binary_search_by(|s| s.version.cmp(version)) {
            Ok(at) => at,
            Err(at) => {
                let new = VersionCapacity { version: version.clone(), capacity: 0, required: 0 };
                self.versions.insert(at, new);
                at
            }
        };
        &mut self.versions[at]
    }
}

/// `percent` of `total`, rounded up.
fn share(total: u64, percent: u8) -> u64 {
    (total * u64::from(percent)).div_ceil(100)
}
