//! Runs a stand-in for one of the systems around lentilpitch, until SIGTERM or SIGINT.

mod cli;

use std::{
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
};

use clap::Parser;
use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::Cli;

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("[lentilfake error]: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> eyre::Result<()> {
    let cli = Cli::parse();
    let listen = cli.command.common().listen;
    let app = cli.command.app()?;
    let listener =
        fakes::bind(listen).await.wrap_err_with(|| format!("cannot listen on {listen}"))?;
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    announce(listener.local_addr()?)?;
    tokio::select! {
        never = fakes::serve(listener, app) => match never {},
        _ = term.recv() => Ok(()),
        _ = int.recv() => Ok(()),
    }
}

/// Prints the listening address as one line of JSON. A parent process reads from it that the
/// stand-in is ready, and where.
fn announce(addr: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{{\"listening\":\"{addr}\"}}")?;
    out.flush()
}
