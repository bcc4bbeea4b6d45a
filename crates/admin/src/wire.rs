//! JSON types of the administration API, for servers and clients.

use std::time::Duration;

use conf::{Change, Doc, DocKey, Kind};
use fields::{Fault, Faults};
use ident::{Boot, Name, RequestId, Rev, Time};
use serde::{Deserialize, Serialize};

use crate::{
    Freshness, InstanceStatus, PeerState, PeerStatus, Phase, Problem, ReplicaState, ReplicaStatus,
    RolloutStatus,
};

/// Prefix of problem types.
const URN: &str = "urn:lentilpitch:problem:";

/// Error of an answer that can't be converted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// This version does not know the problem's type.
    #[error("unknown problem type {0:?}; use a client of the instance's version")]
    ProblemType(String),
    /// A member that the problem's type requires is missing.
    #[error("the problem lacks `{0}`; use a client of the instance's version")]
    Lacks(&'static str),
}

/// A [`Fault`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultWire {
    /// Path of the field in the document.
    pub path: String,
    /// Description of a valid value.
    pub wanted: String,
    /// Value that was found.
    #[serde(default)]
    pub found: String,
}

impl From<Fault> for FaultWire {
    fn from(f: Fault) -> Self {
        Self { path: f.path, wanted: f.wanted, found: f.found }
    }
}

impl From<FaultWire> for Fault {
    fn from(f: FaultWire) -> Self {
        Self { path: f.path, wanted: f.wanted, found: f.found }
    }
}

/// A [`Problem`] as problem details.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProblemWire {
    /// `urn:lentilpitch:problem:` followed by [`Problem::slug`].
    #[serde(rename = "type")]
    pub kind: String,
    /// Title of the type.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened and what to do.
    pub detail: String,
    /// Revision of the present document, or of the change that was accepted with the id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Rev>,
    /// Id of the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<RequestId>,
    /// All faults of an invalid document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultWire>,
    /// Delay in milliseconds after which a retry makes sense.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<Problem> for ProblemWire {
    fn from(problem: Problem) -> Self {
        let mut wire = Self {
            kind: format!("{URN}{}", problem.slug()),
            title: problem.title().into(),
            status: problem.status().as_u16(),
            detail: problem.to_string(),
            current: None,
            change: None,
            faults: Vec::new(),
            retry_after_ms: problem
                .retry_after()
                .map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
        };
        match problem {
            Problem::Stale { current } => wire.current = current,
            Problem::Exists { current } => wire.current = Some(current),
            Problem::IdReused { id, current } => {
                (wire.change, wire.current) = (Some(id), Some(current));
            }
            Problem::Invalid(faults) => {
                wire.faults = faults.into_vec().into_iter().map(FaultWire::from).collect();
            }
            Problem::Unknown { id } => wire.change = Some(id),
            _ => {}
        }
        wire
    }
}

impl TryFrom<ProblemWire> for Problem {
    type Error = WireError;

    fn try_from(wire: ProblemWire) -> Result<Self, WireError> {
        let current = wire.current.ok_or(WireError::Lacks("current"));
        let change = wire.change.ok_or(WireError::Lacks("change"));
        Ok(match wire.kind.strip_prefix(URN).unwrap_or(&wire.kind) {
            "unauthorised" => Self::Unauthorised,
            "not-found" => Self::NotFound,
            "method" => Self::Method,
            "too-large" => Self::TooLarge,
            "bad-request" => Self::BadRequest(wire.detail),
            "precondition-required" => Self::PreconditionRequired,
            "stale" => Self::Stale { current: wire.current },
            "exists" => Self::Exists { current: current? },
            "id-reused" => Self::IdReused { id: change?, current: current? },
            "invalid" => {
                let faults: Vec<Fault> = wire.faults.into_iter().map(Fault::from).collect();
                Self::Invalid(Faults::from(faults))
            }
            "unavailable" => {
                let retry_after = Duration::from_millis(wire.retry_after_ms.unwrap_or(0));
                Self::Unavailable { retry_after }
            }
            "unknown" => Self::Unknown { id: change? },
            _ => return Err(WireError::ProblemType(wire.kind)),
        })
    }
}

/// An accepted [`Change`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeWire {
    /// Revision of the change.
    pub rev: Rev,
    /// Id that the client generated.
    pub id: RequestId,
    /// Kind of the document.
    pub kind: Kind,
    /// Name of the document.
    pub name: Name,
    /// Document from this revision on; null if it was removed.
    pub doc: Option<Doc>,
}

impl From<Change> for ChangeWire {
    fn from(c: Change) -> Self {
        Self { rev: c.rev, id: c.id, kind: c.key.kind, name: c.key.name, doc: c.doc }
    }
}

