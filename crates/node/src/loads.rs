//! Load slots: what bounds the loads over all targets at once.

use std::time::Duration;

use ident::{Name, Time};
use lease::{Held, LeaseError, Leases};

/// Loads over all targets at once; loading slows down beyond.
pub const MAX_LOADS: usize = 3;
/// Name of the load slots.
const SLOTS: &str = "loads";

/// The load slots that one rollout holds.
///
/// A slot lapses with its holder while a replica that it ordered may still load; the next holder
/// of that target counts the load against its own slots, holders of other targets do not see it.
pub struct Loads<'a> {
    leases: &'a Leases,
    term: Duration,
    slots: Vec<Held>,
}

impl<'a> Loads<'a> {
    /// No slots, to be held for `term` after each renewal.
    pub fn new(leases: &'a Leases, term: Duration) -> Self {
        Self { leases, term, slots: Vec::new() }
    }

    /// Renews the slots held and takes one more while there are fewer than `wanted`.
    pub async fn hold(&mut self, wanted: usize) {
        let mut kept = Vec::new();
        for mut slot in std::mem::take(&mut self.slots) {
            match self.leases.renew(&mut slot, self.term).await {
                // Without an answer it stands until it lapses.
                Ok(()) | Err(LeaseError::Table(_)) => kept.push(slot),
                Err(LeaseError::Lost | LeaseError::Taken { .. }) => {}
            }
        }
        self.slots = kept;
        if self.slots.len() >= wanted {
            return;
        }
        let name = Name::new(SLOTS).expect("a valid name");
        let most = u32::try_from(MAX_LOADS).expect("a small number");
        if let Ok(slot) = self.leases.slots(&name, most).acquire(self.term).await {
            self.slots.push(slot);
        }
    }

    /// Slots that stand at `now`.
    pub fn held(&self, now: Time) -> usize {
        self.slots.iter().filter(|s| s.valid(now)).count()
    }

    /// Gives all slots back; one that cannot be given back lapses.
    pub async fn release(self) {
        for slot in self.slots {
            let _ = self.leases.release(slot).await;
        }
    }
}
