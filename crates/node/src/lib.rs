//! Assembles an instance: settings, clock, background tasks, listeners, planned stop.

mod clock;
mod control;
mod counted;
mod drain;
mod follow;
mod gossip;
mod loads;
mod logs;
mod node;
mod rollout;
mod serve;
pub mod settings;
mod upkeep;
mod watch;

pub use crate::{
    drain::Drained,
    logs::{LogControl, LogError, start as start_logs},
    node::{Node, NodeError, NodeHandle},
    serve::ServeError,
};
