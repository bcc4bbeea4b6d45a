//! Implements the admin API of a running instance.

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

use crate::{drain::DrainState, follow::Follower, rollout::Rollouts};

/// Implements [`Control`] for a running instance.
pub struct InstanceControl {
    core: Arc<Core>,
    config_store: Arc<Store>,
    follower: Arc<Follower>,
    rollouts: Arc<Rollouts>,
    drain_state: watch::Sender<DrainState>,
    boot: Boot,
    /// Digests of the operators' API keys. Sorted.
    operator_key_digests: Vec<Digest>,
}

impl InstanceControl {
    /// Creates the admin API of an instance; `operator_key_digests` must be sorted.
    pub fn new(
        core: Arc<Core>,
        config_store: Arc<Store>,
        follower: Arc<Follower>,
        rollouts: Arc<Rollouts>,
        drain_state: watch::Sender<DrainState>,
        (boot, operator_key_digests): (Boot, Vec<Digest>),
    ) -> Self {
        Self { core, config_store, follower, rollouts, drain_state, boot, operator_key_digests }
    }

    fn phase(&self) -> Phase {
        match *self.drain_state.borrow() {
            DrainState::Serving if self.core.check_accepting().is_ok() => Phase::Serving,
            DrainState::Serving => Phase::Starting,
            DrainState::Draining => Phase::Draining,
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
            heard: p.last_seen,
        };
        members.peers().iter().map(peer).collect()
    }
}

#[async_trait]
impl Control for InstanceControl {
    fn authorised(&self, token: &str) -> bool {
        self.operator_key_digests.binary_search(&Digest::of(token.as_bytes())).is_ok()
    }

    async fn accept(
        &self,
        id: RequestId,
        key: DocKey,
        doc: Option<Doc>,
        expect: Option<Rev>,
    ) -> Result<Change, ControlError> {
        let accepted = self.config_store.accept(id, key.clone(), doc, expect).await;
        let change = accepted.map_err(|e| ControlError::refused(id, &key, e))?;
        self.follower.install();
        if Store::snapshot_due(&change) {
            let store = self.config_store.clone();
            // If the snapshot fails, later starts of instances read more of the log, until the next
            // snapshot succeeds.
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
                // `fresh` is the name in the admin API. It is also true in an outage.
                fresh: members.takes_work(now),
                // 0 if the configuration was never confirmed.
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
            replicas: self.core.pools.replica_states().into_iter().map(replica).collect(),
            peers: self.peers(),
        }
    }

    async fn events(&self, after: u64, limit: usize) -> Page {
        self.core.events.since(after, limit)
    }

    async fn drain(&self) {
        self.drain_state.send_replace(DrainState::Draining);
    }

    async fn rollout(&self, model: &Name) -> Result<Option<RolloutStatus>, ControlError> {
        Ok(self.rollouts.status(model))
    }
}

fn replica(replica: route::Replica) -> ReplicaStatus {
    ReplicaStatus {
        running: u32::try_from(replica.own_requests()).unwrap_or(u32::MAX),
        state: if replica.is_leaving() { ReplicaState::Leaving } else { ReplicaState::Live },
        name: replica.name,
        target: replica.target,
        zone: replica.zone,
        weights: replica.weights,
    }
}
