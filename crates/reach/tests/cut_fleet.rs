//! Instances that lose their ways to replicas, with lost and doubled datagrams, restarts and cuts.

use std::sync::Arc;

use ident::Time;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use reach::{Candidate, Member, Reach};

/// Length of a step, in ms.
const STEP: u64 = 50;
/// Time after the start of a cut from which requests must find a way.
const CONTACT: u64 = 3000;
/// Start and end of the cut.
const CUT: (u64, u64) = (2000, 10_000);
const LENGTH: u64 = 16_000;

struct Instance {
    reach: Reach,
    is_cut: bool,
    /// Until when it is excused, after a restart.
    excused: u64,
    next_report: u64,
}

struct World {
    rng: SmallRng,
    now: u64,
    names: Vec<Arc<str>>,
    instances: Vec<Instance>,
    members: Vec<Member>,
    /// Replicas that have ended: none, or all of a target.
    ended: Option<Arc<str>>,
    /// Probability that a datagram is lost, and that it comes twice.
    loss: f64,
    /// Requests at instances that are cut off and due to be served, and those that were.
    cut_off: (usize, usize),
    /// Requests that took a detour at instances that are not cut off, or after the cut.
    needless: usize,
    /// Most probes of an instance in a step.
    probes: usize,
}

impl World {
    fn new(instances: usize, cut: usize, loss: f64, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let names = (0..instances).map(|n| format!("instance-{n:03}").into()).collect();
        let member = |n: usize| Member {
            replica: format!("replica-{n:03}").into(),
            target: ["desk", "model"][usize::from(n >= 4)].into(),
        };
        let instance = |n: usize| Instance {
            reach: Reach::default(),
            is_cut: n < cut,
            excused: 0,
            next_report: n as u64 % 10 * 20,
        };
        Self {
            rng,
            now: 0,
            names,
            instances: (0..instances).map(instance).collect(),
            members: (0..16).map(member).collect(),
            ended: None,
            loss,
            cut_off: (0, 0),
            needless: 0,
            probes: 0,
        }
    }

    fn is_linked(&self, instance: usize, target: &str) -> bool {
        let in_cut = self.now >= CUT.0 && self.now < CUT.1;
        let ended = self.ended.as_deref() == Some(target) && in_cut;
        !(ended || self.instances[instance].is_cut && in_cut)
    }

    fn play(&mut self) {
        while self.now < LENGTH {
            if self.now.is_multiple_of(1000) && self.rng.random_bool(0.3) {
                let at = self.rng.random_range(0..self.instances.len());
                self.instances[at].reach = Reach::default();
                self.instances[at].excused = self.now + CONTACT;
            }
            for at in 0..self.instances.len() {
                self.request(at);
                self.probe(at);
                self.report(at);
            }
            self.now += STEP;
        }
    }

    /// Sends a request directly, or through a peer.
    fn request(&mut self, at: usize) {
        let now = Time(1_000_000 + self.now);
        let target = ["desk", "model"][self.rng.random_range(0..2)];
        let due = self.instances[at].is_cut
            && self.now >= CUT.0 + CONTACT
            && self.now < CUT.1
            && self.instances[at].excused <= self.now;
        self.cut_off.0 += usize::from(due);
        if !self.instances[at].reach.is_cut_off(target, &self.members) {
            let reached = |m: &&Member| {
                *m.target == *target && self.instances[at].reach.is_reached(&m.replica)
            };
            let usable: Vec<Arc<str>> =
                self.members.iter().filter(reached).map(|m| m.replica.clone()).collect();
            let replica = &usable[self.rng.random_range(0..usable.len())];
            if self.is_linked(at, target) {
                self.instances[at].reach.reached(replica);
            } else {
                self.instances[at].reach.failed(replica, now);
            }
            return;
        }
        let mut candidates: Vec<Candidate> = (0..self.names.len())
            .filter(|n| *n != at)
            .map(|n| Candidate { peer: self.names[n].clone(), near: n % 3 == at % 3, requests: 0 })
            .collect();
        for _ in 0..3 {
            let random = self.rng.random();
            let peer = self.instances[at].reach.choose_peer(target, &candidates, random, now);
            let Some(peer) = peer else { break };
            candidates.retain(|c| c.peer != peer);
            self.instances[at].reach.not_taken(&peer, &target.into(), now);
            let peer = self.names.iter().position(|n| *n == peer).expect("it is an instance");
            if self.is_linked(peer, target) {
                self.cut_off.1 += usize::from(due);
                self.instances[at].reach.set_peer(&self.names[peer], Vec::new(), now);
                break;
            }
        }
        let excused = self.now < CUT.1 + CONTACT && self.now >= CUT.0;
        let has_cause = self.instances[at].is_cut || self.ended.is_some();
        self.needless += usize::from(!(has_cause && excused));
    }

