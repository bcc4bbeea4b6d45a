//! CPU time and bytes of calls to the platform. Fakes of its services run in another thread, behind
//! a proxy that counts bytes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use blob::MemoryBlob;
use conf::Store;
use fakes::{App, Control, EngineConfig, Faults, TableConfig};
use ident::Rev;
use outbound::{Client, Engine, EngineClient, InstanceList, InstanceListClient, Timeouts};
use table::Dynamo;
use tokio::runtime::{Builder, Runtime};

use crate::{
    counting_proxy::CountingProxy, fit::Series, probe::thread_micros, samples::list_entry,
};

pub fn series() -> Vec<Series> {
    let polls = [100, 200, 400, 800].map(|n| (n as f64, poll(n)));
    let loads = [100, 200, 400, 800].map(|n| (n as f64, read_loads(n)));
    let lists = [115, 230, 460, 920].map(|n| (n as f64, read_list(n)));
    vec![
        Series {
            what: "polls of the change log that show nothing new, by polls",
            unit: "us",
            points: polls.map(|(n, r)| (n, r.0)).into(),
            target: 1.0,
        },
        Series {
            what: "bytes of those polls, without TCP and IP headers, by polls",
            unit: "B sent and received",
            points: polls.map(|(n, r)| (n, r.1)).into(),
            target: 1.0,
        },
        Series {
            what: "reads of a replica's load, by reads",
            unit: "us",
            points: loads.map(|(n, r)| (n, r.0)).into(),
            target: 64.0,
        },
        Series {
            what: "bytes of those reads, without TCP and IP headers, by reads",
            unit: "B sent and received",
            points: loads.map(|(n, r)| (n, r.1)).into(),
            target: 64.0,
        },
        Series {
            what: "one read of the platform's list, by entries",
            unit: "us",
            points: lists.map(|(n, r)| (n, r.0)).into(),
            target: 920.0,
        },
        Series {
            what: "bytes of one read of the platform's list, by entries",
            unit: "B sent and received",
            points: lists.map(|(n, r)| (n, r.1)).into(),
            target: 920.0,
        },
    ]
}

/// A fake service behind a counting proxy.
struct Proxied {
    addr: SocketAddr,
    bytes: Arc<AtomicU64>,
}

/// Starts a fake service and a proxy in a thread of their own.
fn start_proxied<F>(app: F) -> Proxied
where
    F: FnOnce() -> App + Send + 'static,
{
    let (send, receive) = mpsc::channel();
    let bytes = Arc::new(AtomicU64::new(0));
    let counter = bytes.clone();
    thread::spawn(move || {
        runtime().block_on(async {
            let upstream = fakes::spawn(app()).await.expect("a free port");
            let proxy = CountingProxy::start(upstream, counter).await;
            send.send(proxy.addr).expect("the caller waits");
            std::future::pending::<()>().await;
        });
    });
    Proxied { addr: receive.recv().expect("the thread starts"), bytes }
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// Returns the CPU time in microseconds and the bytes of `count` polls of the change log.
fn poll(count: usize) -> (f64, f64) {
    let service =
        start_proxied(|| fakes::table(TableConfig::default(), Control::new(Faults::default())));
    let url = format!("http://{}", service.addr);
    runtime().block_on(async {
        let table = Dynamo::new(&url, "lentilpitch", Duration::from_secs(60)).expect("a client");
        let store = Store::new(Arc::new(table), Arc::new(MemoryBlob::default()));
        store.changes(Rev(100_000), 500).await.expect("a poll");
        let (start, before) = (thread_micros(), service.bytes.load(Ordering::Relaxed));
        for _ in 0..count {
            store.changes(Rev(100_000), 500).await.expect("a poll");
        }
        let bytes = service.bytes.load(Ordering::Relaxed) - before;
        (thread_micros() - start, bytes as f64)
    })
}

/// Returns the CPU time in microseconds and the bytes of `count` reads of a replica's load.
fn read_loads(count: usize) -> (f64, f64) {
    let config = EngineConfig {
        model: "model".into(),
        weights: "v1".into(),
        name: "replica-1".into(),
        prefill: 10_000,
        decode: Duration::from_millis(20),
        slots: 8,
        queue: 8,
        cache: 100,
        block: 1024,
        source: None,
        fenced: true,
    };
    let service = start_proxied(move || fakes::engine(config, Control::new(Faults::default())));
    runtime().block_on(async {
        let deadlines = Timeouts { call: Duration::from_secs(60), ..Timeouts::default() };
        let engine = EngineClient::new(Client::new(deadlines));
        engine.load(service.addr).await.expect("a load");
        let (start, before) = (thread_micros(), service.bytes.load(Ordering::Relaxed));
        for _ in 0..count {
            engine.load(service.addr).await.expect("a load");
        }
        let bytes = service.bytes.load(Ordering::Relaxed) - before;
        (thread_micros() - start, bytes as f64)
    })
}

/// Returns the CPU time in microseconds and the bytes of one read of a list with `count` entries.
fn read_list(count: usize) -> (f64, f64) {
    const READS: u32 = 40;
    let entries = (0..count).map(|i| list_entry(i, "10.100.100.100:7000")).collect();
    let service = start_proxied(move || fakes::instances(entries, Control::new(Faults::default())));
    runtime().block_on(async {
        let deadlines = Timeouts { call: Duration::from_secs(60), ..Timeouts::default() };
        let list = InstanceListClient::new(Client::new(deadlines), service.addr, "/sd");
        let (read, bad) = list.read().await.expect("a list");
        assert!(read.len() == count && bad == 0, "{} entries, {bad} bad", read.len());
        let (start, before) = (thread_micros(), service.bytes.load(Ordering::Relaxed));
        for _ in 0..READS {
            list.read().await.expect("a list");
        }
        let bytes = service.bytes.load(Ordering::Relaxed) - before;
        let reads = f64::from(READS);
        ((thread_micros() - start) / reads, bytes as f64 / reads)
    })
}
