//! Bytes between 320 instances.

#[path = "../../member/tests/sim/mod.rs"]
mod sim;

use std::time::Duration;

use ident::{Boot, Name, Secret};
use member::{PeerUpdate, Ping, Status};
use sim::Sim;
use wire::{Message, encode, seal::Identity};

/// HTTP heads of a question or an answer.
const HEAD: u64 = 60;

/// TCP and IP headers of a message and its acknowledgement.
const PACKETS: u64 = 104;

const BUDGET: u64 = 2048;

fn size(status: &Status, news: &[PeerUpdate]) -> u64 {
    let name = Name::new("entry-000").unwrap();
    let own = Identity { name: name.clone(), boot: Boot(1), secret: Secret::derive("p", b"") };
    let body = encode(&Message::Ping(Ping { status: *status, updates: news.to_vec() })).unwrap();
    own.ask(&name, 1 << 40, &body).len() as u64 + HEAD + PACKETS
}

fn per_second(sim: &mut Sim, span: Duration) -> u64 {
    sim.nodes.iter_mut().for_each(|n| n.bytes = 0);
    sim.run(span);
    sim.nodes.iter().map(|n| n.bytes).max().unwrap() / span.as_secs()
}

#[test]
fn within_budget() {
    for count in [8, 320] {
        let mut sim = Sim::new(count, 8, 21);
        sim.size = size;
        sim.run(Duration::from_secs(5));
        let quiet = per_second(&mut sim, Duration::from_secs(30));
        sim.kill(4);
        let death = per_second(&mut sim, Duration::from_secs(30));
        println!("{count} instances: {quiet} B/s quiet, {death} B/s around a death");
        assert!(quiet <= BUDGET && death <= BUDGET, "{count}: {quiet}, {death}");
    }
}
