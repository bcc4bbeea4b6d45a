//! The newest knowledge, shared by all tasks of an instance.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ident::Time;
use parking_lot::RwLock;
use tokio::sync::watch;

use crate::Setup;

/// One incarnation of a replica of a target, as registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Its id, unique to the incarnation in most cases.
    pub id: Arc<str>,
    /// The target it belongs to.
    pub target: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The zone it is in.
    pub zone: Arc<str>,
    /// Requests it runs at once.
    pub slots: u32,
    /// It is leaving: no new work.
    pub leaving: bool,
    /// Its start, in Unix ms; tells incarnations under one id apart. Zero where unknown.
    pub born: u64,
    /// Models and the weight versions it has. Sorted by model.
    pub models: Vec<(Arc<str>, u64)>,
}

impl Replica {
    /// The version of `model` that the replica registered.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.models.iter().find(|(name, _)| &**name == model).map(|(_, version)| *version)
    }
}

/// The weights wanted for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Weights {
    /// The model.
    pub model: Arc<str>,
    /// The newest version named.
    pub version: u64,
    /// When this instance first knew of the newest version: never before it was named.
    pub seen: Time,
    /// The newest version's time in `named` is never after its naming. It may be where the version
    /// was the first that a starting instance read.
    pub sure: bool,
    /// The last versions named and the earliest time at which each is known to have been. Sorted
    /// by version; never empty.
    pub named: Vec<(u64, Time)>,
}

impl Weights {
    /// The oldest version that may be used where each newer one retires those before it `term`
    /// after it was named.
    pub fn floor(&self, term: Duration, now: Time) -> u64 {
        let over = self.named.iter().filter(|(_, at)| now.since(*at) > term);
        over.map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// When the first version after `version` was named, at the latest.
    pub fn replaced(&self, version: u64) -> Option<Time> {
        self.named.iter().find(|(v, _)| *v > version).map(|(_, at)| *at)
    }

    /// The earliest time at which the newest version is known to have been named.
    pub fn learnt(&self) -> Time {
        self.named.last().expect("the newest version is among those named").1
    }

    /// Takes in a naming; whether that is news.
    fn offer(&mut self, naming: Naming, now: Time) -> bool {
        let Naming { version, at, sure } = naming;
        let surer = version == self.version && sure && !self.sure;
        self.sure |= surer;
        match self.named.binary_search_by_key(&version, |(v, _)| *v) {
            Ok(found) if self.named[found].1 <= at => return surer,
            Ok(found) => self.named[found].1 = at,
            Err(found) => self.named.insert(found, (version, at)),
        }
        if self.named.len() > MAX_NAMED {
            self.named.remove(0);
        }
        if version > self.version {
            (self.version, self.seen, self.sure) = (version, now, sure);
        }
        true
    }
}

/// A version of a model's weights and when it was named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Naming {
    /// The version.
    pub version: u64,
    /// It was named then or earlier, as far as this instance may assume.
    pub at: Time,
    /// `at` is not after the naming.
    pub sure: bool,
}

/// The longest pause between two answers while the registry serves somebody.
const MAX_GAP: Duration = Duration::from_millis(2800);
/// Versions of one model whose times are kept.
const MAX_NAMED: usize = 8;

/// An instance as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: Arc<str>,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where it takes peers' datagrams.
    pub peer: SocketAddr,
    /// The zone it is in.
    pub zone: Arc<str>,
    /// It takes no new callers.
    pub leaving: bool,
    /// The life of its process.
    pub boot: u64,
}

/// When a part of the view was last confirmed by the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Age {
    /// Configuration.
    pub setup: Time,
    /// Wanted weights, by this instance's own question or a peer's.
    pub weights: Time,
    /// When the registry last answered this instance or a peer.
    pub served: Time,
    /// Since when such answers have come without a gap.
    pub steady: Time,
    /// Replicas.
    pub replicas: Time,
}

/// A consistent copy of the view.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The configuration in force; `None` before the first.
    pub setup: Option<Arc<Setup>>,
    /// Sorted by id.
    pub replicas: Vec<Arc<Replica>>,
    /// Sorted by model.
    pub weights: Vec<Weights>,
    /// Sorted by name.
    pub instances: Vec<Arc<Instance>>,
    /// When the parts were confirmed.
    pub age: Age,
}

impl Snapshot {
    /// The version wanted for `model`, with the time it was learnt.
    pub fn wanted(&self, model: &str) -> Option<&Weights> {
        let at = self.weights.binary_search_by(|w| (*w.model).cmp(model)).ok()?;
        Some(&self.weights[at])
    }

    /// The replica of that id.
    pub fn replica(&self, id: &str) -> Option<&Arc<Replica>> {
        let at = self.replicas.binary_search_by(|r| (*r.id).cmp(id)).ok()?;
        Some(&self.replicas[at])
    }
}

