//! One run: arrivals, choices, and what becomes of them.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, sync::Arc, time::Duration};

use fleet::{Engine as Described, Replica, Store};
use ident::Time;
use place::{
    Catalog, Change, Headroom, HeldPart, Load, Part, PlacementRequest, Plan, Pool, Prompt,
    cache_salt,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    Figures, Mix, Policy,
    engine::{Begun, Engine, Visit},
    figures::Tally,
    mix::Class,
};

/// Pause between two looks for an engine with room, in ms, as in the product.
const ROOM_PAUSE: f64 = 15.0;
/// Time before the first arrival, so that no time is zero.
const START_MS: f64 = 10_000.0;
/// The catalogue's knowledge is renewed this often, in ms.
const CATALOG_PAUSE: f64 = 500.0;
/// The only model and version.
const MODEL: (&str, u64) = ("m", 1);
/// The only target.
const TARGET: &str = "t";
/// Numbers of short contexts begin here.
const SHORT_BASE: u64 = 1 << 32;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The deployment.
    pub mix: Mix,
    /// The policy.
    pub policy: Policy,
    /// How long requests arrive.
    pub length: Duration,
    /// Multiple of the usual rate.
    pub load: f64,
    /// The seed.
    pub seed: u64,
}

/// Plays a run.
pub fn run(options: &Options) -> Figures {
    let mut run = Run::new(*options);
    run.arrivals();
    while let Some(Reverse(next)) = run.events.pop() {
        run.now = next.at;
        match next.event {
            Event::Look(id) => run.place(id),
            Event::Ready(engine, visit, fetched) => run.ready(engine, visit, fetched),
            Event::First(engine, begun) => run.first(engine, begun),
            Event::Last(engine, visit) => run.last(engine, visit),
            Event::Catalog => run.catalog(),
        }
    }
    run.end()
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A request looks for an engine.
    Look(usize),
    /// It may be read there; whether its context was fetched.
    Ready(usize, Visit, bool),
    /// Its first token came.
    First(usize, Begun),
    /// Its last token came.
    Last(usize, Visit),
    /// The store tells what it holds.
    Catalog,
}

/// Events are ordered by time, then by when they were made.
struct Next {
    at: f64,
    number: u64,
    event: Event,
}

