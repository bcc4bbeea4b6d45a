//! The current state of the fleet, shared by all tasks of an instance.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ident::Time;
use parking_lot::RwLock;
use tokio::sync::watch;

use crate::Config;

/// One incarnation of a replica of a target, as registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Identifier of the replica. A restarted replica may keep it; see `started_ms`.
    pub id: Arc<str>,
    /// Name of the target that the replica belongs to.
    pub target: Arc<str>,
    /// Address that the replica listens on.
    pub addr: SocketAddr,
    /// Availability zone of the replica.
    pub zone: Arc<str>,
    /// Version of the replica's software, a text without an order; `None` if unknown. What replicas
    /// of two versions write doesn't fit together.
    pub software: Option<Arc<str>>,
    /// Number of requests that the replica runs at once.
    pub slots: u32,
    /// Whether the replica is leaving; it gets no new requests then.
    pub leaving: bool,
    /// Start time of the replica, in ms since the Unix epoch; 0 if unknown. It distinguishes
    /// incarnations with the same id.
    pub started_ms: u64,
    /// Models that the replica has, each with its weights version. Sorted by model.
    pub models: Vec<(Arc<str>, u64)>,
    /// For how long the replica is still cold, as of its entry; zero if it is warm.
    pub cold: Duration,
}

impl Replica {
    /// Returns the weights version of `model` that the replica registered; `None` if it does not
    /// have the model.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.models.iter().find(|(name, _)| &**name == model).map(|(_, version)| *version)
    }
}

/// The announced weights of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Weights {
    /// Name of the model.
    pub model: Arc<str>,
    /// Newest announced version.
    pub version: u64,
    /// Time since when this instance knows the newest version. Never before the announcement.
    pub known_since: Time,
    /// Whether the newest version's time in `announced` is certainly not after its announcement.
    /// It may be after the announcement if the version was the first that a starting instance read.
    pub certain: bool,
    /// The last announced versions, each with the earliest [`Announcement::at`] that was
    /// offered for it. Sorted by version; not empty.
    pub announced: Vec<(u64, Time)>,
}

impl Weights {
    /// Returns the oldest version that may be used if older versions are retired `term` after the
    /// announcement of a newer one; 0 if all may be used.
    pub fn min_version(&self, term: Duration, now: Time) -> u64 {
        let expired = self.announced.iter().filter(|(_, at)| now.since(*at) > term);
        expired.map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// Returns the time in `announced` of the first version after `version`; `None` if no newer
    /// version was announced.
    pub fn replaced_at(&self, version: u64) -> Option<Time> {
        self.announced.iter().find(|(v, _)| *v > version).map(|(_, at)| *at)
    }

    /// Returns the time in `announced` of the newest version.
    pub fn announced_at(&self) -> Time {
        self.announced.last().expect("there are no announced versions").1
    }

    /// Applies an announcement; returns whether it changed anything.
    fn apply(&mut self, announcement: Announcement, now: Time) -> bool {
        let Announcement { version, at, certain } = announcement;
        let becomes_certain = version == self.version && certain && !self.certain;
        self.certain |= becomes_certain;
        match self.announced.binary_search_by_key(&version, |(v, _)| *v) {
            Ok(found) if self.announced[found].1 <= at => return becomes_certain,
            Ok(found) => self.announced[found].1 = at,
            Err(found) => self.announced.insert(found, (version, at)),
        }
        if self.announced.len() > MAX_ANNOUNCED {
            self.announced.remove(0);
        }
        if version > self.version {
            (self.version, self.known_since, self.certain) = (version, now, certain);
        }
        true
    }
}

/// The announcement of a version of a model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// Announced version.
    pub version: u64,
    /// A time not after the announcement if `certain`; otherwise an estimate, such as the time at
    /// which this instance first read the version.
    pub at: Time,
    /// Whether `at` is certainly not after the announcement.
    pub certain: bool,
}

/// Longest time between two answers of the registry, to any instance, while it is available.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(2800);
/// Number of versions of one model whose announcement times are kept.
const MAX_ANNOUNCED: usize = 8;

/// An instance, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// Address that receives the datagrams of peers.
    pub peer: SocketAddr,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
    /// Whether the instance is leaving; it accepts no new callers then.
    pub leaving: bool,
    /// Boot of the instance, which identifies one run of its process.
    pub boot: u64,
}

/// The times at which the platform last confirmed the parts of the view.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmed {
    /// Time at which the configuration was last confirmed.
    pub config: Time,
    /// Time at which the announced weights were last confirmed, by a request of this instance or of
    /// a peer.
    pub weights: Time,
    /// Time at which the registry last answered this instance or a peer.
    pub registry: Time,
    /// Time since when the registry has answered without a longer gap.
    pub steady_since: Time,
    /// Time at which the replicas were last confirmed.
    pub replicas: Time,
}

/// A consistent copy of the view.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Configuration in use; `None` until the first one is accepted.
    pub config: Option<Arc<Config>>,
    /// All replicas, sorted by id.
    pub replicas: Vec<Arc<Replica>>,
    /// Announced weights, sorted by model.
    pub weights: Vec<Weights>,
    /// All instances, sorted by name.
    pub instances: Vec<Arc<Instance>>,
    /// Times at which the parts of the view were last confirmed.
    pub confirmed: Confirmed,
}

impl Snapshot {
    /// Returns the announced weights of `model`; `None` if there are none.
    pub fn announced(&self, model: &str) -> Option<&Weights> {
        let at = self.weights.binary_search_by(|w| (*w.model).cmp(model)).ok()?;
        Some(&self.weights[at])
    }

