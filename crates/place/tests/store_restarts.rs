//! A store restarts empty. Instances that don't know it yet still have engines fetch parts that they
//! believe to be whole, so that no engine may reserve space for those parts in the meantime.

use std::{collections::BTreeMap, sync::Arc};

use fleet::{CacheScope, Store};
use ident::Time;
use place::{Catalog, Change, HeldPart, Part, Plan, Prompt, cache_salt};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The engines' clock at time 0.
const CLOCK_OFFSET: u64 = 1_000_000;
/// Parts that requests ask for, all whole at the store before it restarts.
const PARTS: usize = 6;
const TOKENS: u64 = 12_800;
const POLL_WAIT: u64 = 500;
/// Time after which a poll without an answer fails.
const POLL_TIMEOUT: u64 = 1100;
const RETRY_DELAY: u64 = 250;
const EVENT_LAG: u64 = 60;
/// Time from the reservation of a part's space until it is written.
const WRITE_TIME: u64 = 200;
/// Longest wait of a request at an engine before it fetches.
const MAX_FETCH_WAIT: u64 = 2000;
/// Longest wait of a request at an engine before it reserves space.
const MAX_SAVE_WAIT: u64 = 20;
const RESTART_AT: u64 = 5000;
const END: u64 = 14_000;

/// Which instance asks a store first after its restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum First {
    /// All were polling, and their connections were reset.
    Polling,
    /// One that starts. The connections of the others went silent.
    Starting,
    /// One that could not reach the store before. The connections of the others went silent.
    CutOff,
}

/// A poll for events.
#[derive(Debug, Clone, Copy)]
struct Poll {
    asked: u64,
    since: usize,
    epoch: u64,
}

struct Instance {
    catalog: Catalog,
    poll: Option<Poll>,
    /// When the next call is made, if no poll is under way.
    next_call: u64,
    /// Whether the open poll gets no answer.
    silent: bool,
    /// Position in the store's events.
    since: usize,
    starts: u64,
    /// Within this time it does not reach the store.
    cut: (u64, u64),
}

/// The store's contents.
struct Contents {
    epoch: u64,
    /// By part: when the part was or will be whole.
    parts: BTreeMap<usize, u64>,
    /// When an event is told, and the part.
    events: Vec<(u64, usize)>,
}

struct World {
    store: Arc<Store>,
    contents: Contents,
    instances: Vec<Instance>,
    down: (u64, u64),
    /// When an engine fetches a part, its deadline, and the part.
    fetches: Vec<(u64, u64, usize)>,
    /// When an engine reserves the space of a part, and the part.
    saves: Vec<(u64, usize)>,
    rng: SmallRng,
    incomplete: Vec<String>,
    fetched: usize,
}

fn store() -> Arc<Store> {
    Arc::new(Store {
        name: "kept".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        capacity_tokens: 1_000_000,
        link_mbps: 40_000.0,
        max_polls: 12,
        delay_ms: 0.5,
        managed: true,
    })
}

fn part_name(part: usize) -> String {
    format!("part-{part}")
}

fn held(part: usize) -> HeldPart {
    HeldPart {
        salt: cache_salt("m", 1, CacheScope::Shared(None)),
        part: part_name(part).into(),
        tokens: TOKENS,
    }
}

fn prompt(part: usize) -> Prompt {
    let shared = Part { id: part_name(part).into(), tokens: TOKENS };
    let own = Part { id: "own".into(), tokens: 400 };
    Prompt {
        model: "m".into(),
        input_tokens: TOKENS + 400,
        output_tokens: 10,
        parts: vec![shared, own],
    }
}

