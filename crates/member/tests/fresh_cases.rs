//! Conditions under which an instance takes new work.

mod sim;

use std::time::Duration;

use ident::{Name, Rev, Time};
use member::{CONFIRMATION_TTL, Config, Freshness, HEARTBEAT_TTL, LocalInstance, Members};
use sim::Sim;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn fresh(sim: &Sim, i: usize) -> Freshness {
    sim.nodes[i].members.freshness(sim.now)
}

fn count(sim: &Sim, kind: Freshness) -> usize {
    (0..sim.nodes.len()).filter(|&i| sim.nodes[i].alive && fresh(sim, i) == kind).count()
}

fn set_table_access(sim: &mut Sim, up: fn(usize) -> bool) {
    for (i, node) in sim.nodes.iter_mut().enumerate() {
        node.table = up(i);
    }
}

#[test]
fn single_instance() {
    let name = Name::new("a").unwrap();
    let addr = "10.0.0.1:1".parse().unwrap();
    let zone = Name::new("z").unwrap();
    let boot = ident::Boot(1);
    let local = LocalInstance { name, zone, addr, peer_addr: addr, boot, started: Time(1000) };
    let mut members = Members::new(local, Config::default());
    let at = Time(50_000);
    assert_eq!(members.freshness(at), Freshness::Stale);
    members.on_table_read(at, true, Rev(3));
    assert_eq!(members.freshness(at), Freshness::Stale, "a newer revision is not applied yet");
    members.set_rev(Rev(3));
    members.on_table_read(at, true, Rev(3));
    assert_eq!(members.freshness(at), Freshness::Fresh);
    let last = at.after(CONFIRMATION_TTL).before(Duration::from_millis(1));
    assert_eq!(members.freshness(last), Freshness::Fresh);
    assert_eq!(members.freshness(at.after(CONFIRMATION_TTL)), Freshness::Stale);
    members.on_table_read(at, false, Rev(3));
    assert_eq!(members.freshness(at.after(CONFIRMATION_TTL)), Freshness::Outage);
    members.set_rev(Rev(1));
    assert_eq!(members.rev(), Rev(3), "a revision never falls");
}

#[test]
fn unconfirmed_instances_stay_stale() {
    let mut sim = Sim::new(8, 4, 1);
    set_table_access(&mut sim, |_| false);
    sim.run(secs(20));
    assert_eq!(count(&sim, Freshness::Stale), 8);
}

#[test]
fn one_table_reader_confirms_its_peers() {
    let mut sim = Sim::new(8, 4, 2);
    sim.run(secs(8));
    set_table_access(&mut sim, |i| i == 0);
    for _ in 0..300 {
        sim.step();
        assert_eq!(count(&sim, Freshness::Stale), 0);
    }
    assert!(count(&sim, Freshness::Fresh) >= 7);
}

#[test]
fn outage_keeps_serving() {
    for size in [3, 8, 80] {
        let mut sim = Sim::new(size, 4, 3);
        sim.run(secs(8));
        set_table_access(&mut sim, |_| false);
        sim.run(secs(3));
        for _ in 0..600 {
            sim.step();
            assert_eq!(count(&sim, Freshness::Stale), 0, "{size}");
        }
        assert_eq!(count(&sim, Freshness::Outage), size);
        set_table_access(&mut sim, |_| true);
        sim.run(secs(9));
        assert_eq!(count(&sim, Freshness::Fresh), size);
    }
}

#[test]
fn minority_without_table_stops() {
    for (size, cut) in [
        (8, (|a, b| (a == 0) != (b == 0)) as fn(usize, usize) -> bool),
        (8, |a, b| (a < 3) != (b < 3)),
        (80, |a, b| (a < 10) != (b < 10)),
    ] {
        let mut sim = Sim::new(size, 4, 4);
        sim.run(secs(8));
        set_table_access(&mut sim, |_| false);
        sim.cut = cut;
        sim.run(secs(14));
        assert_eq!(fresh(&sim, 0), Freshness::Stale, "{size}");
        assert_eq!(fresh(&sim, size - 1), Freshness::Outage, "{size}");
        sim.run(secs(200));
        assert_eq!(fresh(&sim, 0), Freshness::Stale, "instances that are down still count, {size}");
    }
}

#[test]
fn even_split_without_table_stops() {
    let mut sim = Sim::new(8, 4, 5);
    sim.run(secs(8));
    set_table_access(&mut sim, |_| false);
    sim.cut = |a, b| a % 2 != b % 2;
    sim.run(secs(14));
    assert_eq!(count(&sim, Freshness::Stale), 8);
}

