//! One run: a clock stepped from event to event.

use std::{collections::VecDeque, time::Duration};

use admit::{Decision, Outcome};
use ident::{Name, Time, rendezvous_order};
use route::{Choice, End, Load, Plan, Ticket};

use crate::{
    bound::{Bound, bound, reusable},
    event::{Event, Events},
    fake::{Engine, Job, Link, Lru},
    figures::{Collector, Figures},
    instance::{Home, Instance, Lookup, Names, key, name},
    policies::PolicyKind,
    spec::{PIECE_KV_BYTES, PIECE_TOKENS, Spec, TOKEN_BYTES, TeamSpec, Workload},
    trace::{Request, Trace},
    transfer::Transfers,
};

/// Time between two samples of the engines' load.
const SAMPLE_EVERY: Duration = Duration::from_millis(250);
/// Time between two looks at a gate's queue.
const TICK_EVERY: Duration = Duration::from_millis(50);
/// Time to generate one token.
const TOKEN_TIME: Duration = Duration::from_millis(25);
/// One way between instance and engine, in milliseconds.
const INNER_MS: u64 = 1;
/// Advice after the retry budget is used up.
const GIVE_UP_PAUSE: u64 = 1_000;

/// What is run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The workload.
    pub workload: Workload,
    /// The policy.
    pub policy: PolicyKind,
    /// Seconds that are measured, after as long a warm-up.
    pub secs: u64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Multiple of the workload's rate.
    pub load: f64,
    /// Seconds until a load report or an eviction is known to the instances.
    pub lag: u64,
    /// Limit of each team on requests per second, as a multiple of its usual rate at load 1.
    pub limit: f64,
    /// A team that sends ten times its rate in the second half.
    pub flood: Option<usize>,
    /// Seconds for which every engine is down in the middle of the run.
    pub outage: u64,
    /// How often a refused caller comes back.
    pub returns: u8,
    /// Factor on the rate of all links in the middle third of the run.
    pub links: f64,
}

/// A request under way.
#[derive(Debug, Default)]
pub(crate) struct Flight {
    pub(crate) home: Home,
    returns: u8,
    deadline: Time,
    pub(crate) tried: Vec<Name>,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) engine: usize,
    /// Leading tokens that are imported.
    pub(crate) imported: u32,
    /// Leading tokens that the engine did not compute.
    cached: u32,
    /// Pieces expected in the engine's memory, and how long ago they were used.
    expected: Option<(u32, Duration)>,
}

pub(crate) struct Run {
    pub(crate) options: Options,
    pub(crate) spec: Spec,
    pub(crate) names: Names,
    pub(crate) trace: Trace,
    reusable: Vec<u32>,
    pub(crate) flights: Vec<Flight>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) links: Vec<Link>,
    pub(crate) stores: Vec<Lru>,
    pub(crate) transfers: Transfers,
    samples: VecDeque<Vec<Load>>,
    pub(crate) events: Events,
    figures: Collector,
}

/// Replays a workload once.
pub fn run(options: &Options) -> Figures {
    let spec = Spec::of(options.workload).lasting(options.secs);
    let trace = Trace::draw(&spec, options.load, options.flood, options.seed);
    let lower = bound(&spec, &trace);
    let mut run = Run::new(*options, spec, trace);
    run.play();
    run.finish(lower)
}

impl Run {
    fn new(options: Options, spec: Spec, trace: Trace) -> Self {
        let names = names(&spec);
        let engines = names.engines.iter().map(|_| Engine::new(spec.prefill, spec.memory));
        let links = spec.stores.iter().map(|_| Link::new(spec.link as f64));
        let stores = spec.stores.iter().map(|_| Lru::new(spec.store / TOKEN_BYTES));
        let instances =
            (0..spec.instances).map(|rank| Instance::new(&spec, &names, &options, rank));
        Self {
            options,
            reusable: reusable(&trace),
            flights: homes(&spec, &trace),
            instances: instances.collect(),
            engines: engines.collect(),
            links: links.collect(),
            stores: stores.collect(),
            transfers: Transfers::new(&spec),
            samples: VecDeque::new(),
            events: Events::default(),
            figures: Collector::new(),
            names,
            spec,
            trace,
        }
    }