impl World {
    fn new(seed: u64, instances: usize, away: u64, first: First) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let back = RESTART_AT + away;
        let instance = |at: usize, rng: &mut SmallRng| Instance {
            catalog: Catalog::default(),
            poll: None,
            next_call: 0,
            silent: false,
            since: 0,
            starts: match first {
                First::Starting if at == 0 => back,
                _ => rng.random_range(0..400),
            },
            cut: match first {
                First::CutOff if at == 0 => (1000, back),
                _ => (0, 0),
            },
        };
        let contents = Contents {
            epoch: 1,
            parts: (0..PARTS).map(|part| (part, 0)).collect(),
            events: Vec::new(),
        };
        Self {
            store: store(),
            contents,
            instances: (0..instances).map(|at| instance(at, &mut rng)).collect(),
            down: (RESTART_AT, back),
            fetches: Vec::new(),
            saves: Vec::new(),
            rng,
            incomplete: Vec::new(),
            fetched: 0,
        }
    }

    fn play(&mut self, first: First) {
        for now in 0..END {
            if now == self.down.0 {
                self.lose_power(first);
            }
            self.call_store(now);
            self.ask(now);
            self.run_engines(now);
        }
    }

    fn lose_power(&mut self, first: First) {
        let epoch = self.contents.epoch + 1;
        self.contents = Contents { epoch, parts: BTreeMap::new(), events: Vec::new() };
        for instance in &mut self.instances {
            match first {
                First::Polling => {
                    if instance.poll.take().is_some() {
                        instance.catalog.clear();
                        instance.next_call = self.down.0 + RETRY_DELAY;
                    }
                }
                First::Starting | First::CutOff => instance.silent = instance.poll.is_some(),
            }
        }
    }

    /// Polls of all instances, and the store's answers.
    fn call_store(&mut self, now: u64) {
        let is_up = !(self.down.0..self.down.1).contains(&now);
        let contents = &self.contents;
        for instance in &mut self.instances {
            let reached = is_up && !(instance.cut.0..instance.cut.1).contains(&now);
            if instance.starts > now || instance.next_call > now {
                continue;
            }
            let Some(poll) = instance.poll else {
                if !reached {
                    instance.catalog.clear();
                    instance.next_call = now + RETRY_DELAY;
                } else if instance.catalog.needs_list() {
                    let whole = contents.parts.iter().filter(|(_, at)| **at <= now);
                    let whole = whole.map(|(part, _)| held(*part)).collect();
                    instance.catalog.replace(contents.epoch, whole);
                    let clock = CLOCK_OFFSET + now;
                    instance.catalog.apply(contents.epoch, false, Vec::new(), clock, Time(now));
                    instance.since = contents.events.iter().filter(|(at, _)| *at <= now).count();
                } else {
                    let (since, epoch) = (instance.since, contents.epoch);
                    instance.poll = Some(Poll { asked: now, since, epoch });
                    instance.silent = false;
                }
                continue;
            };
            let told = contents.events.iter().skip(poll.since).take_while(|(at, _)| *at <= now);
            let told: Vec<usize> = told.map(|(_, part)| *part).collect();
            let is_silent = instance.silent || !reached || poll.epoch != contents.epoch;
            if is_silent && now >= poll.asked + POLL_TIMEOUT {
                instance.catalog.clear();
                (instance.poll, instance.next_call) = (None, now + RETRY_DELAY);
            } else if !is_silent && (!told.is_empty() || now >= poll.asked + POLL_WAIT) {
                instance.since = poll.since + told.len();
                let changes = told.into_iter().map(|part| Change::Added(held(part))).collect();
                let clock = CLOCK_OFFSET + now;
                instance.catalog.apply(poll.epoch, false, changes, clock, Time(poll.asked));
                instance.poll = None;
            }
        }
    }

    /// Requests that arrive at instances.
    fn ask(&mut self, now: u64) {
        // Every part is known everywhere before the restart.
        if now < 1000 || self.rng.random_range(0..20) > 0 {
            return;
        }
        let at = self.rng.random_range(0..self.instances.len());
        let part = self.rng.random_range(0..PARTS);
        let instance = &mut self.instances[at];
        if instance.starts > now {
            return;
        }
        let mut stores = [(self.store.clone(), &mut instance.catalog)];
        let salt = cache_salt("m", 1, CacheScope::Shared(None));
        let plan = Plan::new(&prompt(part), &salt, None, None, &mut stores, Time(now));
        if plan.fetches() {
            let deadline = plan.deadline_ms.expect("a fetch from a store has a deadline");
            let at = now + self.rng.random_range(0..MAX_FETCH_WAIT);
            self.fetches.push((at, deadline, part));
        }
        if plan.parts[0].save.is_some() {
            self.saves.push((now + self.rng.random_range(0..MAX_SAVE_WAIT), part));
        }
    }

    fn run_engines(&mut self, now: u64) {
        let is_up = !(self.down.0..self.down.1).contains(&now);
        let contents = &mut self.contents;
        let due = self.fetches.extract_if(.., |(at, _, _)| *at == now);
        for (_, deadline, part) in due.filter(|(_, until, _)| CLOCK_OFFSET + now <= *until) {
            match contents.parts.get(&part) {
                Some(whole_at) if *whole_at > now && is_up => {
                    let whole_in = whole_at - now;
                    let line = format!(
                        "part {part} fetched at {now}, whole in {whole_in} ms, deadline {deadline}"
                    );
                    self.incomplete.push(line);
                }
                Some(_) if is_up => self.fetched += 1,
                _ => {}
            }
        }
        for (_, part) in self.saves.extract_if(.., |(at, _)| *at == now) {
            if is_up && !contents.parts.contains_key(&part) {
                let whole_at = now + WRITE_TIME;
                contents.parts.insert(part, whole_at);
                contents.events.push((whole_at + EVENT_LAG, part));
            }
        }
    }
}

