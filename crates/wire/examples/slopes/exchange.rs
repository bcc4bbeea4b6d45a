//! Requests between two hubs over loopback, both in this thread.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use ident::{Boot, Name, Secret};
use member::{Ping, Pong};
use tokio::runtime::Builder;
use wire::{Handler, Hub, Message};

use crate::{fit::Series, probe::thread_micros, sim, work::sim_status};

/// Answers each request with a pong.
struct PongHandler;

#[async_trait]
impl Handler for PongHandler {
    async fn handle(&self, _: Name, _: Message) -> Option<Message> {
        Some(Message::Pong(Pong { status: sim_status(), updates: Vec::new() }))
    }
}

pub fn series() -> Vec<Series> {
    let runs = [500, 1000, 2000, 4000].map(|n| (n as f64, run(n)));
    vec![
        Series {
            what: "exchanges over one connection, both ends, by exchanges",
            unit: "us",
            points: runs.map(|(n, r)| (n, r.0)).into(),
            target: 3.0,
        },
        Series {
            what: "bytes of exchanges, without TCP and IP headers, by exchanges",
            unit: "B sent and received by one end",
            points: runs.map(|(n, r)| (n, r.1)).into(),
            target: 3.0,
        },
    ]
}

fn hub(i: usize) -> Hub {
    let secret = Secret::derive("peers", b"key");
    let addr = ([127, 0, 0, 1], 0).into();
    Hub::bind(addr, sim::name(i), Boot(i as u128), secret, Arc::new(PongHandler))
        .expect("a free port")
}

/// Returns the CPU time in microseconds and the bytes of `count` requests with their responses.
fn run(count: usize) -> (f64, f64) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (a, b) = (hub(0), hub(1));
        let ping = || Message::Ping(Ping { status: sim_status(), updates: Vec::new() });
        let (to, at) = (sim::name(1), b.local_addr());
        let start = thread_micros();
        for _ in 0..count {
            a.ask(&to, at, ping(), Duration::from_secs(60)).await.expect("an answer");
        }
        let time = thread_micros() - start;
        let stats = a.stats();
        (time, (stats.bytes_sent + stats.bytes_received) as f64)
    })
}
