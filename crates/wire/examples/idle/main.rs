//! Measures memory, CPU time and network bytes of a `lentild` without callers, by the number of
//! teams and by the number of entries of the platform's list.
//!
//! `cargo build --release --bins && cargo run --release -p wire --example idle` prints part of the
//! table of `docs/CAPACITY.md`. Proxies in front of the fake services count the bytes, without TCP
//! and IP headers. The deployment has a single instance, so there is no traffic between peers.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use blob::S3;
use conf::Store;
use fakes::Instance;
use ident::Digest;
use rig::{Place, Platform, Proc, free_addr};
use serde_json::json;
use table::Dynamo;
use tokio::time::sleep;

#[path = "../slopes/counting_proxy.rs"]
mod counting_proxy;
#[path = "../slopes/fit.rs"]
mod fit;
#[allow(dead_code, reason = "shared with the other example")]
#[path = "../slopes/samples.rs"]
mod samples;

use counting_proxy::CountingProxy;
use fit::Series;

/// Time for the instance to start and load its configuration before the measurement.
const WARM_UP: Duration = Duration::from_secs(6);
/// Length of the measurement.
const MEASURE_WINDOW: Duration = Duration::from_secs(10);
/// Clock ticks per second of the CPU times in /proc.
const TICKS_PER_S: f64 = 100.0;

/// Resource usage of one instance.
#[derive(Clone, Copy)]
struct Reading {
    /// Resident memory, in MB.
    memory: f64,
    /// Highest resident memory since the start, in MB.
    peak: f64,
    /// CPU time, in milliseconds per second.
    time: f64,
    /// Bytes per second to and from the table service.
    table: f64,
    /// Bytes per second to and from the platform's list.
    list: f64,
    /// Bytes per second of reading the replicas' load.
    loads: f64,
}

#[tokio::main]
async fn main() {
    println!("| what | unit | sizes | measured | slope | at zero | residual | target | there |");
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut teams = Vec::new();
    for n in [4500, 9000, 13_500, 18_000] {
        teams.push((n as f64, measure(n, 23).await));
    }
    let mut entries = Vec::new();
    for n in [115, 230, 460, 920] {
        entries.push((n as f64, measure(500, n).await));
    }
    print(&teams, 18_000.0, "resident memory, by teams", "MB", |r| r.memory);
    print(&teams, 18_000.0, "highest resident memory, by teams", "MB", |r| r.peak);
    print(&teams, 18_000.0, "processor time, by teams", "ms/s", |r| r.time);
    print(&teams, 18_000.0, "bytes of the table service, by teams", "B/s", |r| r.table);
    print(&entries, 920.0, "resident memory, by list entries", "MB", |r| r.memory);
    print(&entries, 920.0, "processor time, by list entries", "ms/s", |r| r.time);
    print(&entries, 920.0, "bytes of the list, by list entries", "B/s", |r| r.list);
    print(&entries, 920.0, "bytes of replicas' load, by list entries", "B/s", |r| r.loads);
}

fn print(
    readings: &[(f64, Reading)],
    target: f64,
    what: &'static str,
    unit: &'static str,
    pick: fn(&Reading) -> f64,
) {
    let points = readings.iter().map(|(n, r)| (*n, pick(r))).collect();
    println!("{}", Series { what, unit, points, target }.row());
}

/// Starts a proxy to `upstream` and returns its address and its byte counter.
async fn start_proxy(upstream: SocketAddr) -> (SocketAddr, Arc<AtomicU64>) {
    let bytes = Arc::new(AtomicU64::new(0));
    (CountingProxy::start(upstream, bytes.clone()).await.addr, bytes)
}