impl PartialEq for Next {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Next {}

impl PartialOrd for Next {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Next {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

/// A request that was asked.
struct Asked {
    at: f64,
    visit: Visit,
    prompt: Prompt,
    long: bool,
    /// Where it is, with what is counted there.
    engine: usize,
    save: bool,
}

struct Run {
    options: Options,
    described: Described,
    engines: Vec<Engine>,
    replicas: Vec<Arc<Replica>>,
    pool: Pool,
    store: Arc<Store>,
    catalog: Catalog,
    asked: Vec<Asked>,
    /// Contexts that some engine has read. Sorted.
    known: Vec<u64>,
    events: BinaryHeap<Reverse<Next>>,
    number: u64,
    now: f64,
    rng: SmallRng,
    tallies: [Tally; 2],
}

impl Run {
    fn new(options: Options) -> Self {
        let mix = options.mix;
        let replicas: Vec<_> = (0..mix.engines).map(replica).collect();
        let mut pool = Pool::default();
        pool.sync(&replicas);
        let mut catalog = Catalog::default();
        catalog.replace(1, Vec::new());
        Self {
            options,
            described: Described {
                slots: 64,
                capacity_tokens: mix.capacity,
                token_bytes: mix.bytes,
                link_mbps: mix.link,
                models: vec![MODEL.0.into()],
            },
            engines: (0..mix.engines).map(|_| Engine::new(mix)).collect(),
            replicas,
            pool,
            store: Arc::new(store(&mix)),
            catalog,
            asked: Vec::new(),
            known: Vec::new(),
            events: BinaryHeap::new(),
            number: 0,
            now: START_MS,
            rng: SmallRng::seed_from_u64(options.seed),
            tallies: [Tally::new(), Tally::new()],
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.events.push(Reverse(Next { at, number: self.number, event }));
    }

    /// Draws all requests and the store's news.
    fn arrivals(&mut self) {
        let end = START_MS + self.options.length.as_millis() as f64;
        for (long, class) in [(true, self.options.mix.long), (false, self.options.mix.short)] {
            let sizes: Vec<f64> = (0..class.contexts).map(|_| spread(&mut self.rng)).collect();
            let mut at = START_MS;
            loop {
                let unit: f64 = self.rng.random_range(f64::EPSILON..1.0);
                at -= unit.ln() * 1000.0 / (class.rate * self.options.load);
                if at > end {
                    break;
                }
                self.arrive(at, long, &class, &sizes);
            }
        }
        let mut at = START_MS;
        while at < end + 2.0 * class_patience(&self.options.mix) {
            self.push(at, Event::Catalog);
            at += CATALOG_PAUSE;
        }
    }

    fn arrive(&mut self, at: f64, long: bool, class: &Class, sizes: &[f64]) {
        let number = self.rng.random_range(0..class.contexts);
        let shared = (class.shared * sizes[number as usize]) as u64;
        let own = (class.own * spread(&mut self.rng)) as u64 + 1;
        let context = if long { number } else { SHORT_BASE + number };
        let id = self.asked.len();
        let visit = Visit { id, context, shared, input: shared + own, output: class.output };
        let part = |id: String, tokens| Part { id: id.into(), tokens };
        let parts = vec![part(format!("c{context:x}"), shared), part(format!("o{id:x}"), own)];
        let prompt = Prompt {
            model: MODEL.0.into(),
            input_tokens: visit.input,
            output_tokens: visit.output,
            parts,
        };
        self.asked.push(Asked { at, visit, prompt, long, engine: 0, save: false });
        let tally = &mut self.tallies[usize::from(long)].figures;
        tally.asked += 1;
        tally.shared += shared;
        self.push(at, Event::Look(id));
    }

    fn class(&self, long: bool) -> Class {
        if long { self.options.mix.long } else { self.options.mix.short }
    }

    /// Looks for an engine; goes there, waits, or leaves when the caller does.
    fn place(&mut self, id: usize) {
        let (asked, now) = (&self.asked[id], time(self.now));
        let class = self.class(asked.long);
        let waited = Duration::from_millis((self.now - asked.at) as u64);
        if waited >= class.patience {
            return;
        }
        let headroom = match self.options.policy {
            Policy::Unheld | Policy::Least => Headroom::Any,
            Policy::Ours | Policy::Unkept => {
                Headroom::after_wait(waited, class.goal, class.patience)
            }
        };
        let home = self.options.policy != Policy::Least;
        let request = PlacementRequest {
            target: TARGET,
            context: asked.prompt.context().filter(|_| home).map(|c| &*c.id),
            load: load_of(&asked.visit),
            shared_tokens: asked.visit.shared,
            model: Some(MODEL),
            min_version: 0,
            headroom,
            zone: "a",
            tried: &[],
            engine: Some(&self.described),
            tie_breaker: self.rng.random(),
        };
        let Ok(choice) = self.pool.choose(&request, now) else {
            self.push(self.now + ROOM_PAUSE, Event::Look(id));
            return;
        };
        let engine = usize::from(choice.replica.addr.port() - 1);
        let salt = cache_salt(MODEL.0, MODEL.1, None);
        let mut stores = vec![(self.store.clone(), &mut self.catalog)];
        if self.options.policy == Policy::Unkept {
            stores.clear();
        }
        let home = choice.preferred.as_ref().map(|r| r.addr);
        let prompt = &self.asked[id].prompt;
        let plan = Plan::new(prompt, &salt, home, None, &mut stores, now);
        self.send(id, engine, &plan);
    }

    /// Sends a request, with a fetch of its context where that is planned and can succeed.
    fn send(&mut self, id: usize, engine: usize, plan: &Plan) {
        let asked = &mut self.asked[id];
        (asked.engine, asked.save) = (engine, plan.parts[0].save.is_some());
        let visit = asked.visit;
        self.pool.add_load(&self.replicas[engine].id, load_of(&visit));
        let source = plan.parts[0].fetch.filter(|_| !self.engines[engine].holds(visit.context));
        let there = source.is_some_and(|s| match s.tokens {
            Some(_) => true,
            None => self.engines[usize::from(s.addr.port() - 1)].holds(visit.context),
        });
        let ready = match there {
            true => self.engines[engine].fetch(visit.shared, self.now),
            false => self.now,
        };
        self.push(ready, Event::Ready(engine, visit, there));
    }

    fn ready(&mut self, engine: usize, visit: Visit, fetched: bool) {
        if fetched {
            self.engines[engine].keep(visit.context, visit.shared);
        }
        self.engines[engine].enter(visit);
        self.begin(engine);
    }

    fn begin(&mut self, engine: usize) {
        for begun in self.engines[engine].begin(self.now) {
            if begun.missed {
                let long = self.asked[begun.visit.id].long;
                match self.known.binary_search(&begun.visit.context) {
                    Ok(_) => {
                        self.tallies[usize::from(long)].figures.read_again += begun.visit.shared;
                    }
                    Err(at) => self.known.insert(at, begun.visit.context),
                }
            }
            self.push(begun.first, Event::First(engine, begun));
            self.push(begun.last, Event::Last(engine, begun.visit));
        }
    }

    fn first(&mut self, engine: usize, begun: Begun) {
        let asked = &self.asked[begun.visit.id];
        let class = self.class(asked.long);
        let ms = (self.now - asked.at) as u64;
        let (long, save) = (asked.long, asked.save);
        if u128::from(ms) < class.patience.as_millis() {
            self.tallies[usize::from(long)].answered(ms, class.goal.as_millis() as u64);
        }
        let reading = Load { prefill_tokens: begun.visit.input, memory_tokens: 0, requests: 0 };
        self.pool.remove_load(&self.replicas[engine].id, reading);
        if save {
            let salt = cache_salt(MODEL.0, MODEL.1, None);
            let part = self.asked[begun.visit.id].prompt.parts[0].clone();
            let held = HeldPart { salt, part: part.id, tokens: part.tokens };
            self.catalog.apply(1, false, vec![Change::Added(held)], 0, time(self.now));
        }
    }

    fn last(&mut self, engine: usize, visit: Visit) {
        self.engines[engine].end(&visit);
        let rest = Load { prefill_tokens: 0, ..load_of(&visit) };
        self.pool.remove_load(&self.replicas[engine].id, rest);
        self.begin(engine);
    }

    fn catalog(&mut self) {
        self.catalog.apply(1, false, Vec::new(), 0, time(self.now));
    }

    fn end(self) -> Figures {
        let [short, long] = self.tallies;
        Figures {
            mix: self.options.mix.name.into(),
            policy: self.options.policy.name().into(),
            seed: self.options.seed,
            load: self.options.load,
            long: long.end(),
            short: short.end(),
        }
    }
}

fn class_patience(mix: &Mix) -> f64 {
    mix.long.patience.as_millis() as f64
}

fn time(ms: f64) -> Time {
    Time(ms as u64)
}

fn load_of(visit: &Visit) -> Load {
    Load { prefill_tokens: visit.input, memory_tokens: visit.input + visit.output, requests: 1 }
}

/// A factor with mean 1 that is sometimes several times that, as sizes of prompts are.
fn spread(rng: &mut SmallRng) -> f64 {
    let unit: f64 = rng.random_range(f64::EPSILON..1.0);
    0.35 - 0.65 * unit.ln()
}

fn replica(at: usize) -> Arc<Replica> {
    Arc::new(Replica {
        id: format!("r-{at:03}").into(),
        target: TARGET.into(),
        addr: addr(at),
        zone: "a".into(),
        slots: 64,
        leaving: false,
        started_ms: 1,
        models: vec![(MODEL.0.into(), MODEL.1)],
    })
}

/// An engine's address; its port less one is the engine's number.
fn addr(at: usize) -> SocketAddr {
    let port = u16::try_from(at + 1).expect("there are fewer engines than ports");
    ([127, 0, 0, 1], port).into()
}

fn store(mix: &Mix) -> Store {
    Store {
        name: "store".into(),
        addr: ([127, 0, 0, 2], 1).into(),
        zone: "a".into(),
        capacity_tokens: mix.kept,
        link_mbps: mix.link,
        max_polls: 12,
        delay_ms: 0.5,
        managed: true,
    }
}
