//! A stepped clock and leases over one table.
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

/// A clock of one process: stands still while the process is paused, if it is told so.
#[derive(Default)]
pub struct Steps(AtomicU64);

impl Steps {
    pub fn at(millis: u64) -> Arc<Self> {
        Arc::new(Self(AtomicU64::new(millis)))
    }

    pub fn step(&self, span: Duration) {
        self.0.fetch_add(span.as_millis() as u64, Ordering::Relaxed);
    }
}

impl Clock for Steps {
    fn now(&self) -> Time {
        Time(self.0.load(Ordering::Relaxed))
    }
}

pub fn leases(table: &Arc<Memory>, clock: &Arc<Steps>, node: &str) -> Leases {
    Leases::new(table.clone(), clock.clone(), name(node))
}
