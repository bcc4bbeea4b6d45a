//! CPU time of decisions and of reading the configuration.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use blob::{Blob, BlobError, MemoryBlob};
use bytes::Bytes;
use conf::Store;
use events::{EventKind, Log};
use ident::{Boot, Digest, Name, Secret, Time};
use member::{PeerState, PeerUpdate, Ping};
use table::Memory;
use tokio::runtime::Builder;
use wire::{Message, decode, encode, seal::Identity};

use crate::{
    fit::Series,
    probe::{micros, thread_micros},
    samples::{changes, name, view},
    sim::{self, Sim},
};

pub fn series() -> Vec<Series> {
    let starts = [4500, 9000, 13_500, 18_000].map(|n| (n as f64, load(n)));
    vec![
        Series {
            what: "membership, peers' messages and list, by instances",
            unit: "us per instance and second",
            points: [40, 80, 160, 320].map(|n| (n as f64, membership(n))).into(),
            target: 320.0,
        },
        Series {
            what: "seal, open, encode and decode, by news in the message",
            unit: "us per message",
            points: [0, 2, 4, 6].map(|n| (n as f64, message(n))).into(),
            target: 6.0,
        },
        Series {
            what: "taking in one change, by teams",
            unit: "us per change",
            points: [4500, 9000, 13_500, 18_000].map(|n| (n as f64, learn(n))).into(),
            target: 18_000.0,
        },
        Series {
            what: "loading the configuration at a start, by teams",
            unit: "ms",
            points: starts.map(|(n, r)| (n, r.0)).into(),
            target: 18_000.0,
        },
        Series {
            what: "size of the snapshot read at a start, by teams",
            unit: "KB",
            points: starts.map(|(n, r)| (n, r.1)).into(),
            target: 18_000.0,
        },
        Series {
            what: "one address answer, by instances",
            unit: "us per answer",
            points: [40, 80, 160, 320].map(|n| (n as f64, answer(n))).into(),
            target: 320.0,
        },
        Series {
            what: "share of a team's limits, by instances",
            unit: "us per request",
            points: [40, 80, 160, 320].map(|n| (n as f64, place(n))).into(),
            target: 320.0,
        },
        Series {
            what: "recording events, by events",
            unit: "us",
            points: [100_000, 200_000, 400_000, 800_000].map(|n| (n as f64, record(n))).into(),
            target: 100_000.0,
        },
    ]
}

/// CPU time in microseconds per instance and second. All instances run in one thread, so this
/// includes the time of the simulation.
fn membership(count: usize) -> f64 {
    let period = Duration::from_secs(20);
    let mut sim = Sim::new(count, 8, 3);
    sim.run(Duration::from_secs(5));
    micros(|| sim.run(period)) / count as f64 / period.as_secs_f64()
}

/// CPU time in microseconds to encode, seal, open and decode a ping with `count` updates.
fn message(count: usize) -> f64 {
    const REPEATS: u32 = 40_000;
    let own = |i| Identity {
        name: name("entry", i),
        boot: Boot(1),
        secret: Secret::derive("peers", b"key"),
    };
    let (a, b) = (own(0), own(1));
    let state = PeerState::Suspect;
    let news =
        (0..count).map(|i| PeerUpdate { name: name("entry", i), incarnation: 1 << 40, state });
    let message = Message::Ping(Ping { status: sim_status(), updates: news.collect() });
    let time = micros(|| {
        for seq in 0..REPEATS {
            let body = encode(&message).expect("encodes");
            let sealed = a.seal_request(&b.name, u64::from(seq), &body);
            let opened = b.open_request(&sealed).expect("authentic");
            std::hint::black_box(decode(opened.body, opened.boot).expect("decodes"));
        }
    });
    time / f64::from(REPEATS)
}

pub fn sim_status() -> member::Status {
    member::Status {
        boot: Boot(1),
        incarnation: 1_700_000_000_000,
        acknowledged: 1_700_000_000_000,
        leaving: false,
        takes_work: true,
        table_reachable: true,
        rev: ident::Rev(100_000),
        age_ms: Some(1500),
        load: 700,
    }
}

/// CPU time in microseconds to apply one change to a configuration with `teams` teams.
fn learn(teams: usize) -> f64 {
    const CHANGES: usize = 40;
    let store = Store::new(Arc::new(Memory::new()), Arc::new(MemoryBlob::default()));
    let base: Vec<_> = crate::samples::changes(teams)
        .into_iter()
        .map(|mut c| {
            c.rev.0 -= 1;
            c
        })
        .collect();
    store.apply(&base).expect("consecutive changes");
    let next: Vec<_> = changes(CHANGES)
        .into_iter()
        .map(|mut c| {
            c.rev.0 += teams as u64 - 1;
            c
        })
        .collect();
    let time = micros(|| {
        for change in &next {
            store.apply(std::slice::from_ref(change)).expect("consecutive changes");
        }
    });
    std::hint::black_box(view(1));
    time / CHANGES as f64
}

/// An object store that counts the bytes read.
#[derive(Default)]
struct CountingBlob {
    inner: MemoryBlob,
    read: AtomicU64,
}

#[async_trait]
impl Blob for CountingBlob {
    async fn put(&self, prefix: &str, body: Bytes) -> Result<Digest, BlobError> {
        self.inner.put(prefix, body).await
    }

    async fn get(&self, prefix: &str, digest: Digest) -> Result<Bytes, BlobError> {
        let body = self.inner.get(prefix, digest).await?;
        self.read.fetch_add(body.len() as u64, Ordering::Relaxed);
        Ok(body)
    }
}

/// Returns the CPU time in milliseconds and the kilobytes read when the configuration is loaded
/// from a snapshot.
fn load(teams: usize) -> (f64, f64) {
    let blob = Arc::new(CountingBlob::default());
    let store = Store::new(Arc::new(Memory::new()), blob.clone());
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        store.snapshot(&view(teams)).await.expect("a snapshot");
        let start = thread_micros();
        let loaded = store.load().await.expect("the configuration");
        let time = thread_micros() - start;
        assert_eq!(loaded.teams().count(), teams);
        (time / 1e3, blob.read.load(Ordering::Relaxed) as f64 / 1e3)
    })
}

/// A simulation whose instances all know each other.
fn converged(count: usize) -> Sim {
    let mut sim = Sim::new(count, 8, 4);
    sim.run(Duration::from_secs(5));
    sim
}

/// CPU time in microseconds to answer which addresses a team may use.
fn answer(count: usize) -> f64 {
    const REPEATS: usize = 5000;
    let mut sim = converged(count);
    let (now, zone) = (sim.now, Name::new("zone-3").expect("a valid name"));
    let members = &mut sim.nodes[0].members;
    let time = micros(|| {
        for i in 0..REPEATS {
            std::hint::black_box(members.answer(&name("team", i), "calendar", 3, Some(&zone), now));
        }
    });
    time / REPEATS as f64
}

/// CPU time in microseconds to look up this instance's place for a team.
fn place(count: usize) -> f64 {
    const REPEATS: usize = 5000;
    let sim = converged(count);
    let members = &sim.nodes[0].members;
    let time = micros(|| {
        for i in 0..REPEATS {
            std::hint::black_box(members.team_rank(&name("team", i), 3, sim.now));
        }
    });
    time / REPEATS as f64
}

/// CPU time in microseconds to record `count` events.
fn record(count: usize) -> f64 {
    let log = Log::new(sim::name(0), Boot(1), 8192);
    micros(|| {
        for i in 0..count {
            log.record(Time(i as u64), EventKind::Ready);
        }
    })
}
