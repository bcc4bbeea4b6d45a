//! Many long bodies in chunks at once, within the configured limit, and the memory of an instance.

use std::{
    collections::HashMap,
    io::Write,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{Client, Outcome, Random, TENANTS, config, events, head, instances, prompt};
use crate::{
    http::Head,
    instance::{Instance, Plan, SIGKILL},
    record::Record,
    replica::{Replica, Reply},
    store::Store,
    wire::*,
};

/// Memory limit of the deployment that the case takes its settings from.
const MEMORY_MB: u64 = 110;
/// Long requests.
const UPLOADS: usize = 80;
/// Bytes of each: below `body_bytes`, 4,194,304.
const UPLOAD_BYTES: usize = 4_000_000;
/// Bytes of a chunk.
const CHUNK: usize = 16_384;
/// What all uploads together bring to the machines in a second: the rate of one machine's link.
const RATE: f64 = 120e6;
/// Ordinary callers with a kept connection each.
const CALLERS: usize = 24;

/// What is known of one ordinary request.
#[derive(Debug, Default, Clone)]
struct Fate {
    /// Whether a replica ran it.
    ran: bool,
    /// Whether it was sent over a connection that had carried another.
    kept: bool,
    /// Status; 0 where the connection ended without an answer.
    status: Option<u16>,
}

pub fn play(record: &Arc<Record>, scratch: &PathBuf, trouble: bool) -> Outcome {
    let fates: Arc<Mutex<HashMap<String, Fate>>> = Arc::default();
    let store = Store::start();
    let routes = [
        route_json("plan", "streaming", 12_000, "model", 2, true, true),
        route_json("slot", "mutating", 2_500, "desk", 1, false, false),
    ];
    store.put("op", "config", &config(1, &routes, TENANTS));
    let (ran, noted) = (fates.clone(), record.clone());
    let desk_run = Arc::new(move |id: &str, head: &Head, _: &[u8]| {
        let request = head.get(REQUEST_ID);
        noted.line(&format!("{id} runs {request}"));
        ran.lock().unwrap().entry(request.into()).or_default().ran = true;
        thread::sleep(Duration::from_millis(60));
        Reply::Whole(vec![b'x'; 800])
    });
    let noted = record.clone();
    let engine_run = Arc::new(move |id: &str, head: &Head, body: &[u8]| {
        noted.line(&format!("{id} runs {} with {} bytes", head.get(REQUEST_ID), body.len()));
        Reply::Events(events(8), Duration::from_millis(20))
    });
    let _engines: Vec<_> = (0..4)
        .map(|n| {
            Replica::start(&store, &format!("e-{n}"), "model", Some("m"), 64, engine_run.clone())
        })
        .collect();
    let _desks: Vec<_> = (0..4)
        .map(|n| Replica::start(&store, &format!("d-{n}"), "desk", None, 12, desk_run.clone()))
        .collect();
    let plan = Plan { memory_mb: MEMORY_MB, grace_s: 8 };
    let Some(instances) = instances(2, &store, &plan, scratch) else { return Outcome::NotRun };
    let over = Arc::new(AtomicBool::new(false));
    let kills = Arc::new(AtomicU64::new(0));
    let peak = Arc::new(AtomicU64::new(0));
    let watchers: Vec<_> = instances
        .iter()
        .map(|i| watch(i.clone(), record.clone(), over.clone(), kills.clone(), peak.clone()))
        .collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (instance, over) = (instances[n % 2].clone(), over.clone());
            let (fates, record) = (fates.clone(), record.clone());
            thread::spawn(move || call(n, &instance, &fates, &record, &over))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let calm = peak.load(Ordering::Relaxed);
    record.say(&format!("peak memory of an instance before the uploads: {} MB", calm / 1_000_000));
    upload_all(&instances, record, trouble);
    thread::sleep(Duration::from_secs(3));
    over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|c| c.join().expect("a caller ends"));
    watchers.into_iter().for_each(|w| w.join().expect("a watcher ends"));
    let fates = fates.lock().unwrap();
    let lost = fates.values().filter(|f| f.ran && f.kept && f.status == Some(0)).count();
    let answered = fates.values().filter(|f| f.status == Some(200)).count();
    let (peak, kills) = (peak.load(Ordering::Relaxed) / 1_000_000, kills.load(Ordering::Relaxed));
    record
        .say(&format!("peak memory {peak} MB of {MEMORY_MB} MB; processes ended for it: {kills}"));
    record.say(&format!("ordinary requests answered: {answered}"));
    record.say(&format!(
        "ordinary requests from a kept connection that were passed on to a sound replica and whose connection closed without an answer: {lost} (the rule allows 3)"
    ));
    match lost > 3 {
        true => Outcome::Broken,
        false if answered < 100 => Outcome::NotRun,
        false => Outcome::Held,
    }
}

