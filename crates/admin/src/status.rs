//! The state of an instance as operators see it.

use ident::{Boot, Name, Rev, Time};
use serde::{Deserialize, Serialize};

/// What an instance is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes no work yet: its configuration is not confirmed.
    Starting,
    /// It takes work.
    Serving,
    /// It stops: it finishes what runs and is no longer named to callers.
    Draining,
}

/// How sure an instance is that its configuration is the latest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// Whether it was confirmed recently enough to admit new work.
    pub fresh: bool,
    /// When it was last confirmed, by the table or by peers.
    pub confirmed: Time,
}

/// Whether a replica takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaState {
    /// It takes work.
    Live,
    /// It takes no new work.
    Leaving,
    /// It does not answer.
    Dead,
}

/// A replica as this instance sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Its name in the platform's list.
    pub name: Name,
    /// The target it belongs to.
    pub target: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it takes work.
    pub state: ReplicaState,
    /// The weight version it serves; `None` for plain services and before its first report.
    pub weights: Option<Name>,
    /// Requests of this instance running there.
    pub running: u32,
}

/// What this instance thinks of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerState {
    /// Heartbeats arrive.
    Live,
    /// It said that it leaves.
    Leaving,
    /// Heartbeats have stopped.
    Suspect,
}

/// Another instance as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether its heartbeats arrive.
    pub state: PeerState,
    /// The configuration revision it reported last.
    pub rev: Rev,
    /// When it was last heard.
    pub heard: Time,
}

/// The state of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// This life of its process.
    pub boot: Boot,
    /// What it is doing.
    pub phase: Phase,
    /// The configuration revision in force.
    pub rev: Rev,
    /// How sure it is of that revision.
    pub freshness: Freshness,
    /// Requests running.
    pub running: u64,
    /// The replicas it watches, by name.
    pub replicas: Vec<ReplicaStatus>,
    /// The instances it hears, by name.
    pub peers: Vec<PeerStatus>,
}

/// How far the rollout of a weight version has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The model.
    pub model: Name,
    /// The version being rolled out.
    pub version: Name,
    /// The instance that leads the rollout at present.
    pub leader: Option<Name>,
    /// Replicas of the model that are not leaving.
    pub total: u32,
    /// Replicas that serve the version.
    pub ready: u32,
    /// Replicas loading it at present.
    pub loading: u32,
}

impl RolloutStatus {
    /// Whether every replica serves the version.
    pub fn done(&self) -> bool {
        self.ready == self.total
    }
}
