//! Engines under the load of one deployment, with many instances that choose among them by old
//! reports.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use fleet::{Engine, Replica};
use ident::Time;
use place::{Headroom, Load, LoadReport, Outcome, PeerLoad, PlacementRequest, Pool, ReplicaLoad};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SLOTS: usize = 12;
const QUEUE: usize = 36;
/// Interval at which reports reach the other instances.
const SHARING_MS: u64 = 300;
/// Interval of an instance's datagrams to one peer.
const DATAGRAM_MS: u64 = 2000;
/// Time for a fetch of a long context from a store or another engine.
const FETCH_MS: u64 = 40;
/// Time in which figures are not counted.
pub const WARMUP_MS: u64 = 3000;

/// One class of requests.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub rate: f64,
    pub shared: u64,
    pub own: u64,
    pub output: u64,
    pub goal: u64,
    pub contexts: u64,
    /// Share of the requests that one context gets.
    pub hot: f64,
}

/// One deployment. `step_ms` is the time of one decoding step of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub engines: usize,
    pub capacity: u64,
    pub rate: f64,
    pub chunk: u64,
    pub step_ms: f64,
    pub classes: [Class; 2],
}

const SHORT: Class =
    Class { rate: 689.0, shared: 301, own: 82, output: 6, goal: 300, contexts: 400, hot: 0.0 };
const LONG: Class =
    Class { rate: 79.1, shared: 12_800, own: 4260, output: 15, goal: 600, contexts: 300, hot: 0.0 };

pub const A: Deployment = Deployment {
    engines: 57,
    capacity: 74_455,
    rate: 63.9,
    chunk: 1024,
    step_ms: 8.0,
    classes: [SHORT, Class { hot: 0.28, ..LONG }],
};
pub const B: Deployment = Deployment {
    engines: 112,
    capacity: 73_976,
    rate: 37.9,
    chunk: 4096,
    step_ms: 32.0,
    classes: [
        Class { rate: 948.0, goal: 500, ..SHORT },
        Class { rate: 80.0, output: 17, goal: 2000, ..LONG },
    ],
};

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    pub deployment: Deployment,
    pub instances: usize,
    pub seed: u64,
    pub length: u64,
    /// Factors of the classes' rates after the warm-up.
    pub bursts: [f64; 2],
    /// Whether 15 % of the engines at a time work at 2.5 times the usual time, for 600 ms.
    pub has_slow: bool,
    /// Whether reports name a pace.
    pub has_pace: bool,
}

impl Play {
    /// Whether the figures cover a request that arrives at `now`.
    fn counts(&self, class: usize, now: u64) -> bool {
        now >= WARMUP_MS && now + 2 * self.deployment.classes[class].goal < self.length
    }
}

/// What callers of one class get.
#[derive(Debug, Default, Clone)]
pub struct Figures {
    pub sent: u32,
    pub on_time: u32,
    pub rejected: u32,
    pub arrivals: Vec<u32>,
    pub latencies: Vec<u64>,
}

impl Figures {
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.sent.max(1))
    }

    /// Arrivals at the busiest engine as a multiple of the mean.
    pub fn imbalance(&self) -> f64 {
        let mean = self.arrivals.iter().sum::<u32>() as f64 / self.arrivals.len() as f64;
        f64::from(self.arrivals.iter().max().copied().unwrap_or(0)) / mean
    }

    pub fn median(&mut self) -> u64 {
        self.latencies.sort_unstable();
        self.latencies.get(self.latencies.len() / 2).copied().unwrap_or(0)
    }
}

#[derive(Debug, Clone)]
struct Job {
    class: usize,
    instance: usize,
    /// Context, unique over the classes.
    context: u64,
    arrived: u64,
    ready: u64,
    unread: u64,
    output: u64,
    load: Load,
    fetched: bool,
    read: bool,
}

/// An engine that prefills in chunks and decodes all running requests in steps.
#[derive(Debug, Default)]
struct Sim {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Cached contexts and their tokens, least recently used first.
    cache: VecDeque<(u64, u64)>,
    step_end: u64,
    pace: f64,
}

