//! `lentilctl` drives lentilpitch: documents, status, events and rollouts.

mod cli;
mod client;
mod commands;
mod config;
mod document;
mod edit;
mod exit;
mod failure;
mod output;
mod patch;
mod random;

use std::process::ExitCode;

use clap::Parser;
use eyre::Report;

use crate::{cli::Cli, exit::Exit, failure::Failure};

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli) {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("lentilctl: {report}");
            report.downcast_ref::<Failure>().map_or(Exit::Failed, Failure::exit).into()
        }
    }
}

fn run(cli: Cli) -> Result<Exit, Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(commands::run(cli))?)
}
