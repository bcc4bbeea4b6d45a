//! Runs an instance.

use std::{path::Path, process::ExitCode};

use node::{DrainOutcome, LogControl, Node, NodeHandle, settings::Settings, start_logs};

use crate::signals::{Order, Signals};

/// Exit code of a drain that ran out of time with work in progress.
const CUT: u8 = 3;

/// Runs an instance until it is drained.
pub fn run(path: &Path) -> eyre::Result<ExitCode> {
    let settings = Settings::read(path)?;
    let logs = start_logs(settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let drained = runtime.block_on(serve(path, settings, &logs))?;
    Ok(match drained {
        DrainOutcome::Clean => ExitCode::SUCCESS,
        DrainOutcome::TimedOut(running) => {
            tracing::warn!(running, "stopped with work in progress");
            ExitCode::from(CUT)
        }
    })
}

async fn serve(
    path: &Path,
    mut settings: Settings,
    logs: &LogControl,
) -> eyre::Result<DrainOutcome> {
    let mut signals = Signals::new()?;
    let node = Node::start(&settings).await?;
    println!("{{\"listening\":\"{}\"}}", node.addr());
    tracing::info!(name = %settings.name, zone = %settings.zone, "instance started");
    let handle = node.handle();
    let drained = node.run_until_drained();
    tokio::pin!(drained);
    loop {
        tokio::select! {
            drained = &mut drained => return Ok(drained),
            order = signals.next() => match order {
                Order::Drain => handle.drain(),
                Order::Reload => reload(path, &mut settings, logs, &handle),
            },
        }
    }
}

/// Takes over what may change while running; a faulty file changes nothing.
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
