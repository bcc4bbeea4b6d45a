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
pub mod conns;
pub mod core;
mod datagram;
mod dates;
mod departed;
mod detour;
mod directory;
mod duty;
mod ends;
mod events;
mod feed;
mod feed_wire;
mod follow;
mod forward;
pub mod holdings;
mod job;
mod kept;
mod links;
mod loads;
pub mod metrics;
pub mod node;
mod origins;
mod peers;
mod permits;
mod placement;
pub mod protocol;
mod queue;
mod relay;
mod releases;
pub mod returns;
mod retries;
mod rows;
mod send;
mod serve;
pub mod services;
mod spot;
mod tracking;
pub mod unacked;
mod unread;
mod unwritten;
mod verdicts;
mod versions;
mod whole;
mod zones;

pub use crate::{
    dates::RegistryClock,
    events::{EventScanner, EventSplitter, StreamError},
    node::{RunError, run, run_until},
};
