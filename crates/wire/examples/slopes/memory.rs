//! Memory of the data structures that an instance holds.

use std::{net::SocketAddr, time::Duration};

use admit::{AdmissionRequest, Gate, Share};
use events::{EventKind, Log};
use ident::{Boot, Class, Digest, RequestId, Time};
use member::{Config, LocalInstance, Members};
use route::{Contexts, Entry, LastUse, Pool};

use crate::{
    fit::Series,
    probe::bytes,
    samples::{name, view},
    sim,
};

/// Number of copies of a small structure, so that together they fill memory pages.
const COPIES: usize = 50;

fn addr() -> SocketAddr {
    ([10, 0, 0, 1], 80).into()
}

pub fn series() -> Vec<Series> {
    // The first reading includes the program's own pages, so it is discarded.
    bytes(|| (view(500), contexts(500), members(100), gate(100), pool(10), log(10)));
    let points = |sizes: &[usize], f: fn(usize) -> f64| -> Vec<_> {
        sizes.iter().map(|&n| (n as f64, f(n))).collect()
    };
    vec![
        Series {
            what: "memory of the configuration, by teams",
            unit: "KB",
            points: points(&[4500, 9000, 13_500, 18_000], |n| bytes(move || view(n)) / 1e3),
            target: 18_000.0,
        },
        Series {
            what: "memory of contexts, by contexts remembered",
            unit: "KB",
            points: points(&[2000, 4000, 8000, 16_000], |n| bytes(move || contexts(n)) / 1e3),
            target: 16_384.0,
        },
        Series {
            what: "memory of replicas, by replicas watched",
            unit: "KB",
            points: points(&[75, 150, 300, 600], |n| bytes_per_copy(move || pool(n)) / 1e3),
            target: 600.0,
        },
        Series {
            what: "memory of membership, by instances",
            unit: "KB",
            points: points(&[40, 80, 160, 320], |n| bytes_per_copy(move || members(n)) / 1e3),
            target: 320.0,
        },
        Series {
            what: "memory of the time line, by events kept",
            unit: "KB",
            points: points(&[1024, 2048, 4096, 8192], |n| bytes(move || log(n)) / 1e3),
            target: 8192.0,
        },
        Series {
            what: "memory of admission, by teams seen",
            unit: "KB",
            points: points(&[2000, 4500, 9000, 18_000], |n| bytes(move || gate(n)) / 1e3),
            target: 18_000.0,
        },
    ]
}

/// Resident bytes of one small structure, as the mean of [`COPIES`].
fn bytes_per_copy<T, F>(f: F) -> f64
where
    T: 'static,
    F: Fn() -> T + Send + 'static,
{
    bytes(move || (0..COPIES).map(|_| f()).collect::<Vec<_>>()) / COPIES as f64
}

fn contexts(count: usize) -> Contexts {
    let mut out = Contexts::new(count);
    let (replica, weights) = (name("replica", 1), name("version", 1));
    for i in 0..count {
        let used = LastUse {
            replica: replica.clone(),
            pieces: 30,
            weights: weights.clone(),
            at: Time(i as u64),
        };
        out.record(Digest::of(&i.to_le_bytes()), used);
    }
    out
}

fn pool(count: usize) -> Pool {
    let mut out = Pool::default();
    let entry = |i| Entry {
        name: name("replica", i),
        target: name("target", i % 11),
        zone: name("zone", i % 8),
        addr: addr(),
        leaving: false,
    };
    out.sync_list((0..count).map(entry).collect(), Time(1));
    out
}

pub fn members(count: usize) -> Members {
    let (name, zone) = (sim::name(0), name("zone", 0));
    let me = LocalInstance {
        name,
        zone,
        addr: addr(),
        peer_addr: addr(),
        boot: Boot(1),
        started: Time(1),
    };
    let mut out = Members::new(me, Config::default());
    let entries: Vec<_> = (0..count).map(|i| sim::entry(i, 8)).collect();
    out.sync_list(&entries, Time(1));
    out
}

fn log(count: usize) -> Log {
    let out = Log::new(name("entry", 0), Boot(1), count);
    let (team, target, replica) = (name("team", 1), name("target", 1), name("replica", 1));
    let plan = name("hot", 1);
    for i in 0..count {
        let (team, target) = (team.clone(), target.clone());
        let (replica, plan) = (replica.clone(), plan.clone());
        let request = RequestId(i as u128);
        out.record(Time(1), EventKind::Routed { request, team, target, replica, plan });
    }
    out
}

fn gate(teams: usize) -> Gate {
    let mut out = Gate::new(100);
    for i in 0..teams {
        let id = RequestId(i as u128);
        let offer = AdmissionRequest {
            id,
            team: name("team", i),
            limits: Share { rate: 10.0, inflight: 10 },
            class: Class::Interactive,
            deadline: Time(100_000),
            prefill_tokens: 100,
            first_token: Duration::from_millis(100),
        };
        out.admit(offer, 1, Time(1));
        out.done(id, Time(1));
    }
    out
}