impl From<ChangeWire> for Change {
    fn from(c: ChangeWire) -> Self {
        let key = DocKey { kind: c.kind, name: c.name };
        Self { rev: c.rev, id: c.id, key, doc: c.doc }
    }
}

/// Entry of a list of documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListWire {
    /// Name of the document.
    pub name: Name,
    /// Revision of its last change.
    pub rev: Rev,
}

impl From<(Name, Rev)> for ListWire {
    fn from((name, rev): (Name, Rev)) -> Self {
        Self { name, rev }
    }
}

/// A [`ReplicaStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaWire {
    /// Name in the platform's list.
    pub name: Name,
    /// Target that it belongs to.
    pub target: Name,
    /// Availability zone.
    pub zone: Name,
    /// Whether it accepts work.
    pub state: ReplicaState,
    /// Weights version that it serves; null if unknown.
    pub weights: Option<Name>,
    /// Number of requests of this instance that run there.
    pub running: u32,
}

impl From<ReplicaStatus> for ReplicaWire {
    fn from(r: ReplicaStatus) -> Self {
        let ReplicaStatus { name, target, zone, state, weights, running } = r;
        Self { name, target, zone, state, weights, running }
    }
}

impl From<ReplicaWire> for ReplicaStatus {
    fn from(r: ReplicaWire) -> Self {
        let ReplicaWire { name, target, zone, state, weights, running } = r;
        Self { name, target, zone, state, weights, running }
    }
}

/// A [`PeerStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerWire {
    /// Unique name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Whether its heartbeats are received.
    pub state: PeerState,
    /// Configuration revision that it reported last.
    pub rev: Rev,
    /// When its last heartbeat was received, in milliseconds since the Unix epoch.
    pub heard: Time,
}

impl From<PeerStatus> for PeerWire {
    fn from(p: PeerStatus) -> Self {
        let PeerStatus { name, zone, state, rev, heard } = p;
        Self { name, zone, state, rev, heard }
    }
}

impl From<PeerWire> for PeerStatus {
    fn from(p: PeerWire) -> Self {
        let PeerWire { name, zone, state, rev, heard } = p;
        Self { name, zone, state, rev, heard }
    }
}

/// An [`InstanceStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusWire {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Identifier of its process.
    pub boot: Boot,
    /// Phase of its life cycle.
    pub phase: Phase,
    /// The configuration revision in force.
    pub rev: Rev,
    /// Whether the revision was confirmed recently enough to accept new work.
    pub fresh: bool,
    /// When the revision was last confirmed, in milliseconds since the Unix epoch; 0 if never.
    pub confirmed: Time,
    /// Number of running requests.
    pub running: u64,
    /// Replicas that it knows, sorted by name.
    pub replicas: Vec<ReplicaWire>,
    /// Instances that it receives heartbeats from, sorted by name.
    pub peers: Vec<PeerWire>,
}

impl From<InstanceStatus> for StatusWire {
    fn from(s: InstanceStatus) -> Self {
        Self {
            name: s.name,
            zone: s.zone,
            boot: s.boot,
            phase: s.phase,
            rev: s.rev,
            fresh: s.freshness.fresh,
            confirmed: s.freshness.confirmed,
            running: s.running,
            replicas: s.replicas.into_iter().map(ReplicaWire::from).collect(),
            peers: s.peers.into_iter().map(PeerWire::from).collect(),
        }
    }
}

impl From<StatusWire> for InstanceStatus {
    fn from(s: StatusWire) -> Self {
        Self {
            name: s.name,
            zone: s.zone,
            boot: s.boot,
            phase: s.phase,
            rev: s.rev,
            freshness: Freshness { fresh: s.fresh, confirmed: s.confirmed },
            running: s.running,
            replicas: s.replicas.into_iter().map(ReplicaStatus::from).collect(),
            peers: s.peers.into_iter().map(PeerStatus::from).collect(),
        }
    }
}

/// A [`RolloutStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutWire {
    /// Model whose weights are rolled out.
    pub model: Name,
    /// Version that is rolled out.
    pub version: Name,
    /// Instance that leads the rollout; null if unknown.
    pub leader: Option<Name>,
    /// Number of replicas that are not leaving.
    pub total: u32,
    /// Number of replicas that serve the version.
    pub ready: u32,
    /// Number of replicas that are loading it.
    pub loading: u32,
}

impl From<RolloutStatus> for RolloutWire {
    fn from(r: RolloutStatus) -> Self {
        let RolloutStatus { model, version, leader, total, ready, loading } = r;
        Self { model, version, leader, total, ready, loading }
    }
}

impl From<RolloutWire> for RolloutStatus {
    fn from(r: RolloutWire) -> Self {
        let RolloutWire { model, version, leader, total, ready, loading } = r;
        Self { model, version, leader, total, ready, loading }
    }
}
