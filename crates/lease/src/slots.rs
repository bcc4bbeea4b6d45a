//! A fixed number of leases under one name.

use std::time::Duration;

use ident::{Name, rendezvous_order};

use crate::{HeldLease, LeaseError, Leases, row};

/// Leases under one name, of which at most `count` are held at the same time.
pub struct Slots<'a> {
    leases: &'a Leases,
    name: Name,
    count: u32,
}

impl Leases {
    /// Returns the `count` slots under `name`. All instances must use the same `count` for a name.
    /// While the number is being lowered, holders of slots above it may keep them until they
    /// release them.
    pub fn slots(&self, name: &Name, count: u32) -> Slots<'_> {
        assert!(count > 0, "the number of slots must be at least 1");
        Slots { leases: self, name: name.clone(), count }
    }
}

impl Slots<'_> {
    /// Acquires a free slot. If all are taken, returns the error of the slot that expires first.
    pub async fn acquire(&self, duration: Duration) -> Result<HeldLease, LeaseError> {
        let all: Vec<String> = (0..self.count).map(|i| i.to_string()).collect();
        let mut earliest: Option<LeaseError> = None;
        // Each instance tries the slots in an order of its own, so two rarely race for one slot.
        for index in rendezvous_order(self.leases.node.as_str().as_bytes(), &all, |i| i) {
            let index = index.parse().expect("the indices were written as numbers");
            match self.leases.acquire_row(row::slot_key(&self.name, index), duration).await {
                Err(e @ LeaseError::Taken { .. }) => earliest = Some(earlier(earliest, e)),
                other => return other,
            }
        }
        Err(earliest.unwrap_or(LeaseError::Lost))
    }
}

/// The error of the slot that expires earlier.
fn earlier(a: Option<LeaseError>, b: LeaseError) -> LeaseError {
    match (a, &b) {
        (Some(LeaseError::Taken { holder, until: x }), LeaseError::Taken { until: y, .. })
            if x <= *y =>
        {
            LeaseError::Taken { holder, until: x }
        }
        _ => b,
    }
}
