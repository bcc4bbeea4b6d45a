//! The program `lentild`: runs one instance of lentilpitch or checks its settings.

mod cli;
mod run;
mod signals;

use std::{path::Path, process::ExitCode};

use clap::Parser;
use node::settings::Settings;

use crate::cli::{Command, Opts};

fn main() -> ExitCode {
    let result = match Opts::parse().command {
        Command::Run { settings } => run::run(&settings),
        Command::Check { settings } => check(&settings),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("[lentild error]: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn check(path: &Path) -> eyre::Result<ExitCode> {
    let settings = Settings::read(path)?;
    println!("{}: instance {} in zone {}, no faults", path.display(), settings.name, settings.zone);
    Ok(ExitCode::SUCCESS)
}
