//! The instance as its operators see it.

use std::sync::Arc;

use admin::{
    Control, ControlError, Freshness, InstanceStatus, PeerState, PeerStatus, Phase, ReplicaState,
    ReplicaStatus, RolloutStatus,
};
use async_trait::async_trait;
use conf::{Change, Doc, DocKey, Kind, Store};
use entry::Core;
use events::Page;
use ident::{Boot, Digest, Name, RequestId, Rev, Time};
use tokio::sync::watch;

use crate::{drain::Stage, follow::Follower, rollout::Rollouts};

/// [`Control`] over a running instance.
pub struct Operator {
    core: Arc<Core>,
    store: Arc<Store>,
    follower: Arc<Follower>,
    rollouts: Arc<Rollouts>,
    stage: watch::Sender<Stage>,
    boot: Boot,
    /// Digests of operators' keys. Sorted.
    operators: Vec<Digest>,
}

impl Operator {
    /// The operators' side of an instance.
    pub fn new(
        core: Arc<Core>,
        store: Arc<Store>,
        follower: Arc<Follower>,
        rollouts: Arc<Rollouts>,
        stage: watch::Sender<Stage>,
        (boot, operators): (Boot, Vec<Digest>),
    ) -> Self {
        Self { core, store, follower, rollouts, stage, boot, operators }
    }

    fn phase(&self) -> Phase {
        match *self.stage.borrow() {
            Stage::Serving if self.core.taking().is_ok() => Phase::Serving,
            Stage::Serving => Phase::Starting,
            Stage::Draining => Phase::Draining,
        }
    }

    fn peers(&self) -> Vec<PeerStatus> {
        let members = self.core.members.lock();
        let peer = |p: &member::Peer| PeerStatus {
            name: p.name.clone(),
            zone: p.zone.clone(),
            state: match p.state {
                member::PeerState::Live => PeerState::Live,
                member::PeerState::Leaving => PeerState::Leaving,
                member::PeerState::Suspect | member::PeerState::Down => PeerState::Suspect,
            },
            rev: p.rev(),
            heard: p.heard,
        };
        members.peers().iter().map(peer).collect()
    }
}

#[async_trait]
impl Control for Operator {
    fn authorised(&self, token: &str) -> bool {
        self.operators.binary_search(&Digest::of(token.as_bytes())).is_ok()
    }

    async fn accept(
        &self,
        id: RequestId,
        key: DocKey,
        doc: Option<Doc>,
        expect: Option<Rev>,
    ) -> Result<Change, ControlError> {
        let accepted = self.store.accept(id, key.clone(), doc, expect).await;
        let change = accepted.map_err(|e| ControlError::refused(id, &key, e))?;
        self.follower.apply(std::slice::from_ref(&change));
        self.follower.install();
        if Store::snapshot_due(&change) {
            let store = self.store.clone();
            // A snapshot that fails costs a later start some time; the next one makes up for it.
            tokio::spawn(async move { store.snapshot(&store.view()).await });
        }
        Ok(change)
    }

    fn doc(&self, key: &DocKey) -> Option<(Doc, Rev)> {
        self.core.view().doc(key)
    }

    fn names(&self, kind: Kind) -> Vec<(Name, Rev)> {
        let view = self.core.view();
        let with_rev = |name: Name| {
            let rev = view.doc(&DocKey { kind, name: name.clone() })?.1;
            Some((name, rev))
        };
        view.names(kind).into_iter().filter_map(with_rev).collect()
    }

    async fn status(&self) -> InstanceStatus {
        let now = self.core.now();
        let freshness = {
            let members = self.core.members.lock();
            Freshness {
                fresh: members.takes_work(now),
                confirmed: members.confirmed().unwrap_or(Time(0)),
            }
        };
        InstanceStatus {
            name: self.core.name.clone(),
            zone: self.core.zone.clone(),
            boot: self.boot,
            phase: self.phase(),
            rev: self.core.view().rev(),
            freshness,
            running: self.core.running.count() as u64,
            replicas: self.core.pools.status().into_iter().map(replica).collect(),
            peers: self.peers(),
        }
    }

    async fn events(&self, after: u64, limit: usize) -> Page {
        self.core.events.since(after, limit)
    }

    async fn drain(&self) {
        self.stage.send_replace(Stage::Draining);
    }

    async fn rollout(&self, model: &Name) -> Result<Option<RolloutStatus>, ControlError> {
        Ok(self.rollouts.status(model))
    }
}

fn replica(replica: route::Replica) -> ReplicaStatus {
    ReplicaStatus {
        running: u32::try_from(replica.own()).unwrap_or(u32::MAX),
        state: if replica.is_leaving() { ReplicaState::Leaving } else { ReplicaState::Live },
        name: replica.name,
        target: replica.target,
        zone: replica.zone,
        weights: replica.weights,
    }
}