    /// Returns the replica with this id; `None` if it is unknown.
    pub fn replica(&self, id: &str) -> Option<&Arc<Replica>> {
        let at = self.replicas.binary_search_by(|r| (*r.id).cmp(id)).ok()?;
        Some(&self.replicas[at])
    }
}

/// The current state of the fleet as an instance knows it.
///
/// Invariants: during the life of the process, neither the revision of the configuration nor the
/// newest announced version of a model ever decreases.
pub struct View {
    current: RwLock<Arc<Snapshot>>,
    changed: watch::Sender<u64>,
}

impl Default for View {
    fn default() -> Self {
        Self { current: RwLock::default(), changed: watch::Sender::new(0) }
    }
}

impl View {
    /// Returns the current snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.current.read().clone()
    }

    /// Returns a receiver that is notified of each change, except of changed confirmation times.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Sets the configuration. Returns false if it isn't newer than the current one; it is ignored
    /// then.
    pub fn offer_config(&self, config: Config) -> bool {
        self.update(|state| match &state.config {
            Some(old) if old.rev >= config.rev => false,
            _ => {
                state.config = Some(Arc::new(config));
                true
            }
        })
    }

    /// Applies the announcement of a version of a model's weights, which was observed at `at`.
    /// Returns whether the version is newer than all known ones.
    pub fn offer_weights(&self, model: &str, announcement: Announcement, at: Time) -> bool {
        let known = self.snapshot().announced(model).map_or(0, |w| w.version);
        self.update(|state| match state.weights.binary_search_by(|w| (*w.model).cmp(model)) {
            Ok(found) => state.weights[found].apply(announcement, at),
            Err(found) => {
                let Announcement { version, at: announced_at, certain } = announcement;
                let (model, announced) = (model.into(), vec![(version, announced_at)]);
                state
                    .weights
                    .insert(found, Weights { model, version, known_since: at, certain, announced });
                true
            }
        });
        announcement.version > known
    }

    /// Adds or replaces a replica. Returns false if nothing changed.
    pub fn put_replica(&self, replica: Replica) -> bool {
        self.update(|state| match state.replicas.binary_search_by(|r| r.id.cmp(&replica.id)) {
            Ok(at) if *state.replicas[at] == replica => false,
            Ok(at) => {
                state.replicas[at] = Arc::new(replica);
                true
            }
            Err(at) => {
                state.replicas.insert(at, Arc::new(replica));
                true
            }
        })
    }

    /// Removes a replica. Returns false if it was unknown.
    pub fn remove_replica(&self, id: &str) -> bool {
        self.update(|state| match state.replicas.binary_search_by(|r| (*r.id).cmp(id)) {
            Ok(at) => {
                state.replicas.remove(at);
                true
            }
            Err(_) => false,
        })
    }

    /// Marks a replica as leaving. Returns false if it was unknown or marked already.
    pub fn mark_leaving(&self, id: &str) -> bool {
        let found = self.snapshot().replica(id).cloned();
        found.is_some_and(|r| self.put_replica(Replica { leaving: true, ..(*r).clone() }))
    }

    /// Adds or replaces an instance. Returns false if nothing changed.
    pub fn put_instance(&self, instance: Instance) -> bool {
        self.update(|state| {
            match state.instances.binary_search_by(|i| i.name.cmp(&instance.name)) {
                Ok(at) if *state.instances[at] == instance => false,
                Ok(at) => {
                    state.instances[at] = Arc::new(instance);
                    true
                }
                Err(at) => {
                    state.instances.insert(at, Arc::new(instance));
                    true
                }
            }
        })
    }

    /// Removes an instance. Returns false if it was unknown.
    pub fn remove_instance(&self, name: &str) -> bool {
        self.update(|state| match state.instances.binary_search_by(|i| (*i.name).cmp(name)) {
            Ok(at) => {
                state.instances.remove(at);
                true
            }
            Err(_) => false,
        })
    }

    /// Records that the configuration and the announced weights were current at `at`.
    pub fn confirm_config(&self, at: Time) {
        self.update_times(|times| times.config = times.config.max(at));
        self.confirm_weights(at);
    }

    /// Records that the announced weights were current at `at`.
    pub fn confirm_weights(&self, at: Time) {
        self.update_times(|times| times.weights = times.weights.max(at));
    }

    /// Records that the registry answered this instance or a peer at `at`.
    pub fn confirm_registry(&self, at: Time) {
        self.update_times(|times| {
            if at.since(times.registry) > MAX_ANSWER_GAP {
                times.steady_since = at;
            }
            times.registry = times.registry.max(at);
        });
    }

    /// Records that the replicas were current at `at`.
    pub fn confirm_replicas(&self, at: Time) {
        self.update_times(|times| times.replicas = times.replicas.max(at));
    }

    fn update_times<F>(&self, change: F)
    where
        F: FnOnce(&mut Confirmed),
    {
        let mut current = self.current.write();
        change(&mut Arc::make_mut(&mut current).confirmed);
    }

    fn update<F>(&self, change: F) -> bool
    where
        F: FnOnce(&mut Snapshot) -> bool,
    {
        let mut current = self.current.write();
        let mut next = (**current).clone();
        if !change(&mut next) {
            return false;
        }
        *current = Arc::new(next);
        self.changed.send_modify(|n| *n += 1);
        true
    }
}
