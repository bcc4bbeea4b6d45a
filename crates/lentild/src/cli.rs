//! Command line options.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Serves prompts whose context returns after long gaps.
#[derive(Debug, Parser)]
#[command(name = "lentild", version, max_term_width = 98)]
pub struct Opts {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an instance until it is drained
    ///
    /// SIGTERM and SIGINT start a drain: the instance is no longer named to callers, serves those
    /// who still come, and exits once everything has ended. SIGHUP reads the settings again and
    /// takes over what may change while running. Exits with 0 after a clean drain, 3 when the time
    /// for it ran out with work in progress, and 1 when the instance could not start.
    Run {
        /// Settings file (YAML)
        #[arg(long, short, value_name = "FILE", env = "LENTILD_SETTINGS")]
        settings: PathBuf,
    },
    /// Check a settings file, and list every fault in it
    Check {
        /// Settings file (YAML)
        #[arg(value_name = "FILE")]
        settings: PathBuf,
    },
}
