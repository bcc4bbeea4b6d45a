//! Which replicas may load next.

use ident::Name;

use super::reading::{Demand, Readings, Replica, Wanted};

/// Why nothing may be ordered.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Block {
    /// Less capacity than the floor would serve.
    #[error("one more load would leave less capacity than the floor; add replicas or lower it")]
    Floor,
    /// Less capacity than its share would serve a version in use.
    #[error("version {0} is still in use and needs the remaining capacity")]
    InUse(Name),
    /// The caller holds no load slot.
    #[error("no load slot is held; acquire one and ask again")]
    Slots,
    /// The replicas that differ can't be read.
    #[error("replicas that may differ can't be read; read them again")]
    Unread,
}

/// Capacity that serves a version, and how much of it must stay.
struct Served {
    version: Name,
    capacity: u64,
    need: u64,
}

/// Choice of the next loads.
pub(super) struct Plan<'a> {
    readings: &'a Readings<'a>,
    /// Replicas with an order under way. Sorted.
    pending: &'a [Name],
    /// Sorted by version.
    served: Vec<Served>,
    /// Capacity that serves, whatever the version.
    serving: u64,
    floor: u64,
    loading: usize,
    loads: usize,
    block: Block,
}

impl<'a> Plan<'a> {
    pub(super) fn new(
        readings: &'a Readings<'a>,
        pending: &'a [Name],
        demands: &[Demand],
        floor: u8,
        loads: usize,
    ) -> Self {
        let total: u64 = readings.live().map(|r| u64::from(r.capacity)).sum();
        let ordered = |r: &Replica| pending.binary_search(&r.name).is_ok();
        let absent = pending.iter().filter(|n| readings.find(n).is_none()).count();
        let loading = readings.all().filter(|r| ordered(r) || r.loads()).count() + absent;
        let block = if loads == 0 { Block::Slots } else { Block::Unread };
        let floor = share(total, floor);
        let mut plan = Self {
            readings,
            pending,
            served: Vec::new(),
            serving: 0,
            floor,
            loading,
            loads,
            block,
        };
        for replica in readings.live() {
            if let Some(version) = plan.serves(replica) {
                let version = version.clone();
                plan.serving += u64::from(replica.capacity);
                plan.served_mut(&version).capacity += u64::from(replica.capacity);
            }
        }
        for demand in demands {
            plan.served_mut(&demand.version).need = share(total, demand.share);
        }
        plan
    }

    /// Replicas loading or ordered to.
    pub(super) fn loading(&self) -> usize {
        self.loading
    }

    /// Why nothing was chosen.
    pub(super) fn block(self) -> Block {
        self.block
    }

    /// The replicas to order next.
    pub(super) fn choose(&mut self, wanted: &Wanted) -> Vec<Name> {
        let mut out = Vec::new();
        for replica in self.candidates(wanted) {
            if self.loading >= self.loads {
                break;
            }
            if self.take(replica) {
                out.push(replica.name.clone());
            }
        }
        assert!(out.is_empty() || self.loading <= self.loads, "too many loads at once");
        out
    }

    /// Replicas that differ from the wanted state, those that serve nothing first.
    fn candidates(&self, wanted: &Wanted) -> Vec<&'a Replica> {
        let differs = |r: &&Replica| match &r.wanted {
            Some(w) => w != wanted,
            None => r.actual.as_ref() != Some(wanted),
        };
        let free = |r: &&Replica| self.pending.binary_search(&r.name).is_err();
        let readable = self.readings.live().filter(|r| self.readings.fresh(r));
        let mut list: Vec<&Replica> = readable.filter(free).filter(differs).collect();
        list.sort_by_key(|r| (self.serves(r).is_some(), r.name.clone()));
        list
    }

    /// Counts the replica as loading, if what it serves can be spared.
    fn take(&mut self, replica: &Replica) -> bool {
        let capacity = u64::from(replica.capacity);
        if let Some(version) = self.serves(replica).cloned() {
            if self.serving - capacity < self.floor {
                self.block = Block::Floor;
                return false;
            }
            let served = self.served_mut(&version);
            if served.capacity - capacity < served.need {
                self.block = Block::InUse(version);
                return false;
            }
            served.capacity -= capacity;
            self.serving -= capacity;
            assert!(self.serving >= self.floor, "the floor holds after each choice");
        }
        // One that loads something else already counts.
        if !replica.loads() {
            self.loading += 1;
        }
        true
    }

    /// The version a replica serves and will go on serving, as far as is known.
    fn serves<'r>(&self, replica: &'r Replica) -> Option<&'r Name> {
        let steady = !replica.loads() && self.pending.binary_search(&replica.name).is_err();
        let usable = replica.live && steady && self.readings.fresh(replica);
        replica.actual.as_ref().filter(|_| usable).map(|a| &a.weights)
    }

    fn served_mut(&mut self, version: &Name) -> &mut Served {
        let at = match self.served.binary_search_by(|s| s.version.cmp(version)) {
            Ok(at) => at,
            Err(at) => {
                let new = Served { version: version.clone(), capacity: 0, need: 0 };
                self.served.insert(at, new);
                at
            }
        };
        &mut self.served[at]
    }
}

/// `percent` of `total`, rounded up.
fn share(total: u64, percent: u8) -> u64 {
    (total * u64::from(percent)).div_ceil(100)
}
