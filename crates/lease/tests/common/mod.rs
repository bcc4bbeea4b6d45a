//! A clock that the test advances, and leases over one table.
#![allow(dead_code)]

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ident::{Clock, Name, Time};
use lease::Leases;
use table::Memory;

pub const TERM: Duration = Duration::from_secs(16);

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Clock of one process. It advances only by [`ManualClock::advance`].
#[derive(Default)]
pub struct ManualClock(AtomicU64);

impl ManualClock {
    pub fn at(millis: u64) -> Arc<Self> {
        Arc::new(Self(AtomicU64::new(millis)))
    }

    pub fn advance(&self, span: Duration) {
        self.0.fetch_add(span.as_millis() as u64, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Time {
        Time(self.0.load(Ordering::Relaxed))
    }
}

pub fn leases(table: &Arc<Memory>, clock: &Arc<ManualClock>, node: &str) -> Leases {
    Leases::new(table.clone(), clock.clone(), name(node))
}
