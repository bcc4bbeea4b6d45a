//! Instances that keep a replica's limit together, with lost and doubled datagrams, restarts,
//! freezes and cuts.

use std::{ops::Range, sync::Arc, time::Duration};

use fleet::Replica;
use ident::Time;
use place::{LimitReport, Limits, NamedLimit, Peers, Permit};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const STEP: u64 = 20;
const ANSWER: u64 = 60;
const CONTACT: u64 = 4000;
const WINDOW: u64 = 4000;
/// Time at which the replica names its limit, and from which it names none.
const NAMED: Range<u64> = 1000..21_000;
const LENGTH: u64 = 32_000;
/// Time without a datagram after which a peer counts as gone.
const HEARD_TTL: u64 = 6400;

struct Instance {
    limits: Limits,
    /// When it first passed an answer with the limit on.
    told: Option<u64>,
    /// Until when it is excused, cut off from its peers, and frozen.
    excused: u64,
    cut: u64,
    frozen: u64,
    next_report: u64,
    heard: Vec<u64>,
}

struct World {
    rng: SmallRng,
    now: u64,
    limit: f64,
    trouble: bool,
    /// Requests a second that would go to the replica.
    demand: f64,
    instances: Vec<Instance>,
    /// Receiver, sender and content.
    datagrams: Vec<(usize, usize, Vec<LimitReport>)>,
    /// Requests under way: instance and time of the answer.
    requests: Vec<(usize, u64)>,
    /// Arrivals, and whether they count.
    arrivals: Vec<(u64, bool)>,
}

fn replica() -> Replica {
    Replica {
        id: "replica".into(),
        target: "desk".into(),
        addr: "127.0.0.1:1".parse().expect("it is an address"),
        zone: "a".into(),
        software: None,
        slots: 8,
        leaving: false,
        started_ms: 1,
        models: Vec::new(),
        cold: Duration::ZERO,
    }
}

fn name(at: usize) -> Arc<str> {
    format!("instance-{at}").into()
}

impl World {
    fn new(count: usize, limit: f64, trouble: bool, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instance = |next_report| Instance {
            limits: Limits::default(),
            told: None,
            excused: 0,
            cut: 0,
            frozen: 0,
            next_report,
            heard: vec![0; count],
        };
        let instances = (0..count).map(|_| instance(rng.random_range(0..1000))).collect();
        let demand = 40.0;
        let (datagrams, requests, arrivals) = (Vec::new(), Vec::new(), Vec::new());
        Self { rng, now: 0, limit, trouble, demand, instances, datagrams, requests, arrivals }
    }

    fn time(&self) -> Time {
        Time(1_000_000 + self.now)
    }

    fn play(&mut self) {
        while self.now < LENGTH {
            self.deliver();
            if self.trouble {
                self.disturb();
            }
            if self.rng.random_bool(self.demand * STEP as f64 / 1000.0) {
                self.send();
            }
            self.answer();
            self.gossip();
            self.now += STEP;
        }
    }

    fn disturb(&mut self) {
        if !self.rng.random_bool(0.01) {
            return;
        }
        let at = self.rng.random_range(0..self.instances.len());
        let (now, count) = (self.now, self.instances.len());
        let span = self.rng.random_range(200..3000);
        let kind = self.rng.random_range(0..3);
        let instance = &mut self.instances[at];
        match kind {
            0 => {
                instance.limits = Limits::default();
                (instance.told, instance.heard) = (None, vec![now; count]);
                instance.excused = now + CONTACT;
                self.requests.retain(|(by, _)| *by != at);
            }
            1 => (instance.cut, instance.excused) = (now + span, now + span + CONTACT),
            _ => (instance.frozen, instance.excused) = (now + span, now + span + CONTACT),
        }
    }

    fn update_peers(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        let heard = instance.heard.iter().enumerate();
        let alive = heard.filter(|(peer, last)| *peer == at || **last + HEARD_TTL > self.now);
        let mut alive: Vec<Arc<str>> = alive.map(|(peer, _)| name(peer)).collect();
        alive.sort();
        let registered = instance.heard.len();
        instance.limits.set_peers(Peers { own: name(at), alive, registered });
    }

