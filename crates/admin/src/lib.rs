//! HTTP for operators: documents, status, events, drain and rollouts.
//!
//! [`router`] serves the administration API over a [`Control`], which the instance implements. A
//! change names the revision it builds on and carries an id of the client's making, so losing a
//! race and losing an answer are both told apart from success.

mod auth;
mod body;
mod control;
mod docs;
mod headers;
mod memory;
mod problem;
mod refusal;
mod router;
mod status;
mod views;
mod wire;

pub use crate::{
    body::{parse_kind, plural, read_doc},
    control::{Control, ControlError},
    headers::{CHANGE_ID, etag, parse_etag},
    memory::Memory,
    problem::Problem,
    router::{MAX_BODY, router},
    status::{
        Freshness, InstanceStatus, PeerState, PeerStatus, Phase, ReplicaState, ReplicaStatus,
        RolloutStatus,
    },
    wire::{
        ChangeWire, FaultWire, ListWire, PeerWire, ProblemWire, ReplicaWire, RolloutWire,
        StatusWire, WireError,
    },
};