impl Sim {
    fn requests(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    fn report(&self, has_pace: bool) -> ReplicaLoad {
        let (running, waiting) = (self.running.len() as u32, self.waiting.len() as u32);
        let pace = has_pace.then_some((self.pace.max(1.0) * 100.0) as u32);
        ReplicaLoad { running, waiting, slots: SLOTS as u32, pace }
    }

    fn admit(&mut self, spec: &Deployment, now: u64) {
        while self.running.len() < SLOTS {
            let taken: u64 = self.running.iter().map(|j| j.load.memory_tokens).sum();
            let Some(next) = self.waiting.front() else { break };
            let fits = taken + next.load.memory_tokens <= spec.capacity || self.running.is_empty();
            if !fits || next.ready > now {
                break;
            }
            let mut job = self.waiting.pop_front().expect("it is there");
            let class = spec.classes[job.class];
            let cached = self.cache.iter().position(|(c, _)| *c == job.context);
            let kept = cached.and_then(|at| self.cache.remove(at));
            job.unread = match kept.is_some() || job.fetched {
                true => job.unread,
                false => job.unread + class.shared,
            };
            self.cache.push_back((job.context, class.shared));
            let mut held: u64 = self.cache.iter().map(|(_, t)| t).sum();
            while held + taken + job.load.memory_tokens > spec.capacity && self.cache.len() > 1 {
                held -= self.cache.pop_front().map_or(0, |(_, t)| t);
            }
            self.running.push(job);
        }
    }

    /// Ends the step, starts the next one, and returns what has begun to be answered and what has
    /// ended.
    fn step(&mut self, spec: &Deployment, now: u64) -> (Vec<Job>, Vec<Job>) {
        let mut begun = Vec::new();
        for job in &mut self.running {
            if job.unread == 0 {
                job.output = job.output.saturating_sub(1);
                if !job.read {
                    job.read = true;
                    begun.push(job.clone());
                }
            }
        }
        let ended = self.running.extract_if(.., |j| j.read && j.output == 0).collect();
        self.admit(spec, now);
        let mut left = spec.chunk;
        for job in &mut self.running {
            let read = job.unread.min(left);
            job.unread -= read;
            left -= read;
        }
        let busy = if self.running.is_empty() { 1.0 } else { spec.step_ms };
        let time = (busy + (spec.chunk - left) as f64 / spec.rate) * self.pace.max(1.0);
        self.step_end = now + time.max(1.0) as u64;
        (begun, ended)
    }
}

pub fn replicas(count: usize) -> Vec<Arc<Replica>> {
    let replica = |n: usize| Replica {
        id: format!("r-{n:03}").into(),
        target: "t".into(),
        addr: format!("127.0.0.1:{}", 1000 + n).parse().expect("the address is valid"),
        zone: "a".into(),
        software: None,
        slots: SLOTS as u32,
        leaving: false,
        cold: Duration::ZERO,
        started_ms: 1,
        models: vec![("m".into(), 1)],
    };
    (0..count).map(|n| Arc::new(replica(n))).collect()
}

/// Plays a deployment and returns the figures of short and long prompts.
pub fn play(play: Play) -> [Figures; 2] {
    let spec = play.deployment;
    let engine = Engine {
        slots: SLOTS as u32,
        capacity_tokens: spec.capacity,
        token_bytes: 18_432,
        link_mbps: 88_000.0,
        models: vec!["m".into()],
    };
    let mut rng = SmallRng::seed_from_u64(play.seed);
    let replicas = replicas(spec.engines);
    let mut pools: Vec<Pool> = (0..play.instances).map(|_| Pool::default()).collect();
    pools.iter_mut().for_each(|pool| pool.sync(&replicas));
    let names: Vec<Arc<str>> = (0..play.instances).map(|n| format!("i-{n}").into()).collect();
    let mut sims: Vec<Sim> = (0..spec.engines).map(|_| Sim::default()).collect();
    let mut out =
        [(); 2].map(|()| Figures { arrivals: vec![0; spec.engines], ..Figures::default() });
    let mut next = [0.0; 2];
    // Latest report of each replica, not shared yet.
    let mut reports: Vec<Option<LoadReport>> = vec![None; spec.engines];
    for now in 0..play.length {
        let time = Time(100_000 + now);
        for sim in sims.iter_mut().filter(|_| play.has_slow && now.is_multiple_of(600)) {
            sim.pace = if rng.random_bool(0.15) { 2.5 } else { 1.0 };
        }
        for (at, sim) in sims.iter_mut().enumerate() {
            if sim.step_end > now {
                continue;
            }
            let (begun, ended) = sim.step(&spec, now);
            let (load, id) = (sim.report(play.has_pace), &replicas[at].id);
            for job in begun {
                let pool = &mut pools[job.instance];
                pool.record_report(id, load, time);
                pool.record_outcome(id, Outcome::Answered, time);
                pool.remove_load(id, Load { memory_tokens: 0, requests: 0, ..job.load });
                if job.load.is_long() {
                    let taken = Duration::from_millis(now - job.arrived);
                    pool.record_first_byte(id, job.load.prefill_tokens, taken, time);
                }
                reports[at] = Some(LoadReport { replica: id.clone(), load, at: time });
            }
            for job in ended {
                let load = Load { prefill_tokens: 0, ..job.load };
                let pool = &mut pools[job.instance];
                pool.remove_load(id, load);
                let taken = Duration::from_millis(now - job.arrived);
                pool.record_end(id, load.is_long(), taken, time);
                if play.counts(job.class, job.arrived) {
                    let figures = &mut out[job.class];
                    figures.latencies.push(now - job.arrived);
                    figures.on_time += u32::from(now - job.arrived <= spec.classes[job.class].goal);
                }
            }
        }
        if now.is_multiple_of(SHARING_MS) {
            for report in reports.iter_mut().filter_map(Option::take) {
                pools.iter_mut().for_each(|pool| pool.merge_report(&report));
            }
        }
        let turn = |at: usize| (at as u64 * 17 + now).is_multiple_of(DATAGRAM_MS);
        for from in (0..play.instances).filter(|at| turn(*at)) {
            let loads: Vec<PeerLoad> = pools[from].own_loads();
            for (_, pool) in pools.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                pool.set_peer_loads(&names[from], loads.clone(), time);
            }
        }
        for at in 0..2 {
            while next[at] <= now as f64 {
                let burst = if now < WARMUP_MS { 1.0 } else { play.bursts[at] };
                let gap = 1000.0 / (spec.classes[at].rate * burst);
                next[at] += -gap * rng.random_range(f64::EPSILON..1.0_f64).ln();
                let instance = rng.random_range(0..play.instances);
                let job = job(&spec, at, instance, now, &mut rng);
                let sent =
                    send(job, &mut pools[instance], &engine, &play, &mut sims, time, &mut rng);
                if play.counts(at, now) {
                    out[at].sent += 1;
                    sent.arrivals.iter().for_each(|to| out[at].arrivals[*to] += 1);
                    out[at].rejected += u32::from(!sent.accepted);
                }
            }
        }
    }
    out
}