    fn play(&mut self) {
        for (job, request) in self.trace.requests.iter().enumerate() {
            let at = request.at.after(Duration::from_millis(self.spec.client_ms));
            self.events.add(at, Event::Arrive(job));
        }
        self.events.add(Time(0), Event::Sample);
        self.events.add(Time(0), Event::Tick);
        if self.options.links != 1.0 {
            let third = self.spec.length / 3;
            let rate = (self.options.links * 1000.0) as u64;
            self.events.add(Time(third), Event::LinkRate(rate));
            self.events.add(Time(2 * third), Event::LinkRate(1000));
        }
        let middle = Time(self.spec.warmup.midpoint(self.spec.length));
        let up = middle.after(Duration::from_secs(self.options.outage));
        for engine in &mut self.engines {
            engine.down = (middle, up);
        }
        while let Some((now, event)) = self.events.pop() {
            self.step(event, now);
        }
    }

    fn step(&mut self, event: Event, now: Time) {
        match event {
            Event::Arrive(job) => self.arrive(job, now),
            Event::Begin(id) => self.begin(id, now),
            Event::Moved(store, version) => self.moved(store, version, now),
            Event::First { engine, job } => self.first(engine, job, now),
            Event::Finish { engine, job } => self.finish_job(engine, job, now),
            Event::Evicted { engine, context, at } => self.evicted(engine, context, at),
            Event::Sample => self.sample(now),
            Event::Deliver => self.deliver(now),
            Event::Tick => self.tick_all(now),
            Event::LinkRate(part) => self.set_links(part, now),
        }
    }

    pub(crate) fn request(&self, job: usize) -> Request {
        self.trace.requests[job]
    }

    fn is_measured(&self, job: usize) -> bool {
        self.trace.requests[job].at >= Time(self.spec.warmup)
    }

    fn is_other(&self, job: usize) -> bool {
        self.options.flood != Some(self.trace.requests[job].team)
    }

    fn arrive(&mut self, job: usize, now: Time) {
        let request = self.request(job);
        if self.flights[job].returns == 0 {
            if self.is_measured(job) {
                self.figures.offered(request.class, self.is_other(job));
            }
            self.edit(&request);
        }
        let flight = &mut self.flights[job];
        flight.deadline = now.after(Duration::from_millis(request.patience));
        let cached = self.cached_guess(&request, now, job);
        let home = self.flights[job].home;
        let instance = &mut self.instances[home.instance];
        match instance.admit(job, (&self.spec, &self.names), &request, home, cached, now) {
            Decision::Run => self.launch(job, now),
            Decision::Wait => {}
            Decision::Refuse(refusal) => self.refused(job, refusal.retry_at),
        }
    }

    /// Cuts what an edit made useless.
    fn edit(&mut self, request: &Request) {
        if request.intact < request.shared {
            for memory in self.engines.iter_mut().map(|e| &mut e.memory).chain(&mut self.stores) {
                memory.cut(request.context, request.intact);
            }
        }
    }

    /// Leading tokens that will likely not be computed.
    fn cached_guess(&self, request: &Request, now: Time, job: usize) -> u32 {
        let kept = self.kept(request).map_or(0, |(_, pieces)| pieces * PIECE_TOKENS);
        let instance = &self.instances[self.flights[job].home.instance];
        let hot = instance.hot(&self.names, request, now).filter(|h| h.trust >= 50);
        hot.map_or(0, |h| h.pieces * PIECE_TOKENS).max(kept)
    }

    /// Routes an admitted request.
    fn launch(&mut self, job: usize, now: Time) {
        let request = self.request(job);
        if self.flights[job].tried.is_empty() {
            self.instances[self.flights[job].home.instance].budget.record_request();
            self.figures.admitted += 1;
        }
        let kept = self.kept(&request);
        let flight = &self.flights[job];
        let instance = &mut self.instances[flight.home.instance];
        let hot = instance.hot(&self.names, &request, now);
        let lookup = Lookup { kept, hot, tried: &flight.tried, deadline: flight.deadline };
        match instance.choose(&self.spec, &self.names, &request, lookup, now) {
            Ok(choice) => self.send(job, &choice, now),
            Err(miss) => {
                self.release(job, now);
                self.refused(job, miss.retry_at);
            }
        }
    }

