//! Instances that tell each other where streams began, with lost and doubled datagrams, restarts and
//! cuts.

use std::{ops::Range, sync::Arc};

use ident::Time;
use origin::{ASKED, HOMES, Inquiry, Origin, Origins, Record, StreamKey, order};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const STREAMS: usize = 400;
/// Times that a record is sent to each home, and that each missing instance is asked.
const RECORD_SENDS: usize = 2;
const ASK_ROUNDS: usize = 3;

struct Instance {
    name: Arc<str>,
    origins: Origins,
    /// Whether no datagram reaches or leaves it.
    cut: bool,
}

struct World {
    rng: SmallRng,
    instances: Vec<Instance>,
    names: Vec<Arc<str>>,
    /// Share of datagrams that are lost.
    loss: f64,
}

impl World {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let names: Vec<Arc<str>> = (0..count).map(|n| format!("instance-{n}").into()).collect();
        let new = |name: &Arc<str>| Instance {
            name: name.clone(),
            origins: Origins::default(),
            cut: false,
        };
        let instances = names.iter().map(new).collect();
        Self { rng: SmallRng::seed_from_u64(seed), instances, names, loss }
    }

    /// Whether a datagram between two instances arrives.
    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let cut = self.instances[from].cut || self.instances[to].cut;
        !cut && !self.rng.random_bool(self.loss)
    }

    fn position(&self, name: &str) -> usize {
        self.names.iter().position(|n| **n == *name).expect("it is listed")
    }

    fn begin(&mut self, at: usize, key: StreamKey, software: &str, now: Time) {
        let origin = Origin { target: "model".into(), software: software.into() };
        let record = Record::Begun(origin);
        self.instances[at].origins.add(key, record.clone(), now);
        let homes = order(key, &self.instances[at].name, &self.names);
        let homes: Vec<usize> = homes.into_iter().take(HOMES).map(|n| self.position(n)).collect();
        for home in homes.repeat(RECORD_SENDS) {
            if self.arrives(at, home) {
                self.instances[home].origins.add(key, record.clone(), now);
            }
        }
    }

    fn find(&mut self, at: usize, key: StreamKey, now: Time) -> Option<Record> {
        if let Some(known) = self.instances[at].origins.find(key, now) {
            return Some(known);
        }
        let asked = order(key, &self.instances[at].name, &self.names);
        let mut inquiry = Inquiry::new(asked.into_iter().take(ASKED).cloned().collect());
        for _ in 0..ASK_ROUNDS {
            for name in inquiry.waiting().to_vec() {
                let peer = self.position(&name);
                if !inquiry.is_over() && self.arrives(at, peer) && self.arrives(peer, at) {
                    let record = self.instances[peer].origins.find(key, now);
                    inquiry.answer(&name, record.clone());
                    // A doubled datagram.
                    inquiry.answer(&name, record);
                }
            }
        }
        inquiry.into_record()
    }
}

/// Plays streams that begin, break and are taken up elsewhere while `lost` of the instances restart
/// and others are cut. Returns the share that an instance in touch could place.
fn play(count: usize, loss: f64, lost: f64, seed: u64) -> f64 {
    let mut world = World::new(count, loss, seed);
    let (mut placed, mut tried) = (0, 0);
    for n in 0..STREAMS {
        let now = Time(1_000_000 + 50 * n as u64);
        let key = StreamKey::new(Some("team"), &n.to_string());
        let software = ["v1", "v2", "v10"][world.rng.random_range(0..3)];
        let at = world.rng.random_range(0..count);
        world.begin(at, key, software, now);
        // Some instances lose all they know, the one that began the stream among them half the time.
        let kill = world.rng.random_bool(0.5);
        for peer in 0..count {
            if (peer == at && kill) || (peer != at && world.rng.random_bool(lost)) {
                world.instances[peer].origins = Origins::default();
            }
            world.instances[peer].cut = world.rng.random_bool(0.05);
        }
        let other = world.rng.random_range(0..count);
        let found = world.find(other, key, now.after(std::time::Duration::from_millis(500)));
        if let Some(found) = &found {
            let expected = Origin { target: "model".into(), software: software.into() };
            assert_eq!(*found, Record::Begun(expected), "seed {seed}");
        }
        if !world.instances[other].cut {
            tried += 1;
            placed += usize::from(found.is_some());
        }
    }
    placed as f64 / tried.max(1) as f64
}

/// Seeds of a range, or those that the environment names.
fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("ORIGIN_SEARCH_SEEDS") else { return default };
    let (from, to) = text.split_once("..").expect("a range of seeds, as in 0..200");
    from.parse().expect("a number")..to.parse().expect("a number")
}

#[test]
fn streams_are_placed_where_they_began_or_not_at_all() {
    for seed in seeds(0..40) {
        let count = [3, 4, 6, 8, 24][seed as usize % 5];
        let loss = [0.0, 0.1, 0.3][seed as usize % 3];
        let share = play(count, loss, 0.1, seed);
        assert!(share > 0.9, "{count} instances, seed {seed}: {share:.2}");
    }
}

#[test]
fn half_of_the_streams_are_placed_after_half_of_the_instances_are_lost() {
    for seed in seeds(0..20) {
        let count = [6, 8, 24, 91][seed as usize % 4];
        let share = play(count, 0.1, 0.5, seed);
        assert!(share > 0.5, "{count} instances, seed {seed}: {share:.2}");
    }
}

#[test]
fn streams_are_placed_among_320_instances() {
    for seed in seeds(0..2) {
        let share = play(320, 0.1, 0.1, seed);
        assert!(share > 0.9, "seed {seed}: {share:.2}");
    }
}

#[test]
fn an_id_of_several_streams_names_none() {
    let now = Time(1_000_000);
    let key = StreamKey::new(Some("a"), "id");
    assert_ne!(key, StreamKey::new(Some("b"), "id"));
    assert_ne!(key, StreamKey::new(None, "id"));
    let begun = |software: &str| {
        Record::Begun(Origin { target: "model".into(), software: software.into() })
    };
    let mut origins = Origins::default();
    origins.add(key, begun("v1"), now);
    origins.add(key, begun("v1"), now);
    assert_eq!(origins.find(key, now), Some(begun("v1")));
    origins.add(key, begun("v2"), now);
    assert_eq!(origins.find(key, now), Some(Record::Ambiguous));
    // It stays so, whichever comes again.
    origins.add(key, begun("v1"), now);
    assert_eq!(origins.find(key, now), Some(Record::Ambiguous));
}

#[test]
fn records_are_kept_for_a_time_and_bounded() {
    let begun = || Record::Begun(Origin { target: "model".into(), software: "v1".into() });
    let key = |n: u32| StreamKey::new(None, &n.to_string());
    let mut origins = Origins::default();
    origins.add(key(0), begun(), Time(1_000_000));
    assert!(origins.find(key(0), Time(1_029_000)).is_some());
    assert!(origins.find(key(0), Time(1_061_000)).is_none());
    for n in 0..20_000 {
        origins.add(key(n), begun(), Time(1_070_000));
    }
    assert!(origins.count() <= 8192);
    assert!(origins.find(key(19_999), Time(1_070_000)).is_some());
}
