//! Where streams began: the target and the version of the software that wrote the first event.
//!
//! The instance that passes on the first event of a stream records it, and tells the stream's homes:
//! the first other instances in the rendezvous order for the stream. An instance at which a caller
//! takes the stream up asks them. The code does no I/O and reads neither a clock nor a random
//! source.

mod versions;

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use ident::{Digest, Time, rendezvous_order};
use serde::{Deserialize, Serialize};

pub use crate::versions::Versions;

/// Number of instances that are told where a stream began.
pub const HOMES: usize = 3;
/// Number of instances that are asked: more than [`HOMES`], since not all instances list the same
/// ones, and the instance that recorded the stream may be the only one left that knows.
pub const ASKED: usize = 8;
/// A record is kept at least this long, and at most twice as long.
pub const RECORD_TTL: Duration = Duration::from_secs(30);
/// Most records in one generation. Older ones are forgotten sooner if there are more.
const MAX_RECORDS: usize = 4096;

/// Most streams of an instance that are stored: some 40 bytes each.
const MAX_LATEST: usize = 512;

/// Names a stream. The same id from another team names another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey([u8; 16]);

impl StreamKey {
    /// The stream that request `id` of a team began; `None` for a caller without a team.
    pub fn new(team: Option<&str>, id: &str) -> Self {
        let team = team.map_or([&b""[..], b""], |name| [b"team", name.as_bytes()]);
        Self(Digest::of_parts(&[team[0], team[1], id.as_bytes()]).0)
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the target.
    pub target: Arc<str>,
    /// Version of the software of the replica that wrote the first event.
    pub software: Arc<str>,
}

/// What is known of the streams with one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// They began here.
    Begun(Origin),
    /// There are several, which began at different places.
    Ambiguous,
}

impl Record {
    /// Adds what another record says.
    fn merge(&mut self, other: Self) {
        if *self != other {
            *self = Self::Ambiguous;
        }
    }
}

/// The streams that an instance began, was told of or asked for.
#[derive(Debug, Default)]
pub struct Origins {
    young: HashMap<StreamKey, Record>,
    /// The generation before.
    old: HashMap<StreamKey, Record>,
    /// When `young` was begun.
    begun: Time,
}

impl Origins {
    /// Adds a record.
    pub fn add(&mut self, key: StreamKey, record: Record, now: Time) {
        self.rotate(now);
        let known = self.young.remove(&key).or_else(|| self.old.remove(&key));
        let mut merged = known.unwrap_or_else(|| record.clone());
        merged.merge(record);
        self.young.insert(key, merged);
    }

    /// What is known of a stream.
    pub fn find(&mut self, key: StreamKey, now: Time) -> Option<Record> {
        self.rotate(now);
        self.young.get(&key).or_else(|| self.old.get(&key)).cloned()
    }

    /// Number of records.
    pub fn count(&self) -> usize {
        self.young.len() + self.old.len()
    }

    fn rotate(&mut self, now: Time) {
        let age = now.since(self.begun);
        if age >= RECORD_TTL * 2 {
            self.young.clear();
        }
        if age >= RECORD_TTL || self.young.len() >= MAX_RECORDS {
            self.old = std::mem::take(&mut self.young);
            self.begun = now;
        }
    }
}

/// Where the latest streams of this instance began, for instances that start after all were killed.
#[derive(Debug, Default)]
pub struct Latest {
    /// Oldest first.
    streams: VecDeque<(StreamKey, Origin, Time)>,
    /// When a target last had replicas of several versions.
    mixed: Time,
    /// Whether there is anything that was not taken.
    changed: bool,
}

impl Latest {
    /// Adds a stream.
    pub fn add(&mut self, key: StreamKey, origin: Origin, now: Time) {
        self.streams.push_back((key, origin, now));
        self.changed = true;
        let is_old = |(_, _, at): &(StreamKey, Origin, Time)| now.since(*at) >= RECORD_TTL;
        while self.streams.len() > MAX_LATEST || self.streams.front().is_some_and(is_old) {
            self.streams.pop_front();
        }
    }

    /// Records that a target has replicas of several versions.
    pub fn note_mixed(&mut self, now: Time) {
        self.mixed = now;
    }

    /// The streams, if there are new ones and they may be at different versions: a target has had
    /// replicas of several for less time than a stream is remembered.
    pub fn take(&mut self, now: Time) -> Option<Vec<(StreamKey, Origin)>> {
        let is_mixed = self.mixed > Time(0) && now.since(self.mixed) < RECORD_TTL;
        if !is_mixed || !std::mem::take(&mut self.changed) {
            return None;
        }
        Some(self.streams.iter().map(|(key, origin, _)| (*key, origin.clone())).collect())
    }

    /// Takes note that what was taken was not stored.
    pub fn not_stored(&mut self) {
        self.changed = true;
    }
}

/// The other instances in the order in which they are told of a stream, or asked.
pub fn order<'n>(key: StreamKey, own: &str, instances: &'n [Arc<str>]) -> Vec<&'n Arc<str>> {
    let order = rendezvous_order(&key.0, instances, |name| name);
    order.into_iter().filter(|name| ***name != *own).collect()
}

/// A question to other instances where a stream began.
#[derive(Debug)]
pub struct Inquiry {
    /// Instances that have not answered.
    waiting: Vec<Arc<str>>,
    found: Option<Record>,
}

impl Inquiry {
    /// Asks `instances`.
    pub fn new(instances: Vec<Arc<str>>) -> Self {
        Self { waiting: instances, found: None }
    }

    /// The instances that have not answered.
    pub fn waiting(&self) -> &[Arc<str>] {
        &self.waiting
    }

    /// Takes an answer; `None` if that instance doesn't know.
    pub fn answer(&mut self, instance: &str, record: Option<Record>) {
        self.waiting.retain(|name| **name != *instance);
        match (&mut self.found, record) {
            (Some(found), Some(record)) => found.merge(record),
            (found @ None, record) => *found = record,
            (Some(_), None) => {}
        }
    }

    /// Whether nothing is left to wait for.
    pub fn is_over(&self) -> bool {
        self.found.is_some() || self.waiting.is_empty()
    }

    /// What was found.
    pub fn into_record(self) -> Option<Record> {
        self.found
    }
}
