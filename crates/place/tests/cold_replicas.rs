//! Instances that keep the limit of a cold replica together, with lost and late knowledge of the
//! replica and of each other.

use std::{sync::Arc, time::Duration};

use fleet::{ColdLimit, Replica};
use ident::Time;
use place::{ColdBound, ColdReplicas, Permit};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const LIMIT: ColdLimit = ColdLimit { span: Duration::from_secs(12), rate: 13.0 };
const BOUND: ColdBound = ColdBound { excess: 1.5, tolerance: 5.0 };
const STEP: u64 = 10;
/// Requests of all instances that would go to the replica, per second.
const DEMAND: f64 = 200.0;
/// Longest time until an instance reads a changed entry.
const ENTRY_DELAY: u64 = 2000;
const START: u64 = 1_000_000;

fn replica(started_ms: u64, cold_ms: u64) -> Replica {
    Replica {
        id: "r".into(),
        target: "t".into(),
        addr: "127.0.0.1:1".parse().expect("it is an address"),
        zone: "a".into(),
        software: None,
        slots: 12,
        leaving: false,
        started_ms,
        models: Vec::new(),
        cold: Duration::from_millis(cold_ms),
    }
}

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("i-{n:03}").into()).collect()
}

/// An instance that knows a warm replica and the names of `count` instances.
fn instance(at: usize, names: &[Arc<str>]) -> ColdReplicas {
    let mut out = ColdReplicas::new(BOUND);
    out.set_instances(&names[at], names.to_vec(), Time(0));
    out.set_instances(&names[at], names.to_vec(), Time(START));
    out.note(&replica(1, 0), Some(LIMIT), false, Time(START));
    out.set_read();
    out
}

/// Most arrivals in any second.
fn most_in_a_second(arrivals: &[u64]) -> usize {
    let in_second = |at: &u64| arrivals.iter().filter(|a| (*at..=at + 1000).contains(a)).count();
    arrivals.iter().map(in_second).max().unwrap_or(0)
}

fn allowed() -> usize {
    (LIMIT.rate * BOUND.excess + BOUND.tolerance) as usize
}

#[derive(Clone, Copy)]
enum Return {
    /// All instances lost connections to the replica, which is back under another start time at once.
    Restarted,
    /// The evacuation of its zone ends, and the entry says warm for some time.
    Evacuated,
}

struct Trouble {
    /// Share of the instances that read no entry any more.
    cut: f64,
    /// Share of the instances in lists of instances that some have.
    listed: f64,
}

/// Plays the return of a cold replica. Returns the arrivals.
fn play(count: usize, how: Return, trouble: &Trouble, seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let names = names(count);
    let mut instances: Vec<ColdReplicas> = (0..count).map(|at| instance(at, &names)).collect();
    let reads: Vec<Option<u64>> = (0..count)
        .map(|_| (!rng.random_bool(trouble.cut)).then(|| rng.random_range(0..ENTRY_DELAY)))
        .collect();
    let restarted = replica(START + 1, 12_000);
    for instance in &mut instances {
        match how {
            Return::Restarted => _ = instance.lost("r", 1, Time(START)),
            Return::Evacuated => _ = instance.zone_returned("a", Time(START)),
        }
    }
    let mut arrivals = Vec::new();
    for now in (START..START + LIMIT.span.as_millis() as u64).step_by(STEP as usize) {
        let time = Time(now);
        for (at, instance) in instances.iter_mut().enumerate() {
            // The entry is read at once by some, and again later.
            if reads[at].is_some_and(|delay| now - START == delay / STEP * STEP) {
                match how {
                    Return::Restarted => instance.note(&restarted, Some(LIMIT), false, time),
                    Return::Evacuated => instance.note(&replica(1, 0), Some(LIMIT), true, time),
                };
            }
            if rng.random_bool(0.0005) {
                let mut is_listed =
                    |n: &&Arc<str>| **n == names[at] || rng.random_bool(trouble.listed);
                let listed = names.iter().filter(&mut is_listed).cloned().collect();
                instance.set_instances(&names[at], listed, time);
            }
        }
        for _ in 0..3 {
            if rng.random_bool(DEMAND * STEP as f64 / 3000.0) {
                let at = rng.random_range(0..count);
                if instances[at].take("r", time).is_some() {
                    instances[at].reached("r", time);
                    arrivals.push(now);
                }
            }
        }
    }
    arrivals
}

