//! A clock that the test advances, and ledgers over shared fakes.
#![allow(dead_code)]

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use blob::MemoryBlob;
use ident::{Clock, Digest, Name, Time};
use ledger::{CallId, Ledger, Outcome};
use table::Memory;

pub struct ManualClock(pub AtomicU64);

impl ManualClock {
    pub fn advance(&self, millis: u64) {
        self.0.fetch_add(millis, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Time {
        Time(self.0.load(Ordering::Relaxed))
    }
}

pub struct World {
    pub table: Arc<Memory>,
    pub blob: Arc<MemoryBlob>,
    pub clock: Arc<ManualClock>,
}

impl World {
    pub fn new() -> Self {
        Self {
            table: Arc::new(Memory::new()),
            blob: Arc::new(MemoryBlob::new()),
            clock: Arc::new(ManualClock(AtomicU64::new(1_000_000))),
        }
    }

    pub fn ledger(&self, node: &str) -> Ledger {
        let node = Name::new(node).unwrap();
        Ledger::new(self.table.clone(), self.blob.clone(), self.clock.clone(), node)
    }

    pub fn until(&self, millis: u64) -> Time {
        Time(self.clock.now().0 + millis)
    }
}

pub fn call(key: &str) -> CallId {
    CallId::new(Name::new("desk").unwrap(), key).unwrap()
}

pub fn request() -> Digest {
    Digest::of(b"request")
}

pub fn outcome(text: &str) -> Outcome {
    let (content_type, body) = ("text/plain".into(), text.to_owned().into());
    Outcome { status: 200, content_type, body, framed: true }
}
