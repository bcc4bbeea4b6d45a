//! Which replica a request goes to, and when it waits instead.

use std::sync::Arc;

use fleet::{Engine, Replica};
use ident::Time;
use place::{Ask, Choice, Denied, Outcome, PeerLoad, Pool, Room, Work};

const NOW: Time = Time(10_000);
const LONG: Work = Work { reading: 17_000, memory: 17_100, runs: 1 };
const SHORT: Work = Work { reading: 380, memory: 400, runs: 1 };

fn engine() -> Engine {
    let (capacity, bytes, link) = (74_000, 18_432, 88_000.0);
    Engine { slots: 64, capacity, bytes, link, models: vec!["m".into()] }
}

fn replica(n: usize, version: u64) -> Arc<Replica> {
    Arc::new(Replica {
        id: format!("r-{n:02}").into(),
        target: "t".into(),
        addr: format!("127.0.0.1:{}", 1000 + n).parse().expect("it is an address"),
        zone: "a".into(),
        slots: 64,
        leaving: false,
        born: 1,
        models: vec![("m".into(), version)],
    })
}

fn pool(count: usize) -> Pool {
    let mut pool = Pool::default();
    let replicas: Vec<_> = (0..count).map(|n| replica(n, 1)).collect();
    pool.sync(&replicas);
    pool
}

fn ask<'a>(work: Work, engine: &'a Engine, context: &'a str) -> Ask<'a> {
    Ask {
        target: "t",
        context: Some(context),
        work,
        shared: work.reading * 3 / 4,
        model: Some(("m", 1)),
        floor: 0,
        room: Room::Ample,
        zone: "a",
        tried: &[],
        engine: Some(engine),
        draw: 0,
    }
}

fn homes(pool: &Pool, work: Work) -> Vec<Arc<str>> {
    let engine = engine();
    let mut out: Vec<Arc<str>> = (0..200)
        .map(|n| {
            let context = format!("c-{n}");
            let choice = pool.choose(&ask(work, &engine, &context), NOW).expect("all are idle");
            assert!(choice.home.is_none(), "an idle home is taken");
            choice.replica.id.clone()
        })
        .collect();
    out.sort();
    out.dedup();
    out
}

fn fill(pool: &mut Pool, ids: &[Arc<str>], share: f64) {
    let memory = (engine().capacity as f64 * share) as u64;
    ids.iter().for_each(|id| pool.begin(id, Work { reading: 0, memory, runs: 3 }));
}

#[test]
fn a_context_keeps_its_home() {
    let (pool, engine) = (pool(12), engine());
    let one = |p: &Pool| p.choose(&ask(LONG, &engine, "ctx"), NOW).map(|c| c.replica.id.clone());
    let home = one(&pool);
    assert_eq!(home, one(&pool));
    let mut smaller = Pool::default();
    let gone = homes(&pool, SHORT)[0].clone();
    let rest: Vec<_> = (0..12)
        .map(|n| replica(n, 1))
        .filter(|r| r.id != gone && Ok(&r.id) != home.as_ref())
        .collect();
    smaller.sync(&rest);
    assert!(one(&smaller).is_ok(), "another one takes over");
}

/// Long prompts push the parts of short ones out of memory (umthombo-book quiet-1).
#[test]
fn short_and_long_prompts_live_apart() {
    let pool = pool(12);
    let (short, long) = (homes(&pool, SHORT), homes(&pool, LONG));
    assert_eq!((short.len(), long.len()), (3, 9));
    assert!(short.iter().all(|id| !long.contains(id)));
}

/// umthombo-book scale-1: with a quarter of the replicas dark, requests that waited at full engines
/// had their fetched parts pushed out, and all was read again for as long as the load lasted.
#[test]
fn a_long_prompt_waits_while_all_engines_are_full() {
    let (mut pool, engine) = (pool(12), engine());
    let long = homes(&pool, LONG);
    fill(&mut pool, &long, 0.8);
    let mut ask = ask(LONG, &engine, "ctx");
    assert_eq!(pool.choose(&ask, NOW).map(|c| c.delay).unwrap_err(), Denied::Crowded);
    ask.room = Room::Tight;
    let chosen = pool.choose(&ask, NOW).expect("engines of short prompts have room");
    assert!(!long.contains(&chosen.replica.id));
    let all: Vec<Arc<str>> = (0..12).map(|n| format!("r-{n:02}").into()).collect();
    fill(&mut pool, &all, 0.9);
    assert_eq!(pool.choose(&ask, NOW).map(|c| c.delay).unwrap_err(), Denied::Crowded);
    ask.room = Room::Any;
    assert!(pool.choose(&ask, NOW).is_ok(), "it is offered in the end");
}

