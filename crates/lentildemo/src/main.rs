//! Starts a small deployment, runs the main job step by step or a soak under random faults, and
//! ends all processes.

mod cli;
mod faults;
mod judge;
mod soak;
mod steps;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::{Command, Opts};

#[tokio::main]
async fn main() -> ExitCode {
    let result = match Opts::parse().command {
        None => steps::run().await,
        Some(Command::Soak { seed, seconds }) => soak::run(seed, seconds).await,
    };
    match result {
        Ok(()) => {
            println!("all steps did what they should");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("[lentildemo error]: {error:#}");
            ExitCode::FAILURE
        }
    }
}