async fn measure(teams: usize, entries: usize) -> Reading {
    let mut platform = Platform::start().await.expect("the fakes are built");
    let engine = ["--model", "model-00001", "--weights", "version-00001"];
    let engine =
        platform.engine("replica", "z", "target", &engine).await.expect("an engine").addr();
    let (loads, load_bytes) = start_proxy(engine).await;
    let (table, table_bytes) = start_proxy(platform.table.addr()).await;
    let (list, list_bytes) = start_proxy(platform.list.addr()).await;
    seed(&platform, teams).await;
    let others = (0..entries).map(|i| samples::list_entry(i, &loads.to_string()));
    let replicas: Vec<Instance> = others.map(as_replica).collect();
    let url = format!("{}/_list", platform.list.url());
    platform.http.put(&url, &json!(replicas)).await.expect("the list takes entries");
    let instance = start(&platform, table, list).await;
    sleep(WARM_UP).await;
    let counters = [&table_bytes, &list_bytes, &load_bytes];
    let read = || counters.map(|c| c.load(Ordering::Relaxed) as f64);
    let (before, start) = (read(), ticks(&instance));
    sleep(MEASURE_WINDOW).await;
    let (after, end) = (read(), ticks(&instance));
    let rate = |i: usize| (after[i] - before[i]) / MEASURE_WINDOW.as_secs_f64();
    Reading {
        memory: status(&instance, "VmRSS:"),
        peak: status(&instance, "VmHWM:"),
        time: (end - start) / TICKS_PER_S * 1000.0 / MEASURE_WINDOW.as_secs_f64(),
        table: rate(0),
        list: rate(1),
        loads: rate(2),
    }
}

/// Turns a list entry into one of a replica. The instance would send pings to the entries of
/// instances, which nobody answers.
fn as_replica(mut entry: Instance) -> Instance {
    entry.labels.insert("role".to_owned(), "engine".into());
    entry.labels.insert("target".to_owned(), "target-00001".into());
    entry
}

/// Writes a configuration with that many teams to the platform's table and object store.
async fn seed(platform: &Platform, teams: usize) {
    let timeout = Duration::from_secs(60);
    let table = Dynamo::new(&platform.table.url(), "lentilpitch", timeout).expect("a client");
    let blob = S3::new(&platform.objects.url(), "lentilpitch").expect("a client");
    let store = Store::new(Arc::new(table), Arc::new(blob));
    store.snapshot(&samples::view(teams)).await.expect("a snapshot is written");
}

async fn start(platform: &Platform, table: SocketAddr, list: SocketAddr) -> rig::Instance {
    let addr = || free_addr().expect("a free address");
    let (callers, admin, peer) = (addr(), addr(), addr().to_string());
    let settings = format!(
        "name: alone\nzone: z\n\
         listen: {{ callers: '{callers}', admin: '{admin}', peers: '{peer}' }}\n\
         platform:\n  table: {{ url: 'http://{table}', name: lentilpitch }}\n  \
         objects: {{ url: '{}', bucket: lentilpitch }}\n  list: 'http://{list}/sd'\n\
         keys:\n  deployment: 000102030405060708090a0b0c0d0e0f\n  operators: ['{}']\n",
        platform.objects.url(),
        Digest::of(b"operator"),
    );
    let place = Place { name: "alone", zone: "z", peer: &peer };
    rig::Instance::start(platform, place, &settings).await.expect("lentild is built")
}

/// CPU time of all threads of the process so far, in clock ticks.
fn ticks(proc: &Proc) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/stat", proc.pid())).expect("it runs");
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| after_name.split_whitespace().nth(n).and_then(|t| t.parse().ok());
    let (user, system): (Option<f64>, Option<f64>) = (field(11), field(12));
    user.zip(system).map(|(u, s)| u + s).expect("the kernel counts ticks")
}

/// The value of `key` in the process's /proc status, in MB.
fn status(proc: &Proc, key: &str) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/status", proc.pid())).expect("it runs");
    let line = text.lines().find_map(|l| l.strip_prefix(key));
    let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.expect("a size in kB") * 1024.0 / 1e6
}