/// A fetch that was planned in the store's former epoch meets no part that is being written.
#[test]
fn no_part_is_fetched_while_it_is_written_again() {
    for instances in [2, 6] {
        for away in [0, 100, 300, 1000, 2000] {
            for first in [First::Polling, First::Starting, First::CutOff] {
                for seed in 0..20 {
                    let mut world = World::new(seed, instances, away, first);
                    world.play(first);
                    let incomplete = &world.incomplete;
                    let case = format!("{instances} instances, {away} ms, {first:?}, seed {seed}");
                    assert!(incomplete.is_empty(), "{case}: {incomplete:?}");
                    assert!(world.fetched > 0, "{case}: nothing was fetched");
                }
            }
        }
    }
}

/// A store is used again soon after its restart.
#[test]
fn parts_are_saved_again_after_a_restart() {
    for first in [First::Polling, First::Starting, First::CutOff] {
        let mut world = World::new(1, 6, 300, first);
        world.play(first);
        assert_eq!(world.contents.parts.len(), PARTS, "{first:?}");
        let last = world.contents.parts.values().max().expect("parts were saved");
        assert!(*last < RESTART_AT + 6000, "{first:?}: the last part was whole at {last}");
    }
}

fn saves(catalog: &mut Catalog, now: Time) -> bool {
    let mut stores = [(store(), catalog)];
    let salt = cache_salt("m", 1, CacheScope::Shared(None));
    let plan = Plan::new(&prompt(0), &salt, None, None, &mut stores, now);
    plan.parts[0].save.is_some()
}

/// The last fetch of the former epoch may end 1.8 s after the store's last answer in it, on the
/// engines' clock, and the first answer of the new epoch may come right after that one.
#[test]
fn saves_wait_for_the_last_fetch_on_the_engines_clock() {
    let mut catalog = Catalog::default();
    catalog.replace(2, Vec::new());
    for (ms, saved) in [(0, false), (1000, false), (1800, false), (2500, true)] {
        catalog.apply(2, false, Vec::new(), CLOCK_OFFSET + ms, Time(10_000 + ms));
        assert_eq!(saves(&mut catalog, Time(10_000 + ms)), saved, "after {ms} ms");
    }
}

/// An instance that did not reach a store for a moment saves there at once if the store went on.
#[test]
fn a_store_that_went_on_is_saved_to_at_once() {
    let mut catalog = Catalog::default();
    for (epoch, ms, saved) in [(2, 0, false), (2, 3000, true), (2, 6000, true), (3, 9000, false)] {
        catalog.clear();
        catalog.replace(epoch, Vec::new());
        catalog.apply(epoch, false, Vec::new(), CLOCK_OFFSET + ms, Time(10_000 + ms));
        assert_eq!(saves(&mut catalog, Time(10_000 + ms)), saved, "epoch {epoch} after {ms} ms");
    }
}

/// A catalog of the former epoch that a peer handed on late opens nothing.
#[test]
fn a_former_epoch_that_is_heard_again_allows_no_save() {
    let mut catalog = Catalog::default();
    for (epoch, ms) in [(1, 0), (1, 3000), (2, 3100), (1, 3050), (2, 3500), (1, 3050)] {
        catalog.replace(epoch, Vec::new());
        catalog.apply(epoch, false, Vec::new(), CLOCK_OFFSET + ms, Time(10_000 + ms));
        let saved = saves(&mut catalog, Time(10_000 + ms));
        assert_eq!(saved, (epoch, ms) == (1, 3000), "epoch {epoch} after {ms} ms");
    }
}