/// The newest knowledge of an instance.
///
/// Invariants: the configuration's revision and each model's wanted version never fall within a
/// process.
pub struct View {
    now: RwLock<Arc<Snapshot>>,
    changed: watch::Sender<u64>,
}

impl Default for View {
    fn default() -> Self {
        Self { now: RwLock::default(), changed: watch::Sender::new(0) }
    }
}

impl View {
    /// The newest snapshot.
    pub fn get(&self) -> Arc<Snapshot> {
        self.now.read().clone()
    }

    /// Told of each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Takes in a configuration; false where it isn't newer.
    pub fn offer_setup(&self, setup: Setup) -> bool {
        self.update(|now| match &now.setup {
            Some(old) if old.rev >= setup.rev => false,
            _ => {
                now.setup = Some(Arc::new(setup));
                true
            }
        })
    }

    /// Takes in the naming of a version of a model's weights, learnt of at `at`; false where it is
    /// not newer than those known.
    pub fn offer_weights(&self, model: &str, naming: Naming, at: Time) -> bool {
        let known = self.get().wanted(model).map_or(0, |w| w.version);
        self.update(|now| match now.weights.binary_search_by(|w| (*w.model).cmp(model)) {
            Ok(found) => now.weights[found].offer(naming, at),
            Err(found) => {
                let Naming { version, at: named, sure } = naming;
                let (model, named) = (model.into(), vec![(version, named)]);
                now.weights.insert(found, Weights { model, version, seen: at, sure, named });
                true
            }
        });
        naming.version > known
    }

    /// Adds or replaces a replica; false where nothing changes.
    pub fn put_replica(&self, replica: Replica) -> bool {
        self.update(|now| match now.replicas.binary_search_by(|r| r.id.cmp(&replica.id)) {
            Ok(at) if *now.replicas[at] == replica => false,
            Ok(at) => {
                now.replicas[at] = Arc::new(replica);
                true
            }
            Err(at) => {
                now.replicas.insert(at, Arc::new(replica));
                true
            }
        })
    }

    /// Drops a replica; false where it wasn't known.
    pub fn drop_replica(&self, id: &str) -> bool {
        self.update(|now| match now.replicas.binary_search_by(|r| (*r.id).cmp(id)) {
            Ok(at) => {
                now.replicas.remove(at);
                true
            }
            Err(_) => false,
        })
    }

    /// Marks a replica as leaving.
    pub fn mark_leaving(&self, id: &str) -> bool {
        let found = self.get().replica(id).cloned();
        found.is_some_and(|r| self.put_replica(Replica { leaving: true, ..(*r).clone() }))
    }

    /// Adds or replaces an instance; false where nothing changes.
    pub fn put_instance(&self, instance: Instance) -> bool {
        self.update(|now| match now.instances.binary_search_by(|i| i.name.cmp(&instance.name)) {
            Ok(at) if *now.instances[at] == instance => false,
            Ok(at) => {
                now.instances[at] = Arc::new(instance);
                true
            }
            Err(at) => {
                now.instances.insert(at, Arc::new(instance));
                true
            }
        })
    }

    /// Drops an instance; false where it wasn't known.
    pub fn drop_instance(&self, name: &str) -> bool {
        self.update(|now| match now.instances.binary_search_by(|i| (*i.name).cmp(name)) {
            Ok(at) => {
                now.instances.remove(at);
                true
            }
            Err(_) => false,
        })
    }

    /// Notes that configuration and weights were current at `at`.
    pub fn confirm_setup(&self, at: Time) {
        self.touch(|age| age.setup = age.setup.max(at));
        self.confirm_weights(at);
    }

    /// Notes that the wanted weights were current at `at`.
    pub fn confirm_weights(&self, at: Time) {
        self.touch(|age| age.weights = age.weights.max(at));
    }

    /// Notes that the registry answered this instance or a peer at `at`.
    pub fn confirm_served(&self, at: Time) {
        self.touch(|age| {
            if at.since(age.served) > MAX_GAP {
                age.steady = at;
            }
            age.served = age.served.max(at);
        });
    }

    /// Notes that the replicas were current at `at`.
    pub fn confirm_replicas(&self, at: Time) {
        self.touch(|age| age.replicas = age.replicas.max(at));
    }

    fn touch<F>(&self, change: F)
    where
        F: FnOnce(&mut Age),
    {
        let mut now = self.now.write();
        change(&mut Arc::make_mut(&mut now).age);
    }

    fn update<F>(&self, change: F) -> bool
    where
        F: FnOnce(&mut Snapshot) -> bool,
    {
        let mut now = self.now.write();
        let mut next = (**now).clone();
        if !change(&mut next) {
            return false;
        }
        *now = Arc::new(next);
        self.changed.send_modify(|n| *n += 1);
        true
    }
}