fn job(spec: &Deployment, class: usize, instance: usize, now: u64, rng: &mut SmallRng) -> Job {
    let Class { contexts, hot, shared, own, output, .. } = spec.classes[class];
    let context = match rng.random_bool(hot) {
        true => 0,
        false => rng.random_range(0..contexts),
    };
    let context = context + class as u64 * 1_000_000;
    let size: f64 = 0.35 - 0.65 * rng.random_range(f64::EPSILON..1.0_f64).ln();
    let own = (own as f64 * size) as u64 + 1;
    let memory_tokens = shared + own + output;
    let load = Load { prefill_tokens: shared + own, memory_tokens, requests: 1 };
    let (unread, fetched, read) = (own, false, false);
    Job { class, instance, context, arrived: now, ready: now, unread, output, load, fetched, read }
}

struct Sent {
    arrivals: Vec<usize>,
    accepted: bool,
}

/// Sends a request to the replica that its instance chooses, and to two others if that is full.
fn send(
    mut job: Job,
    pool: &mut Pool,
    engine: &Engine,
    play: &Play,
    sims: &mut [Sim],
    time: Time,
    rng: &mut SmallRng,
) -> Sent {
    let class = play.deployment.classes[job.class];
    let context = format!("c-{}", job.context);
    let (mut tried, mut arrivals): (Vec<Arc<str>>, Vec<usize>) = (Vec::new(), Vec::new());
    while tried.len() < 3 {
        let request = PlacementRequest {
            target: "t",
            context: Some(&context),
            load: job.load,
            shared_tokens: class.shared,
            model: Some(("m", 1)),
            min_version: 0,
            software: None,
            headroom: Headroom::Any,
            zone: "a",
            tried: &tried,
            permits: &[],
            engine: Some(engine),
            goal: Duration::from_millis(class.goal),
            tie_breaker: rng.random(),
        };
        let Ok(choice) = pool.choose(&request, time) else { break };
        let id = choice.replica.id.clone();
        let at = usize::from(choice.replica.addr.port() - 1000);
        arrivals.push(at);
        if sims[at].requests() >= SLOTS + QUEUE {
            pool.record_report(&id, sims[at].report(play.has_pace), time);
            pool.record_outcome(&id, Outcome::Full, time);
            tried.push(id);
            continue;
        }
        // Long contexts are kept in stores.
        let is_cached = sims[at].cache.iter().any(|(c, _)| *c == job.context);
        job.fetched = !is_cached && class.shared >= 1024;
        job.ready = job.arrived + if job.fetched { FETCH_MS } else { 0 };
        let shared = if job.fetched || choice.preferred.is_none() { class.shared } else { 0 };
        job.load.prefill_tokens -= shared;
        pool.add_load(&id, job.load);
        sims[at].waiting.push_back(job);
        return Sent { arrivals, accepted: true };
    }
    Sent { arrivals, accepted: false }
}
