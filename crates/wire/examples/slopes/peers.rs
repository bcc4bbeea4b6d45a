//! Network bytes between instances, computed from the encoded messages of a simulation.

use std::time::Duration;

use ident::{Boot, Secret};
use member::{PeerUpdate, Ping, Status};
use wire::{Message, encode, seal::Identity};

use crate::{
    fit::Series,
    samples::{changes, name},
    sim::{self, Sim},
};

/// Size of the HTTP head of a request or a response.
const HTTP_HEAD_BYTES: u64 = 60;
/// Size of the TCP and IP headers of a message and its acknowledgement.
const TCP_IP_BYTES: u64 = 104;
/// Simulated time over which bytes are counted.
const MEASURE_WINDOW: Duration = Duration::from_secs(60);

pub fn series() -> Vec<Series> {
    vec![
        Series {
            what: "peer bytes at rest, by instances, TCP and IP headers included",
            unit: "B per instance and second, sent and received",
            points: [20, 40, 80, 160, 320].map(|n| (n as f64, at_rest(n))).into(),
            target: 320.0,
        },
        Series {
            what: "peer bytes of 320 instances, by deaths in a minute, headers included",
            unit: "B per instance and second, sent and received",
            points: [0, 1, 2, 4, 8].map(|n| (n as f64, with_deaths(n))).into(),
            target: 1.0,
        },
        Series {
            what: "time until a change is in force everywhere, all read the log, by instances",
            unit: "s, the longest of 6",
            points: [20, 40, 80, 160, 320].map(|n| (n as f64, propagation(n, |_| true))).into(),
            target: 320.0,
        },
        Series {
            what: "the same, one instance reads the log, by instances",
            unit: "s, the longest of 6",
            points: [20, 40, 80, 160, 320].map(|n| (n as f64, propagation(n, |i| i == 3))).into(),
            target: 320.0,
        },
        Series {
            what: "page of changes, by changes",
            unit: "B",
            points: [1, 16, 64, 128].map(|n| (n as f64, changes_size(n))).into(),
            target: 1.0,
        },
    ]
}

/// Size of a heartbeat with all headers, in bytes.
fn heartbeat_size(status: &Status, news: &[PeerUpdate]) -> u64 {
    let name = sim::name(0);
    let own = Identity { name: name.clone(), boot: Boot(1), secret: Secret::derive("p", b"") };
    let message = Message::Ping(Ping { status: *status, updates: news.to_vec() });
    let body = encode(&message).expect("encodes");
    own.seal_request(&name, 1 << 40, &body).len() as u64 + HTTP_HEAD_BYTES + TCP_IP_BYTES
}

fn started(count: usize) -> Sim {
    let mut sim = Sim::new(count, 8, 5);
    sim.size = heartbeat_size;
    sim.run(Duration::from_secs(5));
    sim.nodes.iter_mut().for_each(|n| n.bytes = 0);
    sim
}

/// Bytes per second of a running instance, as the mean of all.
fn mean(sim: &Sim) -> f64 {
    let alive: Vec<_> = sim.nodes.iter().filter(|n| n.alive).map(|n| n.bytes as f64).collect();
    alive.iter().sum::<f64>() / alive.len() as f64 / MEASURE_WINDOW.as_secs_f64()
}

/// Bytes per second without deaths.
fn at_rest(count: usize) -> f64 {
    let mut sim = started(count);
    sim.run(MEASURE_WINDOW);
    mean(&sim)
}

/// Bytes per second of 320 instances while `deaths` of them die.
fn with_deaths(deaths: usize) -> f64 {
    let mut sim = started(320);
    for i in 0..deaths {
        sim.kill(10 + i * 31);
        sim.run(MEASURE_WINDOW / 8);
    }
    sim.run(MEASURE_WINDOW - MEASURE_WINDOW / 8 * u32::try_from(deaths).expect("at most eight"));
    mean(&sim)
}

/// Returns the longest time, in seconds, that one of six changes took to reach all instances.
/// `reads` selects the instances that read the change log themselves.
fn propagation(count: usize, reads: fn(usize) -> bool) -> f64 {
    let mut sim = started(count);
    for (i, node) in sim.nodes.iter_mut().enumerate() {
        node.table = reads(i);
    }
    let mut longest = Duration::ZERO;
    for turn in 0..6 {
        sim.run(Duration::from_millis(4000 + 730 * turn));
        sim.rev = sim.rev.next();
        let took = sim.until(Duration::from_secs(60), Sim::up_to_date);
        longest = longest.max(took.expect("everybody gets the change"));
    }
    longest.as_secs_f64()
}

/// Size of a sealed response with `count` changes, in bytes.
fn changes_size(count: usize) -> f64 {
    let list = changes(count);
    let own = Identity { name: name("entry", 0), boot: Boot(1), secret: Secret::derive("p", b"") };
    let body = encode(&Message::Changes { list }).expect("encodes");
    own.seal_response(&name("entry", 1), Boot(1), 1, &body).len() as f64
}
