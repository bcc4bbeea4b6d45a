//! Membership: which instances exist, which of them callers are told to use, and whether the
//! configuration of this instance is recent.
//!
//! [`Members`] takes the platform's instance list, the messages of peers and the time, and returns
//! [`Action`]s. It does no I/O and generates no random numbers.

mod answer;
mod config;
mod drain;
mod fresh;
mod members;
mod message;
mod queue;
mod peer;
mod probe;
mod ring;

pub use crate::{
    answer::{Address, Answer, TeamRank},
    config::{
        ADDRESS_TTL, CONFIRMATION_TTL, Config, HEARTBEAT_TTL, MAX_ADDRESSES, MAX_MESH_SIZE,
        MAX_UPDATES, MIN_PING_INTERVAL, PROBE_INTERVAL, PROPAGATION_GRACE, RING_NEIGHBOURS,
    },
    fresh::Freshness,
    members::{Action, Members},
    message::{PeerUpdate, Ping, Pong, Status},
    peer::{ListedInstance, LocalInstance, Peer, PeerState},
};