/// Guards against senders that each have a burst, and against instances that take over the shares of
/// others which they don't know any more.
#[test]
fn any_second_keeps_the_bound() {
    let settled = Trouble { cut: 0.0, listed: 1.0 };
    let troubled = Trouble { cut: 0.3, listed: 0.9 };
    for count in [1, 3, 91, 320] {
        for how in [Return::Restarted, Return::Evacuated] {
            for trouble in [&settled, &troubled] {
                for seed in 0..5 {
                    let arrivals = play(count, how, trouble, seed);
                    let most = most_in_a_second(&arrivals);
                    assert!(most <= allowed(), "{count} instances: {most} in a second");
                    let rate = arrivals.len() as f64 / LIMIT.span.as_secs_f64();
                    println!("{count} instances: {most} in a second, {rate:.1} per second");
                    if count < 91 && trouble.cut == 0.0 {
                        assert!(rate > 0.6 * LIMIT.rate, "{count} instances: {rate} per second");
                    }
                }
            }
        }
    }
}

/// Guards against shares that are used twice: half of the instances know no one of the other half.
#[test]
fn two_halves_that_do_not_know_each_other_keep_the_bound() {
    for count in [2, 6, 91, 320] {
        let names = names(count);
        let halves = names.split_at(count / 2);
        let mut all: Vec<ColdReplicas> = (0..halves.0.len())
            .map(|at| instance(at, halves.0))
            .chain((0..halves.1.len()).map(|at| instance(at, halves.1)))
            .collect();
        let mut arrivals = Vec::new();
        for instance in &mut all {
            instance.lost("r", 1, Time(START));
        }
        for now in (START..START + 8000).step_by(STEP as usize) {
            for instance in &mut all {
                arrivals.extend(instance.take("r", Time(now)).map(|_| now));
            }
        }
        let most = most_in_a_second(&arrivals);
        assert!(most <= allowed() && most > 8, "{count} instances: {most} in a second");
    }
}

/// Guards against requests to replicas whose entries don't yet say that they are cold.
#[test]
fn new_and_returned_replicas_are_cold() {
    let (names, now) = (names(1), Time(START));
    let mut known = instance(0, &names);
    let limit = Some(LIMIT);
    assert!(!known.is_cold("r", now));
    assert_eq!(known.take("r", now), Some(false), "a warm replica has no limit");
    assert!(known.note(&replica(2, 0), limit, false, now), "it is another incarnation");
    let later = now.after(Duration::from_secs(3));
    known.note(&replica(2, 0), limit, true, now.after(Duration::from_secs(2)));
    assert!(known.is_cold("r", later), "an entry of these seconds may be old");
    known.note(&replica(2, 0), limit, true, later);
    assert!(!known.is_cold("r", later), "a later entry says warm");
    // Gone and back under the same start time.
    known.retain(|_| false);
    assert!(known.note(&replica(2, 0), limit, false, later));
    assert!(!known.is_cold("r", later.after(LIMIT.span)), "the cold time is over");
    // Lost, and still the same incarnation.
    let mut lost = instance(0, &names);
    assert!(lost.lost("r", 1, now) && lost.is_cold("r", now));
    lost.is_same("r", 1, now);
    assert!(!lost.is_cold("r", now));
    // Without entries it is cold as long as it can be after it is back.
    lost.lost("r", 1, now);
    lost.reached("r", later);
    assert!(lost.is_cold("r", later.after(LIMIT.span).before(Duration::from_millis(1))));
    assert!(!lost.is_cold("r", later.after(LIMIT.span)));
}

/// Guards against peers that learn of a crash only from the entry, and against news without an end.
#[test]
fn an_end_is_reported_for_some_time() {
    let (names, now) = (names(1), Time(START));
    let mut cold = instance(0, &names);
    cold.lost("r", 1, now);
    assert!(cold.report(now).is_empty(), "a lost connection shows no end");
    assert!(!cold.ended("r", 2, now), "it is another incarnation");
    assert!(cold.ended("r", 1, now) && !cold.ended("r", 1, now), "it is new once");
    cold.reached("r", now);
    assert_eq!(cold.report(now), [("r".into(), 1)]);
    assert!(cold.report(now.after(Duration::from_secs(3))).is_empty());
    cold.note(&replica(2, 9000), Some(LIMIT), false, now);
    assert!(cold.report(now).is_empty(), "the entry of the next one is known");
}