    fn probe(&mut self, at: usize) {
        let now = Time(1_000_000 + self.now);
        let due = self.instances[at].reach.take_probes(&self.members, 8, now);
        self.probes = self.probes.max(due.len());
        for replica in due {
            let member = self.members.iter().find(|m| m.replica == replica).expect("it is known");
            if self.is_linked(at, &member.target) {
                self.instances[at].reach.reached(&replica);
            } else {
                self.instances[at].reach.failed(&replica, now);
            }
        }
    }

    /// Tells peers which targets the instance does not reach.
    fn report(&mut self, at: usize) {
        if self.instances[at].next_report > self.now {
            return;
        }
        let interval = (self.instances.len() as u64 * 1000 / 60).max(200);
        self.instances[at].next_report = self.now + interval;
        let now = Time(1_000_000 + self.now);
        let cut_off = self.instances[at].reach.cut_off(&self.members);
        for peer in (0..self.instances.len()).filter(|peer| *peer != at) {
            let copies = match self.rng.random_range(0.0..1.0) {
                x if x < self.loss => 0,
                x if x < 2.0 * self.loss => 2,
                _ => 1,
            };
            for _ in 0..copies {
                self.instances[peer].reach.set_peer(&self.names[at], cut_off.clone(), now);
            }
        }
    }
}

#[test]
fn cut_off_instances_find_a_way() {
    for seed in 0..60 {
        let instances = [3, 6, 8, 24, 91][seed as usize % 5];
        let cut = [1, instances / 3, instances - 1][seed as usize % 3].max(1);
        let mut world = World::new(instances, cut, [0.0, 0.1, 0.3][seed as usize / 5 % 3], seed);
        world.play();
        let (due, served) = world.cut_off;
        assert!(served * 100 >= due * 97, "{cut} of {instances}, seed {seed}: {served} of {due}");
        assert_eq!(world.needless, 0, "{cut} of {instances}, seed {seed}: needless detours");
        assert!(world.probes <= 8);
    }
}

#[test]
fn cut_off_instances_among_320_find_a_way() {
    let mut world = World::new(320, 107, 0.1, 1);
    world.play();
    let (due, served) = world.cut_off;
    assert!(served * 100 >= due * 97, "{served} of {due}");
    assert_eq!(world.needless, 0);
}

/// Where all replicas of a target have ended, all instances say so, and none asks another.
#[test]
fn a_target_that_has_ended_leads_to_no_detours() {
    for seed in 0..10 {
        let mut world = World::new([3, 8, 24][seed as usize % 3], 0, 0.1, seed);
        world.ended = Some("desk".into());
        world.play();
        assert_eq!(world.needless, 0, "seed {seed}");
    }
}

#[test]
fn a_replica_that_is_reached_ends_the_detours() {
    let member = |n: usize| Member { replica: format!("r{n}").into(), target: "desk".into() };
    let members: Vec<Member> = (0..3).map(member).collect();
    let mut reach = Reach::default();
    let now = Time(1000);
    members.iter().for_each(|m| reach.failed(&m.replica, now));
    assert!(reach.is_cut_off("desk", &members));
    assert!(!reach.is_cut_off("model", &members), "it has no replicas");
    assert_eq!(reach.cut_off(&members), ["desk".into()]);
    assert!(reach.reached("r1"));
    assert!(!reach.is_cut_off("desk", &members));
    assert!(reach.is_reached("r1") && !reach.is_reached("r0"));
    assert!(!reach.reached("r1"), "it was reached before");
}

#[test]
fn peers_that_are_cut_off_are_not_asked() {
    let mut reach = Reach::default();
    let now = Time(1000);
    let candidate = |peer: &str, near| Candidate { peer: peer.into(), near, requests: 0 };
    let candidates = [candidate("a", true), candidate("b", false), candidate("c", false)];
    assert_eq!(reach.choose_peer("desk", &candidates, 7, now).as_deref(), Some("a"));
    reach.set_peer(&"a".into(), vec!["desk".into()], now);
    reach.set_peer(&"b".into(), vec!["desk".into()], now);
    assert_eq!(reach.choose_peer("desk", &candidates, 7, now).as_deref(), Some("c"));
    assert_eq!(reach.choose_peer("model", &candidates, 7, now).as_deref(), Some("a"));
    assert!(!reach.peer_reaches_all("a", now) && reach.peer_reaches_all("c", now));
    reach.set_peer(&"a".into(), Vec::new(), now);
    assert_eq!(reach.choose_peer("desk", &candidates, 7, now).as_deref(), Some("a"));
    assert_eq!(reach.choose_peer("desk", &[], 7, now), None);
    // The word of a peer that fell silent expires.
    assert!(reach.peer_reaches_all("b", Time(1000 + 60_000_000)));
}