#[test]
fn one_table_reader_ends_outage() {
    let mut sim = Sim::new(8, 4, 6);
    sim.fetch = false;
    sim.run(secs(8));
    set_table_access(&mut sim, |i| i == 0);
    sim.nodes[0].members.set_rev(Rev(9));
    let later = sim.now;
    for _ in 0..120 {
        sim.step();
        let now = sim.now;
        sim.nodes[0].members.on_table_read(now, true, Rev(9));
    }
    assert!(sim.now > later.after(CONFIRMATION_TTL));
    assert_eq!(fresh(&sim, 0), Freshness::Fresh);
    assert_eq!(count(&sim, Freshness::Stale), 7, "a newer revision exists and was not fetched");
}

/// An instance reaches the table at the end of an outage, before it has applied the configuration.
/// It confirms nothing to its peers, but they have time to read the table themselves.
#[test]
fn unconfirmed_table_reader_leaves_time_to_read() {
    let mut sim = Sim::new(8, 4, 6);
    sim.fetch = false;
    sim.run(secs(8));
    set_table_access(&mut sim, |_| false);
    sim.run(secs(12));
    assert_eq!(count(&sim, Freshness::Outage), 8);
    let (heard, term) = (sim.now, CONFIRMATION_TTL - HEARTBEAT_TTL);
    let last = Duration::from_millis(200);
    while sim.now < heard.after(term - last) {
        let now = sim.now;
        sim.nodes[0].members.on_table_read(now, true, Rev(9));
        sim.step();
        assert_eq!((1..8).filter(|&i| fresh(&sim, i) == Freshness::Stale).count(), 0, "{now}");
    }
    // The instance applies a revision that the others do not get.
    set_table_access(&mut sim, |i| i == 0);
    sim.nodes[0].members.set_rev(Rev(9));
    for _ in 0..120 {
        let now = sim.now;
        sim.nodes[0].members.on_table_read(now, true, Rev(9));
        sim.step();
    }
    assert_eq!((1..8).filter(|&i| fresh(&sim, i) == Freshness::Stale).count(), 7);
}

#[test]
fn newer_revision_ends_outage() {
    let mut sim = Sim::new(8, 4, 6);
    sim.run(secs(8));
    set_table_access(&mut sim, |i| i == 0);
    sim.rev = Rev(9);
    sim.cut = |from, to| from == 0 || to == 0;
    sim.run(secs(12));
    assert_eq!(fresh(&sim, 0), Freshness::Fresh);
    assert_eq!(count(&sim, Freshness::Outage), 7);
    sim.cut = |_, _| false;
    let done = sim.until(secs(30), |s| s.up_to_date() && count(s, Freshness::Fresh) == 8);
    assert!(done.is_some(), "peers hand on what one of them read");
}

#[test]
fn change_spreads_through_peers() {
    for size in [8, 320] {
        let mut sim = Sim::new(size, 8, 8);
        sim.run(secs(8));
        set_table_access(&mut sim, |i| i == 5);
        sim.rev = Rev(2);
        let took = sim.until(secs(12), Sim::up_to_date);
        assert!(took.is_some(), "{size}: not everywhere within 12 s");
        println!("{size} instances, one reads the table: in force after {took:?}");
    }
}

#[test]
fn rolling_replacement_in_outage() {
    let mut sim = Sim::new(8, 4, 7);
    sim.run(secs(8));
    set_table_access(&mut sim, |_| false);
    sim.run(secs(10));
    for i in 0..5 {
        let now = sim.now;
        sim.nodes[i].members.leave(now);
        sim.run(secs(12));
        sim.kill(i);
        sim.run(secs(20));
    }
    assert_eq!(count(&sim, Freshness::Outage), 3, "those that said they leave do not count");
}

#[test]
fn region_without_table_stops() {
    let mut sim = Sim::new(320, 8, 9);
    sim.run(secs(8));
    sim.cut = |a, b| (a % 8 < 4) != (b % 8 < 4);
    set_table_access(&mut sim, |i| i % 8 < 4);
    let stopped =
        |s: &Sim| (0..320).filter(|i| i % 8 >= 4).all(|i| fresh(s, i) == Freshness::Stale);
    let took = sim.until(secs(60), stopped);
    println!("a region of 160 of 320 cut off: all stale after {took:?}");
    assert!(took.is_some());
    sim.run(secs(30));
    assert_eq!((count(&sim, Freshness::Fresh), count(&sim, Freshness::Stale)), (160, 160));
    sim.cut = |_, _| false;
    let back = sim.until(secs(120), |s| count(s, Freshness::Fresh) == 320);
    println!("healed: all fresh after {back:?}");
    assert!(back.is_some());
    let known = |s: &Sim| s.nodes.iter().all(|n| n.members.serving(s.now).len() == 320);
    let named = (0..150).find(|_| {
        sim.run(secs(2));
        known(&sim)
    });
    println!("all named by all after {:?} s more", named.map(|n| 2 * n + 2));
    assert!(named.is_some());
}
