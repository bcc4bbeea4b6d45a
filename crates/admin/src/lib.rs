//! The administration API over HTTP: documents, status, events, drain and rollouts.
//!
//! [`router`] serves the administration API over a [`Control`], which the instance implements. A
//! change names the revision that it replaces and has an id that the client generates. So a client
//! learns that another change came first, and can repeat a change whose answer was lost.

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
