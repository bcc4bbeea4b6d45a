//! Simulates one run, from the arrival of requests to their last tokens.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, sync::Arc, time::Duration};

use fleet::{CacheScope, Engine as EngineSpec, Replica, Store};
use ident::Time;
use place::{
    Catalog, Change, Headroom, HeldPart, Load, Part, PlacementRequest, Plan, Pool, Prompt,
    cache_salt,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    Figures, Mix, Policy,
    engine::{Engine, EngineRequest, StartedRequest},
    figures::Tally,
    mix::Class,
};

/// Interval between two checks for an engine with free capacity, in ms, as in the product.
const CAPACITY_CHECK_INTERVAL_MS: f64 = 15.0;
/// Start of the run, in ms. It is above 0, so that no event has time 0.
const START_MS: f64 = 10_000.0;
/// Interval between two confirmations of the catalogue, in ms.
const CATALOG_INTERVAL_MS: f64 = 500.0;
/// Name and weights version of the only model.
const MODEL: (&str, u64) = ("m", 1);
/// Name of the only target.
const TARGET: &str = "t";
/// First number of the contexts of short prompts.
const SHORT_BASE: u64 = 1 << 32;

/// Options of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Deployment to simulate.
    pub mix: Mix,
    /// Placement policy.
    pub policy: Policy,
    /// Time during which requests arrive.
    pub length: Duration,
    /// Request rate as a multiple of the usual one.
    pub load: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Simulates a run.
pub fn run(options: &Options) -> Figures {
    let mut run = Run::new(*options);
    run.schedule_arrivals();
    while let Some(Reverse(next)) = run.events.pop() {
        run.now = next.at;
        match next.event {
            Event::Place(id) => run.place(id),
            Event::Ready(engine, request, fetched) => run.ready(engine, request, fetched),
            Event::First(engine, started) => run.first(engine, started),
            Event::Last(engine, request) => run.last(engine, request),
            Event::Catalog => run.catalog(),
        }
    }
    run.end()
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// An engine is to be chosen for a request.
    Place(usize),
    /// A request is ready to be prefilled at an engine; whether its context was fetched.
    Ready(usize, EngineRequest, bool),
    /// An engine generated the first token of a request.
    First(usize, StartedRequest),
    /// An engine generated the last token of a request.
    Last(usize, EngineRequest),
    /// The store confirms its contents.
    Catalog,
}

/// An event to come. Events are ordered by time, then by their numbers.
struct ScheduledEvent {
    at: f64,
    number: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

/// A request of a caller.
struct CallerRequest {
    at: f64,
    request: EngineRequest,
    prompt: Prompt,
    long: bool,
    /// Engine that it was sent to.
    engine: usize,
    /// Whether its context is saved to the store.
    save: bool,
}

struct Run {
    options: Options,
    engine_spec: EngineSpec,
    engines: Vec<Engine>,
    replicas: Vec<Arc<Replica>>,
    pool: Pool,
    store: Arc<Store>,
    catalog: Catalog,
    asked: Vec<CallerRequest>,
    /// Contexts that some engine has prefilled. Sorted.
    prefilled: Vec<u64>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
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
        // The store has run for some time.
        for clock_ms in [0, START_MS as u64] {
            catalog.apply(1, false, Vec::new(), clock_ms, time(START_MS));
        }
        Self {
            options,
            engine_spec: EngineSpec {
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
            prefilled: Vec::new(),
            events: BinaryHeap::new(),
            number: 0,
            now: START_MS,
            rng: SmallRng::seed_from_u64(options.seed),
            tallies: [Tally::new(), Tally::new()],
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.events.push(Reverse(ScheduledEvent { at, number: self.number, event }));
    }

    /// Schedules the arrivals of all requests and the confirmations of the catalogue.
    fn schedule_arrivals(&mut self) {
        let end = START_MS + self.options.length.as_millis() as f64;
        for (long, class) in [(true, self.options.mix.long), (false, self.options.mix.short)] {
            let sizes: Vec<f64> =
                (0..class.contexts).map(|_| random_size_factor(&mut self.rng)).collect();
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
            at += CATALOG_INTERVAL_MS;
        }
    }

    fn arrive(&mut self, at: f64, long: bool, class: &Class, sizes: &[f64]) {
        let number = self.rng.random_range(0..class.contexts);
        let shared = (class.shared * sizes[number as usize]) as u64;
        let own = (class.own * random_size_factor(&mut self.rng)) as u64 + 1;
        let context = if long { number } else { SHORT_BASE + number };
        let id = self.asked.len();
        let request =
            EngineRequest { id, context, shared, input: shared + own, output: class.output };
        let part = |id: String, tokens| Part { id: id.into(), tokens };
        let parts = vec![part(format!("c{context:x}"), shared), part(format!("o{id:x}"), own)];
        let prompt = Prompt {
            model: MODEL.0.into(),
            input_tokens: request.input,
            output_tokens: request.output,
            parts,
        };
        self.asked.push(CallerRequest { at, request, prompt, long, engine: 0, save: false });
        let tally = &mut self.tallies[usize::from(long)].figures;
        tally.asked += 1;
        tally.shared += shared;
        self.push(at, Event::Place(id));
    }

    fn class(&self, long: bool) -> Class {
        if long { self.options.mix.long } else { self.options.mix.short }
    }

    /// Chooses an engine and sends the request there, or tries again later, unless the caller has
    /// given up.
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
            load: load_of(&asked.request),
            shared_tokens: asked.request.shared,
            model: Some(MODEL),
            software: None,
            min_version: 0,
            headroom,
            zone: "a",
            tried: &[],
            permits: &[],
            engine: Some(&self.engine_spec),
            goal: class.goal,
            tie_breaker: self.rng.random(),
        };
        let Ok(choice) = self.pool.choose(&request, now) else {
            self.push(self.now + CAPACITY_CHECK_INTERVAL_MS, Event::Place(id));
            return;
        };
        let engine = usize::from(choice.replica.addr.port() - 1);
        let salt = cache_salt(MODEL.0, MODEL.1, CacheScope::Shared(None));
        let mut stores = vec![(self.store.clone(), &mut self.catalog)];
        if self.options.policy == Policy::Unkept {
            stores.clear();
        }
        let home = choice.preferred.as_ref().map(|r| r.addr);
        let prompt = &self.asked[id].prompt;
        let plan = Plan::new(prompt, &salt, home, None, &mut stores, now);
        self.send(id, engine, &plan);
    }

