//! `lentilctl` drives lentilpitch: documents, status, events and rollouts.

mod cli;
mod client;
mod commands;
mod config;
mod document;
mod edit;
mod error;
mod exit;
mod output;
mod patch;
mod random;

use std::process::ExitCode;

use clap::Parser;
use eyre::Report;

use crate::{cli::Cli, error::CommandError, exit::Exit};

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli) {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("lentilctl: {report}");
            report
                .downcast_ref::<CommandError>()
                .map_or(Exit::Failed, CommandError::exit_code)
                .into()
        }
    }
}

fn run(cli: Cli) -> Result<Exit, Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(commands::run(cli))?)
}
