//! The command line.

use std::{path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use ident::{Digest, Name, RequestId, Rev};

use crate::{exit, patch::Assignment};

/// Drives lentilpitch: documents, status, events and rollouts.
#[derive(Debug, Parser)]
#[command(name = "lentilctl", version, after_help = exit::HELP)]
pub struct Cli {
    /// Options of every command.
    #[command(flatten)]
    pub global: Global,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Options of every command.
#[derive(Debug, Args)]
pub struct Global {
    /// Administration address of an instance, such as http://10.1.0.1:8081; may be repeated
    #[arg(
        long = "admin",
        global = true,
        value_name = "URL",
        env = "LENTIL_ADMIN",
        value_delimiter = ','
    )]
    pub admins: Vec<String>,
    /// File that holds the operator's key
    #[arg(long, global = true, value_name = "FILE", env = "LENTIL_KEY_FILE")]
    pub key_file: Option<PathBuf>,
    /// Print JSON
    #[arg(long, global = true)]
    pub json: bool,
    /// Longest wait for one answer
    #[arg(
        long,
        global = true,
        value_name = "TIME",
        default_value = "10s",
        value_parser = parse_duration
    )]
    pub timeout: Duration,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Templates of team parameters
    #[command(subcommand)]
    Template(DocCommand),
    /// Teams and their API keys
    #[command(subcommand)]
    Team(TeamCommand),
    /// Targets and their replicas
    #[command(subcommand)]
    Target(TargetCommand),
    /// Models and their weight versions
    #[command(subcommand)]
    Model(ModelCommand),
    /// Apply the documents of a YAML file in their order
    Apply {
        /// File of documents, each under its kind; - reads standard input
        file: PathBuf,
    },
    /// Show the instances named by --admin
    Status {
        /// Fail unless all answer and have the same configuration revision
        #[arg(long)]
        same: bool,
    },
    /// Show the time line of the instances named by --admin
    Events {
        /// Go on showing new events
        #[arg(long, conflicts_with = "trace")]
        follow: bool,
        /// Write a file for Chrome's trace viewer instead
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,
    },
    /// Wait until a revision is in force on all instances named by --admin
    Wait {
        /// The revision, such as r12
        #[arg(value_parser = parse_rev)]
        rev: Rev,
        /// Longest wait
        #[arg(long, value_name = "TIME", default_value = "30s", value_parser = parse_duration)]
        within: Duration,
    },
    /// Start the planned stop of the one instance named by --admin
    Drain,
    /// Collect the log lines of one request from the logs of several instances, in order
    Story {
        /// The request's id
        id: String,
        /// Logs, one JSON record a line
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Make a random key and print it with its digest
    Key,
    /// Print a completion script
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Commands of every kind of document.
#[derive(Debug, Subcommand)]
pub enum DocCommand {
    /// List names and revisions
    List,
    /// Print a document as YAML
    Get {
        /// Its name
        name: Name,
    },
    /// Create or replace the documents of a YAML file
    Apply(ApplyArgs),
    /// Remove a document
    Remove {
        /// Its name
        name: Name,
        /// How the change is made
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Change single fields of a document
    Set {
        /// Its name
        name: Name,
        /// Fields and their new values, such as params.limits.rate=20; null removes a field
        #[arg(required = true, value_name = "PATH=VALUE")]
        fields: Vec<Assignment>,
        /// When another change comes first, read again and set again
        #[arg(long)]
        retry: bool,
        /// How the change is made
        #[command(flatten)]
        change: ChangeArgs,
    },
}

/// Options of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// File of documents; - reads standard input
    pub file: PathBuf,
    /// How the change is made; only for a file of one document
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// How a change is made.
#[derive(Debug, Clone, Copy, Args)]
pub struct ChangeArgs {
    /// Change only if the document was made by this revision
    #[arg(long, value_name = "REV", value_parser = parse_rev)]
    pub expect: Option<Rev>,
    /// Repeat a change whose outcome is unknown
    #[arg(long, value_name = "ID")]
    pub change_id: Option<RequestId>,
}

/// Commands for teams.
#[derive(Debug, Subcommand)]
pub enum TeamCommand {
    /// Commands of every kind of document.
    #[command(flatten)]
    Doc(DocCommand),
    /// The team's API keys
    #[command(subcommand)]
    Key(KeyCommand),
}

/// Commands for a team's API keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Make a random key, store its digest and print the key, once
    New {
        /// The team
        team: Name,
    },
    /// Take a key from the team
    Remove {
        /// The team
        team: Name,
        /// Digest of the key
        digest: Digest,
    },
}

/// Commands for targets.
#[derive(Debug, Subcommand)]
pub enum TargetCommand {
    /// Commands of every kind of document.
    #[command(flatten)]
    Doc(DocCommand),
    /// Hand a target to another organisation; safe to repeat after a failure
    Move {
        /// The target
        name: Name,
        /// The organisation that takes it over
        #[arg(long)]
        to: Name,
    },
    /// Give a replica no new work
    Withdraw {
        /// The replica
        replica: Name,
        /// Its target; asked of the instances when absent
        #[arg(long)]
        target: Option<Name>,
        /// Give it work again
        #[arg(long)]
        undo: bool,
    },
}

/// Commands for models.
#[derive(Debug, Subcommand)]
pub enum ModelCommand {
    /// Commands of every kind of document.
    #[command(flatten)]
    Doc(DocCommand),
    /// Roll out a weight version
    Roll {
        /// The model
        name: Name,
        /// The version
        version: Name,
        /// Wait until every replica serves it
        #[arg(long)]
        wait: bool,
        /// Longest wait
        #[arg(long, value_name = "TIME", default_value = "30m", value_parser = parse_duration)]
        within: Duration,
    },
}

/// An argument of the command line that could not be parsed.
#[derive(Debug, Clone, Copy, thiserror::Error)]
pub enum ArgError {
    /// The argument is not a revision number.
    #[error("a revision is written r12 or 12")]
    Rev,
    /// The argument is not a duration.
    #[error("a time is written 250ms, 10s or 5m")]
    Duration,
}

fn parse_rev(text: &str) -> Result<Rev, ArgError> {
    text.strip_prefix('r').unwrap_or(text).parse().map(Rev).map_err(|_| ArgError::Rev)
}

fn parse_duration(text: &str) -> Result<Duration, ArgError> {
    fields::parse_span(text).ok_or(ArgError::Duration)
}
