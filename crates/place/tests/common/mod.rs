//! An engine for the tests of placement.

use std::{sync::Arc, time::Duration};

use fleet::Replica;

pub fn replica(n: usize, version: u64, slots: u32) -> Arc<Replica> {
    Arc::new(Replica {
        id: format!("r-{n:02}").into(),
        target: "t".into(),
        addr: format!("127.0.0.1:{}", 1000 + n).parse().expect("the address is valid"),
        zone: "a".into(),
        software: None,
        slots,
        leaving: false,
        started_ms: 1,
        models: vec![("m".into(), version)],
        cold: Duration::ZERO,
    })
}