    /// Sends a request, after a fetch of its context if that is planned and the source has it.
    fn send(&mut self, id: usize, engine: usize, plan: &Plan) {
        let asked = &mut self.asked[id];
        (asked.engine, asked.save) = (engine, plan.parts[0].save.is_some());
        let request = asked.request;
        self.pool.add_load(&self.replicas[engine].id, load_of(&request));
        let source = plan.parts[0].fetch.filter(|_| !self.engines[engine].caches(request.context));
        let available = source.is_some_and(|s| match s.tokens {
            Some(_) => true,
            None => self.engines[usize::from(s.addr.port() - 1)].caches(request.context),
        });
        let ready = match available {
            true => self.engines[engine].fetch(request.shared, self.now),
            false => self.now,
        };
        self.push(ready, Event::Ready(engine, request, available));
    }

    fn ready(&mut self, engine: usize, request: EngineRequest, fetched: bool) {
        if fetched {
            self.engines[engine].cache(request.context, request.shared);
        }
        self.engines[engine].enqueue(request);
        self.start_waiting(engine);
    }

    fn start_waiting(&mut self, engine: usize) {
        for started in self.engines[engine].start_waiting(self.now) {
            if started.missed {
                let long = self.asked[started.request.id].long;
                match self.prefilled.binary_search(&started.request.context) {
                    Ok(_) => {
                        self.tallies[usize::from(long)].figures.read_again +=
                            started.request.shared;
                    }
                    Err(at) => self.prefilled.insert(at, started.request.context),
                }
            }
            self.push(started.first, Event::First(engine, started));
            self.push(started.last, Event::Last(engine, started.request));
        }
    }

    fn first(&mut self, engine: usize, started: StartedRequest) {
        let asked = &self.asked[started.request.id];
        let class = self.class(asked.long);
        let ms = (self.now - asked.at) as u64;
        let (long, save) = (asked.long, asked.save);
        if u128::from(ms) < class.patience.as_millis() {
            self.tallies[usize::from(long)].answered(ms, class.goal.as_millis() as u64);
        }
        let prefill = Load { prefill_tokens: started.request.input, memory_tokens: 0, requests: 0 };
        self.pool.remove_load(&self.replicas[engine].id, prefill);
        if save {
            let salt = cache_salt(MODEL.0, MODEL.1, CacheScope::Shared(None));
            let part = self.asked[started.request.id].prompt.parts[0].clone();
            let held = HeldPart { salt, part: part.id, tokens: part.tokens };
            self.catalog.apply(
                1,
                false,
                vec![Change::Added(held)],
                self.now as u64,
                time(self.now),
            );
        }
    }

    fn last(&mut self, engine: usize, request: EngineRequest) {
        self.engines[engine].end(&request);
        let rest = Load { prefill_tokens: 0, ..load_of(&request) };
        self.pool.remove_load(&self.replicas[engine].id, rest);
        self.start_waiting(engine);
    }

    fn catalog(&mut self) {
        self.catalog.apply(1, false, Vec::new(), self.now as u64, time(self.now));
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

fn load_of(request: &EngineRequest) -> Load {
    Load {
        prefill_tokens: request.input,
        memory_tokens: request.input + request.output,
        requests: 1,
    }
}

/// Returns a random factor for sizes of prompts, from a shifted exponential distribution with mean
/// 1.
fn random_size_factor(rng: &mut SmallRng) -> f64 {
    let unit: f64 = rng.random_range(f64::EPSILON..1.0);
    0.35 - 0.65 * unit.ln()
}

fn replica(at: usize) -> Arc<Replica> {
    Arc::new(Replica {
        id: format!("r-{at:03}").into(),
        target: TARGET.into(),
        addr: addr(at),
        zone: "a".into(),
        software: None,
        slots: 64,
        leaving: false,
        started_ms: 1,
        models: vec![(MODEL.0.into(), MODEL.1)],
        cold: Duration::ZERO,
    })
}

/// Returns the address of an engine. Its port is the number of the engine plus one.
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
