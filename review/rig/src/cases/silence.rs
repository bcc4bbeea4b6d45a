//! Connections to the store that go silent, and a replica that leaves just after.

use std::{
    collections::HashMap,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{Client, Outcome, TENANTS, config, head};
use crate::{
    http::Head,
    instance::{Instance, Plan},
    proxy::Proxy,
    record::Record,
    replica::{Replica, Reply},
    store::Store,
    wire::*,
};

/// The bounds of the pages.
const CONTACT: Duration = Duration::from_millis(3000);
const DRAIN: Duration = Duration::from_millis(2000);
/// Allowance for what this program needs to note a moment.
const SLACK: Duration = Duration::from_millis(50);
/// How long a leaving replica goes on serving after the store has taken its word.
const STAYS: Duration = Duration::from_millis(4500);
/// From the silence to the word of the replica.
const WORD: Duration = Duration::from_millis(300);
const ROUNDS: usize = 10;
const ROUND: Duration = Duration::from_millis(10_500);
const CALLERS: usize = 8;

/// When a request was sent by its client, and when and where it ran.
type Runs = Arc<Mutex<Vec<(String, String, Instant, Instant)>>>;

pub fn play(record: &Arc<Record>, scratch: &PathBuf, trouble: bool) -> Outcome {
    let store = Store::start();
    let routes = [route_json("slot", "mutating", 2_500, "desk", 1, false, false)];
    store.put("op", "config", &config(1, &routes, TENANTS));
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let runs: Runs = Arc::default();
    let (known, noted, log) = (sent.clone(), runs.clone(), record.clone());
    let run = Arc::new(move |id: &str, head: &Head, _: &[u8]| {
        let request = head.get(REQUEST_ID);
        log.line(&format!("{id} runs {request}"));
        let at = Instant::now();
        let sent = known.lock().unwrap().get(request).copied().unwrap_or(at);
        noted.lock().unwrap().push((id.into(), request.into(), sent, at));
        thread::sleep(Duration::from_millis(30));
        Reply::Whole(vec![b'x'; 800])
    });
    let engine_run = Arc::new(|_: &str, _: &Head, _: &[u8]| Reply::Whole(Vec::new()));
    let _engines: Vec<_> = (0..8)
        .map(|n| {
            thread::sleep(Duration::from_millis(70));
            Replica::start(&store, &format!("e-{n}"), "model", Some("m"), 64, engine_run.clone())
        })
        .collect();
    let desk = |n: usize| Replica::start(&store, &format!("d-{n}"), "desk", None, 12, run.clone());
    let mut desks: Vec<_> = (0..4).map(desk).collect();
    let plan = Plan { memory_mb: 110, grace_s: 8 };
    let links: Vec<_> = (0..2).map(|_| Proxy::start(store.addr)).collect();
    let instances: Vec<_> = links
        .iter()
        .enumerate()
        .map(|(at, link)| Instance::start(at as u8, link.addr, &plan, scratch))
        .collect();
    if !instances.iter().all(|i| i.until_ready(Duration::from_secs(15))) {
        return Outcome::NotRun;
    }
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (instance, over) = (instances[n % 2].clone(), over.clone());
            let (sent, record) = (sent.clone(), record.clone());
            thread::spawn(move || call(n, &instance, &sent, &record, &over))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let mut broken = 0;
    for round in 0..ROUNDS {
        let begun = Instant::now();
        if trouble {
            links.iter().for_each(|l| l.silence());
            record.line("the open connections to the store go silent");
        }
        thread::sleep(WORD);
        let leaving = desks.remove(0);
        leaving.drain(&store);
        let acknowledged = Instant::now();
        record.line(&format!("the store acknowledged that {} is leaving", leaving.id));
        thread::sleep(STAYS);
        leaving.leave(&store);
        record.line(&format!("{} has left", leaving.id));
        // Only from machines in touch, and only later than the bound.
        let from = (begun + CONTACT).max(acknowledged + DRAIN) + SLACK;
        let late: Vec<_> = runs
            .lock()
            .unwrap()
            .iter()
            .filter(|(id, _, sent, at)| {
                *id == leaving.id && *at > from && *sent > begun + CONTACT + SLACK
            })
            .map(|(_, request, _, at)| (request.clone(), (*at - acknowledged).as_millis()))
            .collect();
        if let Some((request, last)) = late.last() {
            record.say(&format!(
                "round {round}: {} requests reached {} over 2000 ms after the acknowledgement, the last, {request}, {last} ms after it",
                late.len(),
                leaving.id
            ));
            broken += 1;
        }
        desks.push(desk(4 + round));
        thread::sleep(ROUND.saturating_sub(begun.elapsed()));
    }
    over.store(true, Ordering::Relaxed);
    let answered: usize = callers.into_iter().map(|c| c.join().expect("a caller ends")).sum();
    record.say(&format!(
        "rounds with late requests: {broken} of {ROUNDS}; bookings answered: {answered}"
    ));
    match broken > 0 {
        true => Outcome::Broken,
        false if answered < 500 => Outcome::NotRun,
        false => Outcome::Held,
    }
}

/// A caller: one booking after the other over a kept connection. Returns how many were answered.
fn call(
    n: usize,
    instance: &Instance,
    sent: &Mutex<HashMap<String, Instant>>,
    record: &Record,
    over: &AtomicBool,
) -> usize {
    let (mut client, mut count, mut answered) = (None, 0, 0);
    while !over.load(Ordering::Relaxed) {
        let Some(open) = client.as_mut() else {
            client = Client::connect(instance.front);
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        count += 1;
        let id = format!("b-{n}-{count}");
        sent.lock().unwrap().insert(id.clone(), Instant::now());
        record.line(&format!("sent {id}"));
        let answer = open.ask(&head("POST", "/slot/1", &id, "key-a", 2_500), &[b'b'; 600]);
        let status = answer.as_ref().map_or(0, |a| a.status);
        record.line(&format!("answered {id}: {status}"));
        answered += usize::from(status == 200);
        if answer.is_none_or(|a| a.get("connection").contains("close")) {
            client = None;
        }
        thread::sleep(Duration::from_millis(40));
    }
    answered
}
