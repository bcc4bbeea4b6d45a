//! State of an instance, for operators.

use ident::{Boot, Name, Rev, Time};
use serde::{Deserialize, Serialize};

/// Phase of the life cycle of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It accepts no work yet, since its configuration is not confirmed.
    Starting,
    /// It accepts work.
    Serving,
    /// It is stopping: running requests end, and address answers no longer name it.
    Draining,
}

/// Whether the configuration of an instance is known to be recent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// Whether it was confirmed recently enough to accept new work.
    pub fresh: bool,
    /// When it was last confirmed by the table service or by a peer; 0 if never.
    pub confirmed: Time,
}

/// Whether a replica accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaState {
    /// It accepts work.
    Live,
    /// It accepts no new work.
    Leaving,
    /// It does not answer.
    Dead,
}

/// A replica as this instance sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Name in the platform's list.
    pub name: Name,
    /// Target that it belongs to.
    pub target: Name,
    /// Availability zone.
    pub zone: Name,
    /// Whether it accepts work.
    pub state: ReplicaState,
    /// Weights version that it serves; `None` for plain services and before the first report.
    pub weights: Option<Name>,
    /// Number of requests of this instance that run there.
    pub running: u32,
}

/// State of another instance, as this one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerState {
    /// Heartbeats are received.
    Live,
    /// It announced that it is leaving.
    Leaving,
    /// Heartbeats have stopped.
    Suspect,
}

/// Another instance as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Unique name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Whether its heartbeats are received.
    pub state: PeerState,
    /// Configuration revision that it reported last.
    pub rev: Rev,
    /// When its last heartbeat was received.
    pub heard: Time,
}

/// The state of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Unique name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Identifier of its process.
    pub boot: Boot,
    /// Phase of its life cycle.
    pub phase: Phase,
    /// The configuration revision in force.
    pub rev: Rev,
    /// Whether that revision is known to be recent.
    pub freshness: Freshness,
    /// Number of running requests.
    pub running: u64,
    /// Replicas that it knows, sorted by name.
    pub replicas: Vec<ReplicaStatus>,
    /// Instances that it receives heartbeats from, sorted by name.
    pub peers: Vec<PeerStatus>,
}

/// Progress of the rollout of a weights version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Model whose weights are rolled out.
    pub model: Name,
    /// Version that is rolled out.
    pub version: Name,
    /// Instance that leads the rollout; `None` if none is known.
    pub leader: Option<Name>,
    /// Number of replicas of the model that are not leaving.
    pub total: u32,
    /// Number of replicas that serve the version.
    pub ready: u32,
    /// Number of replicas that are loading it.
    pub loading: u32,
}

impl RolloutStatus {
    /// Returns whether all replicas serve the version.
    pub fn done(&self) -> bool {
        self.ready == self.total
    }
}
