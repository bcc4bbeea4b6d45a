//! An instance that relays opaque requests and streams to the replicas of targets.
//!
//! Data flows one way: accept, authenticate, place, send, relay, settle. The platform is met
//! through the traits of [`outside`] and [`dialect`]; decisions are made by `place`, `fleet` and
//! `lease`.

mod accept;
mod answer;
mod conns;
pub mod core;
mod dates;
pub mod dialect;
mod directory;
mod duty;
mod events;
mod follow;
mod forward;
mod job;
mod kept;
pub mod metrics;
pub mod node;
pub mod outside;
mod peers;
mod relay;
mod send;
mod serve;

pub use crate::{
    dates::Dial,
    events::{Splitter, StreamError},
    node::{RunError, run, run_until},
};
