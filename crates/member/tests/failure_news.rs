//! Updates about failures, restarts and leaves reach all instances, and no running instance stays
//! declared down.

mod sim;

use std::time::Duration;

use member::{PeerState, RING_NEIGHBOURS};
use rand::Rng;
use sim::{Sim, find, name};

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn settled(sim: &Sim) -> bool {
    (0..sim.nodes.len()).filter(|&i| sim.nodes[i].alive).all(|i| sim.all_hold(i, PeerState::Live))
}

#[test]
fn failure_reaches_all_instances() {
    for (count, limit) in [(8, 14), (40, 16), (320, 18)] {
        let mut sim = Sim::new(count, 4, 11);
        sim.run(secs(10));
        assert!(settled(&sim) && sim.changes.is_empty(), "{count}: {:?}", sim.changes);
        sim.kill(3);
        let suspect = sim.until(secs(8), |s| s.states(3).iter().all(|s| *s != PeerState::Live));
        let suspect = suspect.unwrap_or_else(|| panic!("{count}: some still name it"));
        let down = sim.until(secs(limit), |s| s.all_hold(3, PeerState::Down)).is_some();
        assert!(down, "{count}: suspected after {suspect:?}, not down everywhere");
        assert!((0..count).filter(|i| *i != 3).all(|i| sim.all_hold(i, PeerState::Live)));
    }
}

#[test]
fn restart_reaches_all_instances() {
    for count in [8, 100] {
        let mut sim = Sim::new(count, 4, 5);
        sim.run(secs(8));
        sim.kill(1);
        sim.run(secs(20));
        assert!(sim.all_hold(1, PeerState::Down), "{count}");
        sim.restart(1);
        assert!(sim.until(secs(20), settled).is_some(), "{count}: {:?}", sim.states(1));
        assert!(sim.states(2).len() == count - 1);
    }
}

#[test]
fn restart_before_suspicion() {
    let mut sim = Sim::new(8, 4, 6);
    sim.run(secs(8));
    let boot = find(&sim.nodes[0], 1).unwrap().boot;
    sim.restart(1);
    sim.run(secs(8));
    assert!(settled(&sim));
    assert_ne!(find(&sim.nodes[0], 1).unwrap().boot, boot);
}

#[test]
fn one_way_loss_declares_nobody_down() {
    let mut sim = Sim::new(8, 4, 7);
    sim.cut = |from, to| from == 0 && to == 1;
    sim.run(secs(120));
    sim.cut = |_, _| false;
    assert!(sim.until(secs(15), settled).is_some());
    let wrong = sim.changes.iter().filter(|c| c.3 == PeerState::Down).count();
    assert_eq!(wrong, 0, "{:?}", sim.changes);
}

#[test]
fn partition_heals() {
    for count in [8, 60] {
        let mut sim = Sim::new(count, 2, 8);
        sim.run(secs(8));
        sim.cut = |from, to| from % 2 != to % 2;
        sim.run(secs(60));
        assert_eq!(find(&sim.nodes[0], 1).unwrap().state, PeerState::Down);
        sim.cut = |_, _| false;
        assert!(sim.until(secs(90), settled).is_some(), "{count}");
    }
}

#[test]
fn empty_list_keeps_live_peers() {
    let mut sim = Sim::new(8, 4, 9);
    sim.run(secs(8));
    sim.set_list(Vec::new());
    sim.run(secs(120));
    assert!(settled(&sim) && sim.states(0).len() == 7);
    sim.kill(0);
    sim.run(secs(90));
    assert_eq!(sim.states(0), []);
}

#[test]
fn neighbours_are_symmetric() {
    let sim = Sim::new(320, 8, 10);
    for node in &sim.nodes {
        let near = node.members.neighbours();
        assert!(near.len() <= RING_NEIGHBOURS && near.len() >= 2, "{near:?}");
        for other in near {
            let other = sim.nodes.iter().find(|n| n.members.local().name == *other).unwrap();
            assert!(other.members.neighbours().contains(&node.members.local().name));
        }
    }
}

#[test]
fn random_faults_heal() {
    for seed in 0..24 {
        let count = if seed % 6 == 5 { 40 } else { 8 };
        let mut sim = Sim::new(count, 4, seed);
        sim.run(secs(6));
        for _ in 0..12 {
            let i = sim.rng.random_range(0..count);
            match sim.rng.random_range(0..4) {
                0 => sim.kill(i),
                1 => sim.restart(i),
                2 => sim.cut = |a, b| (a + b) % 5 == 0,
                _ => sim.cut = |_, _| false,
            }
            let pause = sim.rng.random_range(100..9000);
            sim.run(Duration::from_millis(pause));
        }
        sim.cut = |_, _| false;
        let done = sim.until(secs(60), |s| {
            let dead = |i| s.all_hold(i, PeerState::Down);
            settled(s) && (0..count).filter(|&i| !s.nodes[i].alive).all(dead)
        });
        assert!(done.is_some(), "seed {seed}: {:?}", sim.states(0));
    }
}

#[test]
fn replayed_ping_leaves_the_peer_down() {
    let mut sim = Sim::new(8, 4, 12);
    sim.run(secs(8));
    let now = sim.now;
    let boot = sim.nodes[1].members.local().boot;
    let status = find(&sim.nodes[0], 1).unwrap().status.unwrap();
    let ping = member::Ping { status, updates: Vec::new() };
    sim.kill(1);
    sim.run(secs(20));
    sim.restart(0);
    sim.run(secs(20));
    sim.nodes[0].members.on_ping(&name(1), ping, now);
    let held = find(&sim.nodes[0], 1).unwrap();
    assert!(held.boot != Some(boot) && held.state == PeerState::Down, "{held:?}");
}

#[test]
fn new_instance_learns_which_are_down() {
    let mut sim = Sim::new(60, 4, 13);
    sim.run(secs(8));
    for i in [2, 30, 41] {
        sim.kill(i);
    }
    sim.run(secs(120));
    sim.restart(7);
    let known = |s: &Sim| {
        [2, 30, 41].iter().all(|&i| find(&s.nodes[7], i).unwrap().state == PeerState::Down)
    };
    assert!(!known(&sim), "the platform still lists them as live");
    assert!(sim.until(secs(20), known).is_some());
    sim.run(secs(20));
    assert!((0..60).filter(|&i| sim.nodes[i].alive).all(|i| sim.all_hold(i, PeerState::Live)));
}

#[test]
fn lost_zone_is_no_longer_named() {
    let mut sim = Sim::new(320, 8, 14);
    sim.run(secs(8));
    for i in (0..320).filter(|i| i % 8 == 3) {
        sim.kill(i);
    }
    let gone = |s: &Sim| {
        let named = |n: &sim::Node| n.members.serving(s.now).iter().any(|n| index_zone(n) == 3);
        !s.nodes.iter().any(|n| n.alive && named(n))
    };
    let took = sim.until(secs(60), gone);
    println!("a zone of 40 of 320: no longer named after {took:?}");
    assert!(took.is_some_and(|t| t < secs(30)), "{took:?}");
    sim.run(secs(30));
    let alive: Vec<_> = (0..320).filter(|i| i % 8 != 3).collect();
    assert!(alive.iter().all(|&i| sim.all_hold(i, PeerState::Live)));
}

fn index_zone(name: &ident::Name) -> usize {
    name.as_str()[6..].parse::<usize>().unwrap() % 8
}