    fn send(&mut self, job: usize, choice: &Choice, now: Time) {
        let request = self.request(job);
        self.figures.tries += 1;
        let engine = self.engine(&choice.replica);
        let flight = &mut self.flights[job];
        let instance = &mut self.instances[flight.home.instance];
        let last = instance.contexts.last(&key(request.context));
        let last = last.filter(|used| used.replica == choice.replica);
        flight.expected = last.map(|used| (used.pieces, now.since(used.at)));
        flight.ticket = instance.pool.start(&choice.replica, choice.tokens, request.class, now);
        flight.engine = engine;
        flight.imported = 0;
        match &choice.plan {
            Plan::Import { store, pieces, bytes } => {
                self.flights[job].imported = pieces * PIECE_TOKENS;
                self.import(job, store, *bytes, now);
            }
            Plan::Hot { .. } | Plan::Recompute => self.submit(job, now),
        }
    }

    /// Hands a prompt to its engine.
    pub(crate) fn submit(&mut self, job: usize, now: Time) {
        let request = self.request(job);
        let flight = &self.flights[job];
        let engine = &mut self.engines[flight.engine];
        let prompt = Job {
            id: job,
            context: request.context,
            shared: request.shared,
            tokens: request.tokens,
            imported: flight.imported.min(request.shared),
            class: request.class,
        };
        if engine.is_down(now) {
            self.retry(job, End::Failed, now);
        } else if engine.submit(prompt) {
            let engine = flight.engine;
            self.kick(engine, now);
        } else {
            self.retry(job, End::Full, now);
        }
    }

    fn retry(&mut self, job: usize, end: End, now: Time) {
        let flight = &mut self.flights[job];
        let instance = &mut self.instances[flight.home.instance];
        if let Some(ticket) = flight.ticket.take() {
            instance.pool.end(ticket, end, now);
        }
        flight.tried.push(self.names.engines[flight.engine].clone());
        if instance.budget.try_retry(now) {
            self.launch(job, now);
        } else {
            let spread = instance.draw() % GIVE_UP_PAUSE;
            self.release(job, now);
            self.refused(job, now.after(Duration::from_millis(GIVE_UP_PAUSE + spread)));
        }
    }

    fn kick(&mut self, engine: usize, now: Time) {
        if let Some(started) = self.engines[engine].begin(now) {
            self.flights[started.id].cached = started.cached;
            self.events.add(started.first, Event::First { engine, job: started.id });
        }
    }

    fn first(&mut self, engine: usize, job: usize, now: Time) {
        let request = self.request(job);
        let gone = self.engines[engine].computed();
        for context in gone {
            let known = now.after(Duration::from_secs(self.options.lag));
            self.events.add(known, Event::Evicted { engine, context, at: now });
        }
        self.count(job, &request, now);
        let flight = &mut self.flights[job];
        let instance = &mut self.instances[flight.home.instance];
        if let Some(ticket) = &flight.ticket {
            instance.pool.first_token(ticket, now);
        }
        if let (Some((pieces, age)), 0) = (flight.expected, flight.imported) {
            instance.contexts.record_observation(age, flight.cached * 2 >= pieces * PIECE_TOKENS);
        }
        instance.used(&self.names, &request, engine, now);
        self.export(job, &request, now);
        let end = now.after(TOKEN_TIME * request.answer);
        self.events.add(end, Event::Finish { engine, job });
        self.kick(engine, now);
    }

    fn count(&mut self, job: usize, request: &Request, now: Time) {
        if !self.is_measured(job) {
            return;
        }
        let reusable = self.reusable[job];
        self.figures.reusable += u64::from(reusable);
        self.figures.recomputed += u64::from(reusable.saturating_sub(self.flights[job].cached));
        let imported = self.flights[job].imported.min(self.flights[job].cached).min(reusable);
        self.figures.imported += u64::from(imported);
        let ms = now.since(request.at).as_millis() as u64 + 2 * INNER_MS + self.spec.client_ms;
        self.figures.first(request.class, self.is_other(job), ms, request.patience);
    }

    fn finish_job(&mut self, engine: usize, job: usize, now: Time) {
        self.engines[engine].finished();
        let flight = &mut self.flights[job];
        if let Some(ticket) = flight.ticket.take() {
            self.instances[flight.home.instance].pool.end(ticket, End::Done, now);
        }
        self.release(job, now);
        self.kick(engine, now);
    }

    /// Gives back the request's place at its gate.
    fn release(&mut self, job: usize, now: Time) {
        let at = self.flights[job].home.instance;
        let request = &self.trace.requests[job];
        self.instances[at].done(&self.spec, request, job, now);
        self.tick(at, now);
    }