/// Does what the platform does with a process over its memory limit: kills it, and starts it again.
fn watch(
    instance: Arc<Instance>,
    record: Arc<Record>,
    over: Arc<AtomicBool>,
    kills: Arc<AtomicU64>,
    peak: Arc<AtomicU64>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            let memory = instance.memory();
            peak.fetch_max(memory, Ordering::Relaxed);
            // In MiB, the more generous reading of the limit.
            if memory > MEMORY_MB * 1024 * 1024 {
                record.say(&format!("{} has {memory} bytes resident: killed", instance.name));
                instance.signal(SIGKILL);
                instance.end();
                kills.fetch_add(1, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(500));
                instance.run();
            }
            thread::sleep(Duration::from_millis(5));
        }
    })
}

/// An ordinary caller: one booking after the other over a kept connection.
fn call(
    n: usize,
    instance: &Instance,
    fates: &Mutex<HashMap<String, Fate>>,
    record: &Record,
    over: &AtomicBool,
) {
    let mut client = None;
    let mut kept = false;
    let mut count = 0;
    let mut random = Random(n as u64 + 1);
    while !over.load(Ordering::Relaxed) {
        let Some(open) = client.as_mut() else {
            client = Client::connect(instance.front);
            kept = false;
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        count += 1;
        let id = format!("b-{n}-{count}");
        fates.lock().unwrap().entry(id.clone()).or_default().kept = kept;
        record.line(&format!("sent {id}"));
        let answer = open.ask(&head("POST", "/slot/1", &id, "key-a", 2_500), &[b'b'; 600]);
        let status = answer.as_ref().map_or(0, |a| a.status);
        fates.lock().unwrap().entry(id.clone()).or_default().status = Some(status);
        record.line(&format!("answered {id}: {status}"));
        kept = true;
        if answer.is_none_or(|a| a.get("connection").contains("close")) {
            client = None;
        }
        thread::sleep(Duration::from_secs_f64(random.next() * 0.16));
    }
}

/// All uploads at once, or one after the other without the disruption.
fn upload_all(instances: &[Arc<Instance>], record: &Arc<Record>, trouble: bool) {
    let chunked = std::env::var("FRAMING").as_deref() != Ok("length");
    let rate = if trouble { RATE / UPLOADS as f64 } else { RATE };
    let start = |n: usize| {
        let (front, record) = (instances[n % 2].front, record.clone());
        thread::spawn(move || {
            let id = format!("u-{n}");
            let Some(mut client) = Client::connect(front) else { return };
            record.line(&format!("sent {id}, {UPLOAD_BYTES} bytes, in chunks: {chunked}"));
            let answer = upload(&mut client, &id, chunked, rate);
            let text = answer
                .map_or("no answer".into(), |(status, whole)| format!("{status}, whole: {whole}"));
            record.line(&format!("answered {id}: {text}"));
        })
    };
    if trouble {
        let all: Vec<_> = (0..UPLOADS).map(start).collect();
        all.into_iter().for_each(|u| u.join().expect("an upload ends"));
    } else {
        (0..UPLOADS).for_each(|n| start(n).join().expect("an upload ends"));
    }
}

fn upload(client: &mut Client, id: &str, chunked: bool, rate: f64) -> Option<(u16, bool)> {
    let begun = Instant::now();
    let framing = match chunked {
        true => "transfer-encoding: chunked\r\n\r\n".into(),
        false => format!("content-length: {UPLOAD_BYTES}\r\n\r\n"),
    };
    let first = head("POST", "/plan/1", id, "key-a", 12_000)
        + &prompt(17_000, &format!("aa:12800,{id}:4200"));
    client.to.write_all((first + &framing).as_bytes()).ok()?;
    let mut sent = 0;
    while sent < UPLOAD_BYTES {
        let size = CHUNK.min(UPLOAD_BYTES - sent);
        let bytes = vec![b'p'; size];
        let written = match chunked {
            true => {
                let mut framed = format!("{size:x}\r\n").into_bytes();
                framed.extend_from_slice(&bytes);
                framed.extend_from_slice(b"\r\n");
                client.to.write_all(&framed)
            }
            false => client.to.write_all(&bytes),
        };
        if written.is_err() {
            break;
        }
        sent += size;
        let due = Duration::from_secs_f64(sent as f64 / rate);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    if chunked && sent == UPLOAD_BYTES {
        let _ = client.to.write_all(b"0\r\n\r\n");
    }
    client.answer().map(|a| (a.status, a.whole))
}
