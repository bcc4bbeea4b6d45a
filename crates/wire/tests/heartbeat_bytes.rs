//! The heartbeat traffic of an instance stays within its byte budget, up to 320 instances and
//! also after one of them died.

#[path = "../../member/tests/sim/mod.rs"]
mod sim;

use std::time::Duration;

use ident::{Boot, Name, Secret};
use member::{PeerUpdate, Ping, Status};
use sim::Sim;
use wire::{Message, encode, seal::Identity};

/// Size of the HTTP head of a request or a response.
const HTTP_HEAD_BYTES: u64 = 60;

/// Size of the TCP and IP headers of a message and its acknowledgement.
const TCP_IP_BYTES: u64 = 104;

/// Most bytes of heartbeats that one instance may send and receive per second.
const MAX_BYTES_PER_S: u64 = 2048;

/// Size of a heartbeat with all headers, in bytes.
fn heartbeat_size(status: &Status, news: &[PeerUpdate]) -> u64 {
    let name = Name::new("entry-000").unwrap();
    let own = Identity { name: name.clone(), boot: Boot(1), secret: Secret::derive("p", b"") };
    let body = encode(&Message::Ping(Ping { status: *status, updates: news.to_vec() })).unwrap();
    own.seal_request(&name, 1 << 40, &body).len() as u64 + HTTP_HEAD_BYTES + TCP_IP_BYTES
}

/// Bytes per second of the instance with the most traffic.
fn max_rate(sim: &mut Sim, period: Duration) -> u64 {
    sim.nodes.iter_mut().for_each(|n| n.bytes = 0);
    sim.run(period);
    sim.nodes.iter().map(|n| n.bytes).max().unwrap() / period.as_secs()
}

#[test]
fn heartbeats_within_budget() {
    for count in [8, 320] {
        let mut sim = Sim::new(count, 8, 21);
        sim.size = heartbeat_size;
        sim.run(Duration::from_secs(5));
        let quiet = max_rate(&mut sim, Duration::from_secs(30));
        sim.kill(4);
        let death = max_rate(&mut sim, Duration::from_secs(30));
        println!("{count} instances: {quiet} B/s quiet, {death} B/s around a death");
        assert!(quiet <= MAX_BYTES_PER_S && death <= MAX_BYTES_PER_S, "{count}: {quiet}, {death}");
    }
}
