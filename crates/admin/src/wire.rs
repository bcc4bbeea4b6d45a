//! JSON shapes of the administration API, for servers and clients.

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

/// Why an answer was not understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The problem's type is not known to this version.
    #[error("unknown problem type {0:?}; use a client of the instance's version")]
    ProblemType(String),
    /// A member that belongs to the problem's type is missing.
    #[error("the problem lacks `{0}`; use a client of the instance's version")]
    Lacks(&'static str),
}

/// A [`Fault`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultWire {
    /// Where in the document.
    pub path: String,
    /// What belongs there.
    pub wanted: String,
    /// What was there.
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
    /// `urn:lentilpitch:problem:` and the problem's slug.
    #[serde(rename = "type")]
    pub kind: String,
    /// The same for every problem of the type.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What to do.
    pub detail: String,
    /// The revision that made the present document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Rev>,
    /// Id of the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<RequestId>,
    /// All that is wrong with a document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultWire>,
    /// When trying again makes sense, in milliseconds from now.
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
    /// The revision the change made.
    pub rev: Rev,
    /// Its id.
    pub id: RequestId,
    /// Kind of the document.
    pub kind: Kind,
    /// Name of the document.
    pub name: Name,
    /// The document from this revision on; null when it was removed.
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

/// One line of a list of documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListWire {
    /// Name of the document.
    pub name: Name,
    /// The revision that made it.
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
    /// Its name in the platform's list.
    pub name: Name,
    /// The target it belongs to.
    pub target: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it takes work.
    pub state: ReplicaState,
    /// The weight version it serves; null when not known.
    pub weights: Option<Name>,
    /// Requests of this instance running there.
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
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether its heartbeats arrive.
    pub state: PeerState,
    /// The configuration revision it reported last.
    pub rev: Rev,
    /// When it was last heard, in milliseconds since the Unix epoch.
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
    /// The instance's name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// This life of its process.
    pub boot: Boot,
    /// What it is doing.
    pub phase: Phase,
    /// The configuration revision in force.
    pub rev: Rev,
    /// Whether the revision was confirmed recently enough to admit new work.
    pub fresh: bool,
    /// When the revision was last confirmed, in milliseconds since the Unix epoch.
    pub confirmed: Time,
    /// Requests running.
    pub running: u64,
    /// The replicas it watches, by name.
    pub replicas: Vec<ReplicaWire>,
    /// The instances it hears, by name.
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
    /// The model.
    pub model: Name,
    /// The version being rolled out.
    pub version: Name,
    /// The instance that leads the rollout; null when not known.
    pub leader: Option<Name>,
    /// Replicas that are not leaving.
    pub total: u32,
    /// Replicas that serve the version.
    pub ready: u32,
    /// Replicas loading it.
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
