//! A store of kept KV cache that loses power for a moment and returns empty, while an instance
//! starts.

use std::{
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{Client, Outcome, Random, TENANTS, config_with, events, head, instances, prompt};
use crate::{
    http::Head,
    instance::{Instance, Plan, SIGTERM},
    kept::Kept,
    proxy::Proxy,
    record::Record,
    replica::{Replica, Reply},
    store::Store,
    wire::*,
};

/// Tokens of the shared part and of a request's own, and how many an engine reads in a ms.
const SHARED: u64 = 12_800;
const OWN: u64 = 4_200;
const TOKENS_PER_MS: f64 = 62.4;
/// Tokens that fit into an engine's memory.
const MEMORY: u64 = 91_473;
/// How long the store has no power.
const DARK: Duration = Duration::from_millis(300);
const ROUNDS: usize = 8;
/// Pause before a round, in which all instances list the store.
const CALM: Duration = Duration::from_millis(2500);

/// An engine's memory: parts by salt with their tokens, the one used last at the end.
type Memory = Mutex<Vec<(String, String, u64)>>;

struct World {
    kept: Arc<Kept>,
    /// Address under which the configuration names the store.
    named: String,
    record: Arc<Record>,
    /// Requests that took memory from a part that was not whole.
    mixed: AtomicU64,
    fetched: AtomicU64,
    /// Requests that began, and when.
    begun: Mutex<Vec<(String, Instant)>>,
}

impl World {
    /// Runs a request: fetches, reads, saves, as its headers say.
    fn run(&self, memory: &Memory, id: &str, head: &Head) {
        let (request, salt) = (head.get(REQUEST_ID), head.get(SALT));
        self.begun.lock().unwrap().push((request.into(), Instant::now()));
        let parts: Vec<(&str, u64)> = head
            .get(PREFIX)
            .split(',')
            .filter_map(|w| w.split_once(':'))
            .map(|(part, tokens)| (part, tokens.parse().unwrap_or(0)))
            .collect();
        let entry =
            |name: &str, at: usize| head.get(name).split(',').nth(at).unwrap_or("-").to_owned();
        let (mut missing, mut saves) = (0, Vec::new());
        for (at, (part, tokens)) in parts.iter().enumerate() {
            let has = memory.lock().unwrap().iter().any(|(s, p, _)| s == salt && p == part);
            let (fetch, save) = (entry(FETCH, at), entry(SAVE, at));
            let from_store = fetch.split('/').next() == Some(&self.named);
            let mut got = has;
            if !has && from_store {
                let until: u64 = head.get(UNTIL).parse().unwrap_or(0);
                match self.kept.part(salt, part) {
                    Some(_) if self.kept.clock_ms() > until => {}
                    Some(found) => {
                        got = true;
                        self.fetched.fetch_add(1, Ordering::SeqCst);
                        if !found.complete {
                            self.mixed.fetch_add(1, Ordering::SeqCst);
                            self.record.say(&format!(
                                "{request} took part {part} from the store ({fetch}) while it was being written there"
                            ));
                        }
                    }
                    None => self.record.line(&format!("{request} misses part {part} at the store")),
                }
            }
            if !got {
                missing += tokens;
            }
            // Its space is reserved at once.
            if save == self.named && self.kept.reserve(salt, part, *tokens) {
                self.record.line(&format!("{request} saves part {part}: its space is reserved"));
                saves.push((*part, self.kept.epoch()));
            }
        }
        self.record.line(&format!("{id} runs {request}, reads {missing} tokens"));
        thread::sleep(Duration::from_secs_f64(missing as f64 / TOKENS_PER_MS / 1000.0));
        for (part, epoch) in saves {
            self.kept.complete(salt, part, epoch);
            self.record.line(&format!("part {part} is whole at the store"));
        }
        let mut memory = memory.lock().unwrap();
        for (part, tokens) in parts {
            memory.retain(|(s, p, _)| !(s == salt && p == part));
            memory.push((salt.into(), part.into(), tokens));
        }
        // The parts used least lately yield.
        while memory.iter().map(|(_, _, tokens)| tokens).sum::<u64>() > MEMORY {
            memory.remove(0);
        }
    }
}

pub fn play(record: &Arc<Record>, scratch: &PathBuf, trouble: bool) -> Outcome {
    let store = Store::start();
    let kept = Kept::start();
    let link = Proxy::start(kept.addr);
    let world = Arc::new(World {
        kept: kept.clone(),
        named: link.addr.to_string(),
        record: record.clone(),
        mixed: AtomicU64::new(0),
        fetched: AtomicU64::new(0),
        begun: Mutex::default(),
    });
    let routes = [route_json("plan", "streaming", 12_000, "model", 2, true, true)];
    let named = kept_json("kept-a", link.addr) + ",";
    store.put("op", "config", &config_with(1, &routes, TENANTS, &named));
    let _engines: Vec<_> = (0..2)
        .map(|n| {
            let (world, memory) = (world.clone(), Memory::default());
            let run = Arc::new(move |id: &str, head: &Head, _: &[u8]| {
                world.run(&memory, id, head);
                Reply::Events(events(4), Duration::from_millis(5))
            });
            Replica::start(&store, &format!("e-{n}"), "model", Some("m"), 64, run)
        })
        .collect();
    let plan = Plan { memory_mb: 110, grace_s: 8 };
    let Some(instances) = instances(3, &store, &plan, scratch) else { return Outcome::NotRun };
    let (steady, starting) = (&instances[0], &instances[2]);
    // Ordinary traffic: prompts that nobody sent before, a few each second.
    let over = Arc::new(AtomicBool::new(false));
    let traffic: Vec<_> = (0..3)
        .map(|n| {
            let (instance, over) = (instances[n % 2].clone(), over.clone());
            thread::spawn(move || {
                let mut count = 0;
                let mut random = Random(n as u64 + 1);
                while !over.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_secs_f64(random.next() * 0.3));
                    count += 1;
                    ask(&instance, &format!("t-{n}-{count}"), &format!("f{n}{count:04x}"));
                }
            })
        })
        .collect();
    let mut served = true;
    for round in 0..ROUNDS {
        let part = format!("cafe{round:02x}");
        // The part comes to the store, and is pushed out of the engines by other prompts.
        thread::sleep(CALM);
        served &= ask(steady, &format!("p-{round}"), &part);
        starting.signal(SIGTERM);
        while !starting.has_ended() {
            thread::sleep(Duration::from_millis(20));
        }
        let whole = kept.part("m/1", &part).is_some_and(|p| p.complete);
        record.line(&format!("round {round}: part {part} is whole at the store: {whole}"));
        if trouble {
            record.line("the store has no power");
            link.silence();
            thread::sleep(DARK);
            kept.restart();
            // Connections that were opened meanwhile never come to life.
            link.silence();
            record.line("the store is back, and empty");
        }
        starting.run();
        if !starting.until_ready(Duration::from_secs(5)) {
            return Outcome::NotRun;
        }
        let first = format!("d-{round}");
        let (at, id, name) = (starting.clone(), first.clone(), part.clone());
        let begins = thread::spawn(move || ask(&at, &id, &name));
        let begun = Instant::now();
        let has_begun = || world.begun.lock().unwrap().iter().any(|(id, _)| *id == first);
        while !has_begun() && begun.elapsed() < Duration::from_secs(2) {
            thread::sleep(Duration::from_millis(2));
        }
        let others: Vec<_> = (0..3)
            .map(|n| {
                let (at, id, name) = (steady.clone(), format!("b-{round}-{n}"), part.clone());
                thread::sleep(Duration::from_millis(20));
                thread::spawn(move || ask(&at, &id, &name))
            })
            .collect();
        served &= begins.join().expect("a caller ends");
        for other in others {
            served &= other.join().expect("a caller ends");
        }
    }
    over.store(true, Ordering::SeqCst);
    traffic.into_iter().for_each(|t| t.join().expect("a caller ends"));
    let (mixed, fetched) =
        (world.mixed.load(Ordering::SeqCst), world.fetched.load(Ordering::SeqCst));
    record.say(&format!("fetches from the store: {fetched}, of parts that were not whole there: {mixed}; all asked for were served: {served}"));
    match mixed > 0 {
        true => Outcome::Broken,
        false if !served => Outcome::NotRun,
        false => Outcome::Held,
    }
}

/// Sends a prompt with a shared part and reads its stream. Returns whether it is whole.
fn ask(instance: &Instance, id: &str, part: &str) -> bool {
    let Some(mut client) = Client::connect(instance.front) else { return false };
    let prefix = format!("{part}:{SHARED},{}:{OWN}", id.replace('-', ""));
    let first = head("POST", "/plan/1", id, "key-a", 12_000) + &prompt(SHARED + OWN, &prefix);
    client.ask(&first, b"a plan").is_some_and(|a| a.status == 200 && a.whole)
}
