//! An instance that forwards opaque requests to the replicas of targets and relays their answers
//! and streams.
//!
//! A request passes through these steps: accept, authenticate, choose a replica, send, relay the
//! answer, record the outcome. The traits in [`services`] and [`protocol`] hide the platform; the
//! crates `place`, `fleet` and `lease` make the decisions.

mod accept;
mod answer;
mod bodies;
pub mod body_budget;
mod caller_conn;
mod connections;
mod conns;
pub mod core;
mod datagram;
mod dates;
mod detour;
mod directory;
mod duty;
mod ends;
mod events;
mod feed;
mod feed_wire;
mod follow;
mod forward;
mod job;
mod kept;
mod links;
pub mod metrics;
pub mod node;
mod origins;
mod peers;
mod permits;
pub mod protocol;
mod relay;
mod releases;
pub mod returns;
mod rows;
mod send;
mod serve;
pub mod services;
mod unread;
mod verdicts;
mod versions;
mod whole;

pub use crate::{
    dates::RegistryClock,
    events::{EventScanner, EventSplitter, StreamError},
    node::{RunError, run, run_until},
};