    fn tick(&mut self, at: usize, now: Time) {
        for released in self.instances[at].tick(&self.names, now) {
            let job = released.id.0 as usize;
            match released.outcome {
                Outcome::Run => self.launch(job, now),
                Outcome::Refuse(refusal) => self.refused(job, refusal.retry_at),
            }
        }
    }

    fn refused(&mut self, job: usize, retry_at: Time) {
        self.figures.refused += u64::from(self.is_measured(job));
        let flight = &mut self.flights[job];
        flight.tried.clear();
        if flight.returns < self.options.returns {
            flight.returns += 1;
            self.events.add(retry_at, Event::Arrive(job));
        }
    }

    fn evicted(&mut self, engine: usize, context: usize, at: Time) {
        for instance in &mut self.instances {
            instance.contexts.remove(&key(context), &self.names.engines[engine], at);
        }
    }

    fn sample(&mut self, now: Time) {
        self.samples.push_back(self.engines.iter().map(|e| e.load(now)).collect());
        self.events.add(now.after(Duration::from_secs(self.options.lag)), Event::Deliver);
        if now < Time(self.spec.length) {
            self.events.add(now.after(SAMPLE_EVERY), Event::Sample);
        }
    }

    fn deliver(&mut self, now: Time) {
        let loads = self.samples.pop_front().expect("each delivery has its sample");
        for instance in &mut self.instances {
            instance.report(&self.names, &loads, now);
        }
    }

    fn tick_all(&mut self, now: Time) {
        for at in 0..self.instances.len() {
            self.tick(at, now);
        }
        if now < Time(self.spec.length * 2) {
            self.events.add(now.after(TICK_EVERY), Event::Tick);
        }
    }

    fn set_links(&mut self, part: u64, now: Time) {
        for store in 0..self.links.len() {
            let rate = self.spec.link as f64 * part as f64 / 1000.0;
            self.links[store].set_rate(rate, now);
            self.wake(store);
        }
    }

    fn engine(&self, name: &Name) -> usize {
        self.names.engines.binary_search(name).expect("choices name known engines")
    }

    fn finish(self, lower: Bound) -> Figures {
        let secs = (self.spec.length - self.spec.warmup) as f64 / 1000.0;
        let mut figures = Figures {
            workload: self.spec.name.to_owned(),
            policy: self.options.policy.name().to_owned(),
            seed: self.options.seed,
            load: self.options.load,
            lag: self.options.lag,
            bound: lower.share(),
            lru_bound: lower.lru_share(),
            ..Figures::default()
        };
        self.figures.fill(&mut figures, secs);
        self.transfers.fill(&mut figures, &self.spec);
        figures
    }
}

/// Names in the order of their indices; sorted.
fn names(spec: &Spec) -> Names {
    let count: usize = spec.replicas.iter().sum();
    Names {
        engines: (0..count).map(|i| name(&format!("engine-{i:02}"))).collect(),
        stores: (0..spec.stores.len()).map(|i| name(&format!("store-{i}"))).collect(),
        targets: (0..spec.replicas.len()).map(|i| name(&format!("target-{i}"))).collect(),
        weights: name("v1"),
    }
}

/// Each request at the home instance of its context: one of those that are home to its team.
fn homes(spec: &Spec, trace: &Trace) -> Vec<Flight> {
    let all: Vec<_> = (0..spec.instances).map(|i| (i, format!("entry-{i}"))).collect();
    let of_team = |t: &TeamSpec| -> Vec<(usize, &str)> {
        let ranked = rendezvous_order(t.name.as_str().as_bytes(), &all, |n| &n.1);
        ranked.iter().take(t.spread.into()).map(|n| (n.0, n.1.as_str())).collect()
    };
    let teams: Vec<_> = spec.teams.iter().map(of_team).collect();
    let home = |r: &Request| {
        let own = &teams[r.team];
        let instance = rendezvous_order(&r.context.to_le_bytes(), own, |n| n.1)[0].0;
        let place = own.iter().position(|n| n.0 == instance).expect("the home is ranked");
        Home { instance, place }
    };
    trace.requests.iter().map(|r| Flight { home: home(r), ..Flight::default() }).collect()
}

/// Bytes of the pieces that hold `tokens` leading tokens.
pub(crate) fn piece_bytes(tokens: u32) -> u64 {
    u64::from(Spec::pieces(tokens)) * PIECE_KV_BYTES
}
