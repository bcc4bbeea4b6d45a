//! The `run` command.

use std::{path::Path, process::ExitCode};

use node::{DrainOutcome, LogControl, Node, NodeHandle, settings::Settings, start_logs};

use crate::signals::{SignalAction, Signals};

/// Exit code if the grace period of a drain ended with work in progress.
const EXIT_DRAIN_TIMED_OUT: u8 = 3;

/// Runs an instance until it is drained. Returns the exit code of the process.
pub fn run(path: &Path) -> eyre::Result<ExitCode> {
    let settings = Settings::read(path)?;
    let logs = start_logs(settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let outcome = runtime.block_on(serve(path, settings, &logs))?;
    Ok(match outcome {
        DrainOutcome::Clean => ExitCode::SUCCESS,
        DrainOutcome::TimedOut(running) => {
            tracing::warn!(running, "stopped with work in progress: drain grace period ended");
            ExitCode::from(EXIT_DRAIN_TIMED_OUT)
        }
    })
}

/// Starts the instance and handles signals until it is drained.
async fn serve(
    path: &Path,
    mut settings: Settings,
    logs: &LogControl,
) -> eyre::Result<DrainOutcome> {
    let mut signals = Signals::new()?;
    let node = Node::start(&settings).await?;
    // Whoever starts the instance reads its address from standard output.
    println!("{{\"listening\":\"{}\"}}", node.addr());
    tracing::info!(name = %settings.name, zone = %settings.zone, "instance started");
    let handle = node.handle();
    let drained = node.run_until_drained();
    tokio::pin!(drained);
    loop {
        tokio::select! {
            outcome = &mut drained => return Ok(outcome),
            action = signals.next() => match action {
                SignalAction::Drain => handle.drain(),
                SignalAction::Reload => reload(path, &mut settings, logs, &handle),
            },
        }
    }
}

/// Reads the settings file again and applies the settings that can change without a restart. If the
/// file has faults or changes other settings, nothing is applied.
fn reload(path: &Path, settings: &mut Settings, logs: &LogControl, handle: &NodeHandle) {
    let new = match Settings::read(path) {
        Ok(new) => new,
        Err(error) => return tracing::error!(%error, "settings not reloaded"),
    };
    match settings.reload(&new) {
        Ok(change) => {
            if let Some(level) = change.level
                && let Err(error) = logs.set(level)
            {
                tracing::error!(%error, "log level not changed");
            }
            if let Some(limits) = change.limits {
                handle.set_limits(limits);
            }
            *settings = new;
            tracing::info!("settings reloaded");
        }
        Err(error) => tracing::error!(%error, "settings not reloaded"),
    }
}
