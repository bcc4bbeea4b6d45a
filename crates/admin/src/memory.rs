//! An instance in memory, for tests.

use std::sync::Arc;

use async_trait::async_trait;
use conf::{Change, Doc, DocKey, Kind, View};
use events::{Log, Page};
use ident::{Boot, Name, RequestId, Rev, Time};
use parking_lot::Mutex;

use crate::{
    Control, ControlError, Freshness, InstanceStatus, Phase, ReplicaStatus, RolloutStatus,
};

/// Events an instance in memory keeps.
const EVENTS: usize = 1024;

/// The change log all instances share.
#[derive(Debug, Default)]
struct Shared {
    boots: u128,
    changes: Vec<Change>,
    view: View,
}

/// What differs from instance to instance.
#[derive(Debug)]
struct Own {
    view: View,
    lag: u32,
    fail: Option<ControlError>,
    lost: u32,
    phase: Phase,
    replicas: Vec<ReplicaStatus>,
    rollout: Option<RolloutStatus>,
}

/// A [`Control`] without a process, table or peers. Instances made with [`Memory::join`] share
/// one change log.
pub struct Memory {
    name: Name,
    zone: Name,
    token: Arc<str>,
    boot: Boot,
    /// The instance's events.
    pub log: Log,
    shared: Arc<Mutex<Shared>>,
    own: Mutex<Own>,
}

impl Memory {
    /// The first instance of a deployment, with an empty log; `token` is the operator's key.
    pub fn new(name: Name, zone: Name, token: &str) -> Self {
        Self::build(name, zone, token.into(), Arc::default())
    }

    /// Another instance over the same change log.
    pub fn join(&self, name: Name, zone: Name) -> Self {
        Self::build(name, zone, self.token.clone(), self.shared.clone())
    }

    fn build(name: Name, zone: Name, token: Arc<str>, shared: Arc<Mutex<Shared>>) -> Self {
        let own = Own {
            view: View::default(),
            lag: 0,
            fail: None,
            lost: 0,
            phase: Phase::Serving,
            replicas: Vec::new(),
            rollout: None,
        };
        let boot = shared.lock().boot();
        let log = Log::new(name.clone(), boot, EVENTS);
        Self { name, zone, token, boot, log, shared, own: Mutex::new(own) }
    }

    /// Keeps this instance at its present revision for the next `reads` reads.
    pub fn lag(&self, reads: u32) {
        self.view();
        self.own.lock().lag = reads;
    }

    /// Lets every change fail with `error`, or none.
    pub fn fail(&self, error: Option<ControlError>) {
        self.own.lock().fail = error;
    }

    /// Loses the answers of the next `n` changes after they were accepted.
    pub fn lose_answers(&self, n: u32) {
        self.own.lock().lost = n;
    }

    /// Sets the replicas this instance watches.
    pub fn set_replicas(&self, replicas: Vec<ReplicaStatus>) {
        self.own.lock().replicas = replicas;
    }

    /// Sets the rollout this instance knows of.
    pub fn set_rollout(&self, rollout: Option<RolloutStatus>) {
        self.own.lock().rollout = rollout;
    }

    /// All accepted changes, in order.
    pub fn changes(&self) -> Vec<Change> {
        self.shared.lock().changes.clone()
    }

    fn view(&self) -> View {
        let shared = self.shared.lock();
        let mut own = self.own.lock();
        if own.lag == 0 {
            own.view = shared.view.clone();
        }
        own.lag = own.lag.saturating_sub(1);
        own.view.clone()
    }
}

impl Shared {
    /// The next life of a process.
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
        if let Some(error) = self.own.lock().fail.clone() {
            return Err(error);
        }
        let mut shared = self.shared.lock();
        let rev = shared.view.rev().next();
        let change = shared.accept(Change { rev, id, key, doc }, expect)?;
        let mut own = self.own.lock();
        if own.lost > 0 {
            own.lost -= 1;
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
        let own = self.own.lock();
        InstanceStatus {
            name: self.name.clone(),
            zone: self.zone.clone(),
            boot: self.boot,
            phase: own.phase,
            rev,
            freshness: Freshness { fresh: own.lag == 0, confirmed: Time(0) },
            running: 0,
            replicas: own.replicas.clone(),
            peers: Vec::new(),
        }
    }

    async fn events(&self, after: u64, limit: usize) -> Page {
        self.log.since(after, limit)
    }

    async fn drain(&self) {
        self.own.lock().phase = Phase::Draining;
    }

    async fn rollout(&self, model: &Name) -> Result<Option<RolloutStatus>, ControlError> {
        let known = self.own.lock().rollout.clone();
        Ok(known.filter(|r| r.model == *model))
    }
}
