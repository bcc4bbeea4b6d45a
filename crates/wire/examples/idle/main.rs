//! Memory, processor time and bytes of a `lentild` that serves nobody, by teams and by entries of
//! the platform's list.
//!
//! `cargo build --release --bins && cargo run --release -p wire --example idle` prints part of the
//! table of `docs/CAPACITY.md`. Bytes are counted by relays before the stand-ins, without TCP and IP
//! headers and without peers: the instance is alone, so that no other traffic is mixed in.

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

#[path = "../slopes/fit.rs"]
mod fit;
#[path = "../slopes/relay.rs"]
mod relay;
#[allow(dead_code, reason = "shared with the other example")]
#[path = "../slopes/samples.rs"]
mod samples;

use fit::Series;
use relay::Relay;

const SETTLE: Duration = Duration::from_secs(6);
const SPAN: Duration = Duration::from_secs(10);
/// Clock ticks in a second, as /proc counts them.
const TICKS: f64 = 100.0;

/// What one instance took.
#[derive(Clone, Copy)]
struct Reading {
    /// Resident memory, in MB.
    memory: f64,
    /// The most it ever was, in MB.
    peak: f64,
    /// Processor time, in milliseconds per second.
    time: f64,
    /// Bytes per second of the table service.
    table: f64,
    /// Bytes per second of the list.
    list: f64,
    /// Bytes per second of replicas' load.
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

/// A relay and its count.
async fn counted(far: SocketAddr) -> (SocketAddr, Arc<AtomicU64>) {
    let bytes = Arc::new(AtomicU64::new(0));
    (Relay::start(far, bytes.clone()).await.addr, bytes)
}

async fn measure(teams: usize, entries: usize) -> Reading {
    let mut platform = Platform::start().await.expect("the stand-ins are built");
    let engine = ["--model", "model-00001", "--weights", "version-00001"];
    let engine =
        platform.engine("replica", "z", "target", &engine).await.expect("an engine").addr();
    let (loads, load_bytes) = counted(engine).await;
    let (table, table_bytes) = counted(platform.table.addr()).await;
    let (list, list_bytes) = counted(platform.list.addr()).await;
    seed(&platform, teams).await;
    let others = (0..entries).map(|i| samples::listed(i, &loads.to_string()));
    let replicas: Vec<Instance> = others.map(as_replica).collect();
    let url = format!("{}/_list", platform.list.url());
    platform.http.put(&url, &json!(replicas)).await.expect("the list takes entries");
    let instance = start(&platform, table, list).await;
    sleep(SETTLE).await;
    let counters = [&table_bytes, &list_bytes, &load_bytes];
    let read = || counters.map(|c| c.load(Ordering::Relaxed) as f64);
    let (before, start) = (read(), ticks(&instance));
    sleep(SPAN).await;
    let (after, end) = (read(), ticks(&instance));
    let rate = |i: usize| (after[i] - before[i]) / SPAN.as_secs_f64();
    Reading {
        memory: status(&instance, "VmRSS:"),
        peak: status(&instance, "VmHWM:"),
        time: (end - start) / TICKS * 1000.0 / SPAN.as_secs_f64(),
        table: rate(0),
        list: rate(1),
        loads: rate(2),
    }
}

/// Instances in the list would be pinged in vain; their entries count as replicas here.
fn as_replica(mut entry: Instance) -> Instance {
    entry.labels.insert("role".to_owned(), "engine".into());
    entry.labels.insert("target".to_owned(), "target-00001".into());
    entry
}

/// Puts a configuration with that many teams into the platform.
async fn seed(platform: &Platform, teams: usize) {
    let limit = Duration::from_secs(60);
    let table = Dynamo::new(&platform.table.url(), "lentilpitch", limit).expect("a client");
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

/// Processor time of all threads, in clock ticks.
fn ticks(proc: &Proc) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/stat", proc.pid())).expect("it runs");
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| after_name.split_whitespace().nth(n).and_then(|t| t.parse().ok());
    let (user, system): (Option<f64>, Option<f64>) = (field(11), field(12));
    user.zip(system).map(|(u, s)| u + s).expect("the kernel counts ticks")
}

/// A line of the process's status, in MB.
fn status(proc: &Proc, key: &str) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/status", proc.pid())).expect("it runs");
    let line = text.lines().find_map(|l| l.strip_prefix(key));
    let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.expect("a size in kB") * 1024.0 / 1e6
}
