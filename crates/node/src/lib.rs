//! Assembles one instance: settings, clock, background tasks, listeners and drain.

mod clock;
mod control;
mod counted_table;
mod drain;
mod follow;
mod gossip;
mod load_slots;
mod logs;
mod node;
mod poll;
mod rollout;
mod serve;
pub mod settings;
mod upkeep;

pub use crate::{
    drain::DrainOutcome,
    logs::{LogControl, LogError, start as start_logs},
    node::{Node, NodeError, NodeHandle},
    serve::ServeError,
};
