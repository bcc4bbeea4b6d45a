//! A bounded number of leases under one name.

use std::time::Duration;

use ident::{Name, rank};

use crate::{Held, LeaseError, Leases, row};

/// Leases of which at most `n` are held at once.
pub struct Slots<'a> {
    leases: &'a Leases,
    name: Name,
    n: u32,
}

impl Leases {
    /// The slots `name`, `n` of them. Every user of a name gives the same `n`; while it is being
    /// lowered, holders of the slots that are going may go on until they release them.
    pub fn slots(&self, name: &Name, n: u32) -> Slots<'_> {
        assert!(n > 0, "slots without a slot can never be held");
        Slots { leases: self, name: name.clone(), n }
    }
}

impl Slots<'_> {
    /// Takes a free slot. The error is the one of the slot that will be free first.
    pub async fn acquire(&self, term: Duration) -> Result<Held, LeaseError> {
        let all: Vec<String> = (0..self.n).map(|i| i.to_string()).collect();
        let mut first: Option<LeaseError> = None;
        // Each instance has its own order, so that they rarely race for the same slot.
        for index in rank(self.leases.node.as_str().as_bytes(), &all, |i| i) {
            let index = index.parse().expect("the indices were written as numbers");
            match self.leases.acquire_row(row::slot(&self.name, index), term).await {
                Err(e @ LeaseError::Taken { .. }) => first = Some(sooner(first, e)),
                other => return other,
            }
        }
        Err(first.unwrap_or(LeaseError::Lost))
    }
}

fn sooner(a: Option<LeaseError>, b: LeaseError) -> LeaseError {
    match (a, &b) {
        (Some(LeaseError::Taken { holder, until: x }), LeaseError::Taken { until: y, .. })
            if x <= *y =>
        {
            LeaseError::Taken { holder, until: x }
        }
        _ => b,
    }
}
