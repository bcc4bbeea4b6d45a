//! An in-memory instance for tests.

use std::sync::Arc;

use async_trait::async_trait;
use conf::{Change, Doc, DocKey, Kind, View};
use events::{Log, Page};
use ident::{Boot, Name, RequestId, Rev, Time};
use parking_lot::Mutex;

use crate::{
    Control, ControlError, Freshness, InstanceStatus, Phase, ReplicaStatus, RolloutStatus,
};

/// Capacity of the event log.
const EVENT_CAPACITY: usize = 1024;

/// Change log that all instances share.
#[derive(Debug, Default)]
struct Shared {
    boots: u128,
    changes: Vec<Change>,
    view: View,
}

/// State of one instance.
#[derive(Debug)]
struct InstanceState {
    view: View,
    /// Number of reads that still return `view` instead of the shared one.
    lag: u32,
    /// Error of every change; `None` if changes succeed.
    fail: Option<ControlError>,
    /// Number of changes that are accepted next and whose answers are lost.
    lost_answers: u32,
    phase: Phase,
    replicas: Vec<ReplicaStatus>,
    rollout: Option<RolloutStatus>,
}

/// A [`Control`] without a process, table or peers. Instances created with [`Memory::join`] share
/// one change log.
pub struct Memory {
    name: Name,
    zone: Name,
    token: Arc<str>,
    boot: Boot,
    /// Event log of the instance.
    pub log: Log,
    shared: Arc<Mutex<Shared>>,
    state: Mutex<InstanceState>,
}

impl Memory {
    /// Creates the first instance of a deployment, with an empty change log. `token` is the
    /// operator's key.
    pub fn new(name: Name, zone: Name, token: &str) -> Self {
        Self::build(name, zone, token.into(), Arc::default())
    }

    /// Creates another instance with the same change log.
    pub fn join(&self, name: Name, zone: Name) -> Self {
        Self::build(name, zone, self.token.clone(), self.shared.clone())
    }

    fn build(name: Name, zone: Name, token: Arc<str>, shared: Arc<Mutex<Shared>>) -> Self {
        let state = InstanceState {
            view: View::default(),
            lag: 0,
            fail: None,
            lost_answers: 0,
            phase: Phase::Serving,
            replicas: Vec::new(),
            rollout: None,
        };
        let boot = shared.lock().boot();
        let log = Log::new(name.clone(), boot, EVENT_CAPACITY);
        Self { name, zone, token, boot, log, shared, state: Mutex::new(state) }
    }

    /// Returns the present revision in the next `reads` reads, even if there are later ones.
    pub fn lag(&self, reads: u32) {
        self.view();
        self.state.lock().lag = reads;
    }

    /// Lets every change fail with `error`; `None` lets changes succeed.
    pub fn fail(&self, error: Option<ControlError>) {
        self.state.lock().fail = error;
    }

    /// Loses the answers of the next `n` changes after they were accepted.
    pub fn lose_answers(&self, n: u32) {
        self.state.lock().lost_answers = n;
    }

    /// Sets the replicas that this instance knows.
    pub fn set_replicas(&self, replicas: Vec<ReplicaStatus>) {
        self.state.lock().replicas = replicas;
    }

    /// Sets the rollout that this instance knows.
    pub fn set_rollout(&self, rollout: Option<RolloutStatus>) {
        self.state.lock().rollout = rollout;
    }

    /// Returns all accepted changes in order.
    pub fn changes(&self) -> Vec<Change> {
        self.shared.lock().changes.clone()
    }

    fn view(&self) -> View {
        let shared = self.shared.lock();
        let mut state = self.state.lock();
        if state.lag == 0 {
            state.view = shared.view.clone();
        }
        state.lag = state.lag.saturating_sub(1);
        state.view.clone()
    }
}

impl Shared {
    /// Returns a new identifier of a process.
    fn boot(&mut self) -> Boot {
        self.boots += 1;
        Boot(self.boots)
    }

    fn accept(&mut self, change: Change, expect: Option<Rev>) -> Result<Change, ControlError> {
        if let Some(stored) = self.changes.iter().find(|c| c.id == change.id) {
            return Ok(stored.clone());
        }
        let current = self.view.doc(&change.key).map(|(_, rev)| rev);
        if current != expect {
            return Err(ControlError::Stale { current });
        }
        let faults = conf::violations(&self.view, &change.key, change.doc.as_ref());
        if !faults.is_empty() {
            return Err(ControlError::invalid(change.id, &change.key, &faults));
        }
        self.view.apply(&change).expect("the change follows the log's last");
        self.changes.push(change.clone());
        Ok(change)
    }
}

#[async_trait]
impl Control for Memory {
    fn authorised(&self, token: &str) -> bool {
        *self.token == *token
    }

    async fn accept(
        &self,
        id: RequestId,
        key: DocKey,
        doc: Option<Doc>,
        expect: Option<Rev>,
    ) -> Result<Change, ControlError> {
        if let Some(error) = self.state.lock().fail.clone() {
            return Err(error);
        }
        let mut shared = self.shared.lock();
        let rev = shared.view.rev().next();
        let change = shared.accept(Change { rev, id, key, doc }, expect)?;
        let mut state = self.state.lock();
        if state.lost_answers > 0 {
            state.lost_answers -= 1;
            return Err(ControlError::Unknown { id });
        }
        Ok(change)
    }

    fn doc(&self, key: &DocKey) -> Option<(Doc, Rev)> {
        self.view().doc(key)
    }

    fn names(&self, kind: Kind) -> Vec<(Name, Rev)> {
        let view = self.view();
        let rev = |name: &Name| view.doc(&DocKey { kind, name: name.clone() }).map(|(_, r)| r);
        view.names(kind).into_iter().filter_map(|n| rev(&n).map(|r| (n, r))).collect()
    }

    async fn status(&self) -> InstanceStatus {
        let rev = self.view().rev();
        let state = self.state.lock();
        InstanceStatus {
            name: self.name.clone(),
            zone: self.zone.clone(),
            boot: self.boot,
            phase: state.phase,
            rev,
            freshness: Freshness { fresh: state.lag == 0, confirmed: Time(0) },
            running: 0,
            replicas: state.replicas.clone(),
            peers: Vec::new(),
        }
    }

    async fn events(&self, after: u64, limit: usize) -> Page {
        self.log.since(after, limit)
    }

    async fn drain(&self) {
        self.state.lock().phase = Phase::Draining;
    }

    async fn rollout(&self, model: &Name) -> Result<Option<RolloutStatus>, ControlError> {
        let known = self.state.lock().rollout.clone();
        Ok(known.filter(|r| r.model == *model))
    }
}
