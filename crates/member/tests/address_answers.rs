//! Selection of the instances in address answers.

mod sim;

use std::time::Duration;

use ident::Name;
use member::{ADDRESS_TTL, Answer, MAX_ADDRESSES};
use rand::Rng;
use sim::Sim;

fn ask(sim: &mut Sim, i: usize, team: usize, context: &str, spread: u8) -> Answer {
    let team = Name::new(&format!("team-{team}")).unwrap();
    let now = sim.now;
    sim.nodes[i].members.answer(&team, context, spread, None, now)
}

fn settled(count: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(count, 4, seed);
    sim.run(Duration::from_secs(10));
    sim
}

#[test]
fn every_instance_agrees() {
    let mut sim = settled(8, 1);
    for team in 0..50 {
        let first = ask(&mut sim, 0, team, "calendar", 3);
        assert!((1..8).all(|i| ask(&mut sim, i, team, "calendar", 3) == first));
        assert_eq!(first.expires, sim.now.after(ADDRESS_TTL));
        assert!(first.addresses.len() == MAX_ADDRESSES && first.addresses[0].home);
    }
}

#[test]
fn loss_moves_only_its_contexts() {
    let mut sim = settled(8, 2);
    for spread in [1, 3, 8, 40] {
        let pick = |sim: &mut Sim| -> Vec<_> {
            (0..300)
                .map(|n| ask(sim, 0, n % 10, &format!("c{n}"), spread).addresses.remove(0).name)
                .collect()
        };
        let before = pick(&mut sim);
        sim.kill(5);
        sim.run(Duration::from_secs(20));
        let after = pick(&mut sim);
        let lost = sim::name(5);
        assert!(before.contains(&lost) && !after.contains(&lost));
        for (old, new) in before.iter().zip(&after) {
            assert!(old == new || *old == lost, "spread {spread}: {old} moved to {new}");
        }
        sim.restart(5);
        sim.run(Duration::from_secs(20));
        assert_eq!(pick(&mut sim), before);
    }
}

#[test]
fn home_count_matches_homes() {
    let sim = settled(8, 3);
    for spread in 1..20 {
        let team = Name::new("t").unwrap();
        let home = |i: usize| sim.nodes[i].members.is_home(&team, spread, sim.now);
        let count = (0..8).filter(|&i| home(i)).count();
        assert_eq!(sim.nodes[0].members.home_count(&team, spread, sim.now), count);
        assert!(count >= 1 && count <= usize::from(spread));
    }
}

#[test]
fn zone_of_the_caller_comes_first() {
    let mut sim = settled(8, 4);
    let (team, now) = (Name::new("t").unwrap(), sim.now);
    for zone in 0..4 {
        let zone = Name::new(&format!("zone-{zone}")).unwrap();
        let with = sim.nodes[0].members.answer(&team, "c", 2, Some(&zone), now).addresses;
        let without = sim.nodes[0].members.answer(&team, "c", 2, None, now).addresses;
        assert_eq!(with[0], without[0], "the home does not depend on the caller");
        let rest: Vec<_> = with.iter().filter(|a| !a.home).map(|a| a.zone == zone).collect();
        assert!(rest.is_sorted_by(|a, b| a >= b), "{rest:?}");
        let all = sim.nodes[0].members.answer(&team, "", 200, Some(&zone), now).addresses;
        assert_eq!(all[0].zone, zone);
    }
}

#[test]
fn leaving_instance_is_not_named() {
    for count in [8, 80] {
        let mut sim = settled(count, 5);
        let now = sim.now;
        let named = ask(&mut sim, 1, 0, "c", 255).expires;
        sim.nodes[1].members.leave(now);
        let knows = |s: &Sim| {
            (0..count).all(|i| !s.nodes[i].members.serving(s.now).contains(&sim::name(1)))
        };
        let took = sim.until(Duration::from_secs(10), knows).expect("all know of the leave");
        let told = sim.now;
        assert!(took < Duration::from_secs(6), "{took:?}");
        while !sim.nodes[1].members.is_drained(sim.now) {
            for _ in 0..4 {
                let (i, c) = (sim.rng.random_range(0..count), sim.rng.random::<u16>());
                let answer = ask(&mut sim, i, 3, &c.to_string(), 9);
                assert!(answer.addresses.iter().all(|a| a.name != sim::name(1)));
            }
            sim.step();
            assert!(sim.now.since(told) < Duration::from_secs(60), "never drained");
        }
        assert!(named <= sim.now && sim.now.since(told) >= Duration::from_secs(9), "{count}");
    }
}

#[test]
fn drained_despite_a_peer_that_is_down() {
    let mut sim = settled(8, 6);
    sim.kill(2);
    let now = sim.now;
    sim.nodes[1].members.leave(now);
    let done = sim.until(Duration::from_secs(60), |s| s.nodes[1].members.is_drained(s.now));
    assert!(done.is_some_and(|t| t >= ADDRESS_TTL));
}

#[test]
fn delayed_acknowledgement_delays_drain() {
    let mut sim = settled(8, 7);
    sim.cut = |from, to| from == 1 && to == 4;
    let now = sim.now;
    sim.nodes[1].members.leave(now);
    sim.run(Duration::from_millis(1500));
    sim.cut = |_, _| false;
    let knows = |s: &Sim| !s.nodes[4].members.serving(s.now).contains(&sim::name(1));
    assert!(sim.until(Duration::from_secs(10), knows).is_some());
    let done = sim.until(Duration::from_secs(60), |s| s.nodes[1].members.is_drained(s.now));
    assert!(done.is_some_and(|t| t >= Duration::from_secs(9)));
}
