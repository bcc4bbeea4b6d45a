//! Load slots limit how many replicas load weights at the same time, over all targets.

use std::time::Duration;

use ident::{Name, Time};
use lease::{HeldLease, LeaseError, Leases};

/// Maximum number of replicas that load weights at the same time, over all targets. With more,
/// each load gets slower.
pub const MAX_CONCURRENT_LOADS: usize = 3;
/// Name of the load slots in the lease table.
const SLOTS_NAME: &str = "loads";

/// The load slots held by one rollout.
///
/// If the holder fails, its slots expire, although a replica that it ordered may still be loading.
/// The next leader of that target counts this load against its own slots. Leaders of other targets
/// do not see it, so the limit may be exceeded for a while.
pub struct LoadSlots<'a> {
    leases: &'a Leases,
    lease_duration: Duration,
    slots: Vec<HeldLease>,
}

impl<'a> LoadSlots<'a> {
    /// Starts without slots. Each slot is valid for `lease_duration` after it is acquired or
    /// renewed.
    pub fn new(leases: &'a Leases, lease_duration: Duration) -> Self {
        Self { leases, lease_duration, slots: Vec::new() }
    }

    /// Renews the slots held. Tries to acquire one more if there are fewer than `wanted`.
    pub async fn renew(&mut self, wanted: usize) {
        let mut kept = Vec::new();
        for mut slot in std::mem::take(&mut self.slots) {
            match self.leases.renew(&mut slot, self.lease_duration).await {
                // Without an answer from the table the slot stays valid until it expires.
                Ok(()) | Err(LeaseError::Table(_)) => kept.push(slot),
                Err(LeaseError::Lost | LeaseError::Taken { .. }) => {}
            }
        }
        self.slots = kept;
        if self.slots.len() >= wanted {
            return;
        }
        let name = Name::new(SLOTS_NAME).expect("the name of the load slots is valid");
        let count =
            u32::try_from(MAX_CONCURRENT_LOADS).expect("the number of load slots fits into u32");
        if let Ok(slot) = self.leases.slots(&name, count).acquire(self.lease_duration).await {
            self.slots.push(slot);
        }
    }

    /// Number of slots that are valid at `now`.
    pub fn valid_count(&self, now: Time) -> usize {
        self.slots.iter().filter(|s| s.is_valid(now)).count()
    }

    /// Releases all slots. A slot that cannot be released expires.
    pub async fn release(self) {
        for slot in self.slots {
            let _ = self.leases.release(slot).await;
        }
    }
}
