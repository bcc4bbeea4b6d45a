//! Command line options.

use clap::{Parser, Subcommand};

/// Runs the main job on a small deployment of processes, and ends them all.
#[derive(Debug, Parser)]
#[command(name = "lentildemo", version)]
pub struct Opts {
    /// Job to run in place of the main one; `None` for the main one.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Job to run in place of the main one.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Work under random faults, often two at once, and check what must always hold
    ///
    /// Faults are drawn by the seed: processes killed, frozen and replaced, stand-ins that refuse,
    /// delay, lose answers, go silent or damage blocks, changes of configuration and weights. Each
    /// answer is compared with the model's, each call with the service's own log.
    Soak {
        /// Seed of the faults and the work
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How long, in seconds
        #[arg(long, default_value_t = 60)]
        seconds: u64,
    },
}