#[test]
fn a_short_prompt_does_not_wait_behind_long_ones() {
    let (mut pool, engine) = (pool(12), engine());
    let long = homes(&pool, LONG);
    fill(&mut pool, &long, 1.5);
    let choice = pool.choose(&ask(SHORT, &engine, "ctx"), NOW).expect("it never waits");
    assert!(choice.delay < 100.0, "{} ms", choice.delay);
}

#[test]
fn peers_requests_count_while_they_are_news() {
    let (mut pool, engine) = (pool(12), engine());
    let loads: Vec<PeerLoad> = homes(&pool, LONG)
        .into_iter()
        .map(|replica| PeerLoad { replica, work: Work { reading: 0, memory: 70_000, runs: 4 } })
        .collect();
    pool.peer(&"other".into(), loads, NOW);
    assert_eq!(pool.choose(&ask(LONG, &engine, "c"), NOW).map(|_| ()), Err(Denied::Crowded));
    assert!(pool.choose(&ask(LONG, &engine, "c"), Time(NOW.0 + 2000)).is_ok());
}

#[test]
fn homes_are_taken_within_one_version() {
    let engine = engine();
    let mut pool = Pool::default();
    let replicas: Vec<_> = (0..12).map(|n| replica(n, 1 + (n as u64 % 2))).collect();
    pool.sync(&replicas);
    for n in 0..50 {
        let context = format!("c-{n}");
        let mut ask = ask(LONG, &engine, &context);
        ask.model = Some(("m", 2));
        let choice: Choice = pool.choose(&ask, NOW).expect("some have room");
        let home = choice.home.as_ref().map(|h| h.version("m"));
        assert!(home.is_none_or(|v| v == choice.version), "parts of another version are no use");
        ask.floor = 2;
        let newest = pool.choose(&ask, NOW).expect("half have them");
        assert_eq!(newest.version, Some(2), "retired weights are not used");
    }
}

#[test]
fn a_silent_replica_is_left_and_tried_again() {
    let (mut pool, engine) = (pool(1), engine());
    let ask = ask(SHORT, &engine, "ctx");
    pool.outcome("r-00", Outcome::Silent, NOW);
    assert!(pool.choose(&ask, NOW).is_ok(), "once is no evidence");
    pool.outcome("r-00", Outcome::Silent, NOW);
    let Err(Denied::Unusable { until }) = pool.choose(&ask, NOW) else { panic!("it is left") };
    assert!(pool.choose(&ask, until).is_ok());
    pool.outcome("r-00", Outcome::Answered, until);
    pool.outcome("r-00", Outcome::Silent, until);
    assert!(pool.choose(&ask, until).is_ok(), "an answer clears it");
}

#[test]
fn an_unreachable_replica_is_left_at_once() {
    let (mut pool, engine) = (pool(2), engine());
    let ask = ask(SHORT, &engine, "ctx");
    let first = pool.choose(&ask, NOW).expect("both are idle").replica.id.clone();
    pool.unreachable(&first, NOW);
    assert_ne!(pool.choose(&ask, NOW).expect("the other is idle").replica.id, first);
}

#[test]
fn a_restart_forgets_what_was_known() {
    let (mut pool, engine) = (pool(1), engine());
    pool.begin("r-00", LONG);
    pool.outcome("r-00", Outcome::Silent, NOW);
    pool.outcome("r-00", Outcome::Silent, NOW);
    let born_again = Replica { born: 2, ..(*replica(0, 1)).clone() };
    pool.sync(&[Arc::new(born_again)]);
    let choice = pool.choose(&ask(SHORT, &engine, "c"), NOW).expect("it is another incarnation");
    assert_eq!(choice.work, Work::default());
}

#[test]
fn plain_targets_share_by_load() {
    let (mut pool, engine) = (pool(3), engine());
    let ask = Ask { engine: None, context: None, model: None, ..ask(SHORT, &engine, "x") };
    let mut counts = [0; 3];
    for draw in 0..300 {
        let choice = pool.choose(&Ask { draw, ..ask.clone() }, NOW).expect("all work");
        let at: usize = choice.replica.id[2..].parse().expect("it ends with a number");
        counts[at] += 1;
        pool.begin(&choice.replica.id.clone(), Work { reading: 0, memory: 0, runs: 1 });
    }
    assert!(counts.iter().all(|c| (95..=105).contains(c)), "{counts:?}");
}