    fn send(&mut self) {
        let now = self.time();
        let at = self.rng.random_range(0..self.instances.len());
        let instance = &mut self.instances[at];
        if instance.frozen > self.now || !instance.limits.take("replica", now) {
            return;
        }
        let told = instance.told.is_some_and(|told| told + 500 <= self.now);
        self.arrivals.push((self.now, told && instance.excused <= self.now));
        self.requests.push((at, self.now + ANSWER));
    }

    fn answer(&mut self) {
        let (time, now) = (self.time(), self.now);
        let rate = NAMED.contains(&now).then_some(self.limit);
        for (at, _) in self.requests.extract_if(.., |(_, due)| *due <= now) {
            let instance = &mut self.instances[at];
            instance.limits.observe(&replica(), rate, time);
            if rate.is_some() {
                instance.told.get_or_insert(now);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.time();
        for (to, from, reports) in std::mem::take(&mut self.datagrams) {
            if self.instances[to].frozen > self.now {
                // They wait in its socket.
                self.datagrams.push((to, from, reports));
                continue;
            }
            self.instances[to].heard[from] = self.now;
            for report in &reports {
                self.instances[to].limits.merge(report, now);
            }
        }
    }

    fn gossip(&mut self) {
        let now = self.time();
        let count = self.instances.len();
        for at in 0..count {
            let instance = &mut self.instances[at];
            if instance.next_report > self.now || instance.frozen > self.now {
                continue;
            }
            instance.next_report = self.now + (count as u64 * 1000 / 60).max(200);
            let report = instance.limits.report(now);
            self.update_peers(at);
            for peer in (0..count).filter(|peer| *peer != at) {
                let cut = [at, peer].iter().any(|i| self.instances[*i].cut > self.now);
                let copies = match self.rng.random_range(0.0..1.0) {
                    _ if cut => 0,
                    x if x < 0.1 => 0,
                    x if x < 0.2 => 2,
                    _ => 1,
                };
                for _ in 0..copies {
                    self.datagrams.push((peer, at, report.clone()));
                }
            }
        }
    }

    fn arrived(&self, span: Range<u64>) -> f64 {
        let inside = self.arrivals.iter().filter(|(at, _)| span.contains(at));
        inside.count() as f64 * 1000.0 / (span.end - span.start) as f64
    }
}

fn assert_kept(count: usize, limit: f64, trouble: bool, seed: u64) {
    let mut world = World::new(count, limit, trouble, seed);
    world.play();
    let case = format!("{count} instances, limit {limit}, seed {seed}");
    let counted = world
        .arrivals
        .iter()
        .filter(|(at, counts)| *counts && (NAMED.start + CONTACT..NAMED.end).contains(at));
    let counted: Vec<u64> = counted.map(|(at, _)| *at).collect();
    let in_window = |from: u64| {
        let inside = counted.iter().filter(|at| (from..from + WINDOW).contains(at));
        inside.count()
    };
    let most = counted.iter().map(|from| in_window(*from)).max().unwrap_or(0);
    let allowed = 1.5 * limit * WINDOW as f64 / 1000.0 + 5.0;
    assert!(most as f64 <= allowed, "{case}: {most} arrivals in 4 s, {allowed} allowed");
    if !trouble && count <= 24 {
        let used = world.arrived(NAMED.start + CONTACT..NAMED.end);
        // One instance sees the demand for the replica divided by their number.
        let seen = world.demand / count as f64 * (limit / 2.0 + 2.0);
        assert!(used > 0.5 * limit.min(seen), "{case}: {used} a second");
        // The end of a limit shows in the answer to the next request, which a low limit delays.
        let interval = ((limit / 2.0 + 2.0).floor() / limit.max(0.25) * 1000.0) as u64;
        let after = world.arrived(NAMED.end + 1500.max(interval + 500)..LENGTH);
        assert!(after >= world.demand * 0.6, "{case}: {after} a second after the limit");
    }
}

/// Seeds of a range, or those that the environment names.
fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("LIMIT_SEEDS") else { return default };
    let (from, to) = text.split_once("..").expect("a range of seeds, as in 0..200");
    from.parse().expect("a number")..to.parse().expect("a number")
}

#[test]
fn few_instances_keep_a_limit_together() {
    for seed in seeds(0..40) {
        let limit = [0.2, 1.0, 4.0, 9.3, 25.0][seed as usize % 5];
        let count = [3, 6, 8, 12, 24][seed as usize / 5 % 5];
        assert_kept(count, limit, seed % 2 == 1, seed);
    }
}

#[test]
fn many_instances_keep_a_limit_together() {
    for seed in seeds(0..6) {
        let limit = [4.0, 9.3, 1.0][seed as usize % 3];
        assert_kept([91, 320][seed as usize % 2], limit, seed % 4 > 1, seed);
    }
}

fn alone() -> Limits {
    let mut limits = Limits::default();
    limits.set_peers(Peers { own: name(0), alive: vec![name(0)], registered: 1 });
    limits
}

#[test]
fn a_lonely_instance_sends_its_share_only() {
    let mut limits = Limits::default();
    limits.set_peers(Peers { own: name(0), alive: vec![name(0)], registered: 91 });
    limits.observe(&replica(), Some(9.0), Time(0));
    let sent = (0..400).filter(|n| limits.take("replica", Time(n * 10))).count();
    // A sixth of 36, since six instances share the limit.
    assert!((5..=7).contains(&sent), "{sent} in 4 s");
}

#[test]
fn a_huge_limit_limits_nothing_that_matters() {
    let mut limits = alone();
    let NamedLimit::Rate(rate) = NamedLimit::parse(&"9".repeat(300)) else { panic!() };
    limits.observe(&replica(), Some(rate), Time(0));
    assert!((1..100).all(|n| limits.take("replica", Time(n * 10))));
}

#[test]
fn a_frozen_instance_brings_no_burst() {
    let mut limits = alone();
    limits.observe(&replica(), Some(10.0), Time(0));
    let later = Time(60_000);
    limits.observe(&replica(), Some(10.0), later);
    assert!(limits.take("replica", later));
    assert!(!limits.take("replica", later));
}

#[test]
fn the_youngest_observation_counts() {
    let mut limits = alone();
    limits.observe(&replica(), Some(2.0), Time(10_000));
    let report = |rate, age| LimitReport {
        replica: "replica".into(),
        started_ms: 1,
        rate,
        age: Duration::from_millis(age),
    };
    assert!(!limits.merge(&report(None, 500), Time(10_100)), "it is older");
    assert_eq!(limits.count(), 1);
    assert!(limits.merge(&report(None, 20), Time(10_100)));
    assert_eq!(limits.count(), 0);
    assert!(limits.report(Time(10_200)).is_empty(), "only own observations are passed on");
}

#[test]
fn a_limit_without_news_is_dropped_in_turn() {
    let mut limits = alone();
    limits.observe(&replica(), Some(1.0), Time(0));
    assert_eq!(limits.permits(Time(59_000)).len(), 1);
    assert!(limits.permits(Time(61_000)).is_empty());
}

#[test]
fn another_incarnation_has_no_limit() {
    let mut limits = alone();
    limits.observe(&replica(), Some(1.0), Time(0));
    let restarted = Replica { started_ms: 2, ..replica() };
    assert!(!limits.observe(&restarted, None, Time(10)));
    assert!(limits.permits(Time(20)).is_empty());
}

#[test]
fn only_decimal_numbers_are_rates() {
    for text in ["", "many", "-3", "+3", "inf", "NaN", "1e3", "0x1f", "3, 4", "3 4"] {
        assert_eq!(NamedLimit::parse(text), NamedLimit::Malformed(text.into()));
    }
    let huge = "9".repeat(400);
    assert!(matches!(NamedLimit::parse(&huge), NamedLimit::Malformed(_)));
    for (text, rate) in [("0", 0.0), ("9.3", 9.3), ("12", 12.0), (".5", 0.5)] {
        assert_eq!(NamedLimit::parse(text), NamedLimit::Rate(rate));
    }
}

#[test]
fn a_full_bucket_permits_one_request() {
    let mut limits = alone();
    limits.observe(&replica(), Some(4.0), Time(0));
    let permits = limits.permits(Time(0));
    assert_eq!(&*permits[0].0, "replica");
    let Permit::At(at) = permits[0].1 else { panic!("the bucket starts empty") };
    assert_eq!(limits.permits(at.after(Duration::from_millis(1)))[0].1, Permit::Now);
}