/// Guards against cold times that are extended by each reading of an entry, and against a second
/// cold time that is taken for the first.
#[test]
fn an_entry_that_is_read_again_extends_no_cold_time() {
    let (names, now) = (names(1), Time(START));
    let mut cold = instance(0, &names);
    let note = |cold: &mut ColdReplicas, at: u64| {
        cold.note(&replica(1, 4000), Some(LIMIT), true, Time(START + at))
    };
    assert!(note(&mut cold, 0) && !note(&mut cold, 3000));
    assert!(cold.is_cold("r", Time(START + 3999)) && !cold.is_cold("r", Time(START + 4000)));
    assert!(note(&mut cold, 5000), "it is cold once more");
    assert!(cold.is_cold("r", Time(START + 8999)) && !cold.is_cold("r", Time(START + 9000)));
    assert_eq!(cold.count(now.after(Duration::from_secs(6))), 1);
}

/// Guards against an instance that restarts and sends freely to replicas that have just started.
#[test]
fn an_instance_that_starts_takes_young_replicas_for_cold() {
    let now = Time(100_000);
    let mut cold = ColdReplicas::new(BOUND);
    cold.note(&replica(95_000, 0), Some(LIMIT), false, now);
    assert!(cold.is_cold("r", now.after(Duration::from_secs(6))));
    assert!(!cold.is_cold("r", now.after(Duration::from_secs(7))));
    let mut cold = ColdReplicas::new(BOUND);
    cold.note(&replica(80_000, 0), Some(LIMIT), false, now);
    assert!(!cold.is_cold("r", now), "it has run for longer than it can be cold");
    cold.note(&replica(80_000, u64::MAX), Some(LIMIT), true, now);
    assert!(!cold.is_cold("r", now.after(LIMIT.span)), "no replica is cold for longer");
}

/// Guards against all instances that send to a replica at the moment when it is warm.
#[test]
fn the_rate_rises_over_two_seconds() {
    let names = names(91);
    let mut all: Vec<ColdReplicas> = (0..91).map(|at| instance(at, &names)).collect();
    all.iter_mut().for_each(|i| _ = i.note(&replica(1, 1000), Some(LIMIT), true, Time(START)));
    let senders = |all: &mut Vec<ColdReplicas>, now: u64| {
        let permits = all.iter_mut().map(|i| i.permits(Time(START + now)));
        permits.filter(|p| p.iter().all(|(_, p)| *p != Permit::Elsewhere)).count()
    };
    let counts = [900, 1600, 2100, 3100].map(|now| senders(&mut all, now));
    assert_eq!(counts[0], 12);
    assert!(counts[1] > 12 && counts[1] < 50 && counts[2] > counts[1], "{counts:?}");
    assert_eq!(counts[3], 91);
}

/// Guards against effects on targets without a limit.
#[test]
fn targets_without_a_limit_have_no_cold_replicas() {
    let mut cold = ColdReplicas::new(BOUND);
    cold.set_read();
    assert!(!cold.note(&replica(START, 9000), None, false, Time(START)));
    assert_eq!((cold.count(Time(START)), cold.permits(Time(START))), (0, Vec::new()));
    assert_eq!(cold.take("r", Time(START)), Some(false));
}

/// Guards against ages that mix the clock of the instance with Unix time: all replicas then counted as
/// cold after a restart of the instance.
#[test]
fn ages_are_by_unix_time() {
    const UNIX_MS: u64 = 1_700_000_000_000;
    let mut cold = ColdReplicas::new(BOUND);
    cold.set_origin(UNIX_MS);
    let now = Time(5_000);
    cold.note(&replica(UNIX_MS - 60_000, 0), Some(LIMIT), false, now);
    assert_eq!(cold.count(now), 0);
    let mut cold = ColdReplicas::new(BOUND);
    cold.set_origin(UNIX_MS);
    cold.note(&replica(UNIX_MS + 4_900, 0), Some(LIMIT), false, now);
    assert_eq!(cold.count(now), 1);
}
