//! Simulates both users' prompts with the decisions of `place`: which replica to choose, how long
//! to wait for capacity, what to fetch and save. Engines, links and a store of kept KV cache are
//! simulated event by event. The same seed gives the same figures.
//!
//! One instance with exact loads decides for all requests. Delays between several instances,
//! failures of replicas and changes of weights are not simulated.

mod engine;
mod figures;
mod mix;
mod policy;
mod run;

pub use crate::{
    figures::{ClassFigures, Figures, table},
    mix::{Mix, UnknownMix},
    policy::{Policy, UnknownPolicy},
    run::{Options, run},
};
