//! Rolls out a weights version.

use std::time::Duration;

use admin::{Problem, RolloutStatus, RolloutWire};
use conf::{DocKey, Kind};
use ident::Name;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::Context;
use crate::{
    edit::{self, EditOptions, EditOutcome},
    error::CommandError,
    exit::Exit,
    output,
};

/// Pause between two reads of the state of a rollout.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Makes `version` the version of the model. The previous version stays in use until replicas serve
/// the new one. With `wait`, waits at most that long until the rollout is done.
pub async fn run(
    cx: &Context,
    model: Name,
    version: Name,
    wait: Option<Duration>,
) -> Result<Exit, CommandError> {
    let key = DocKey { kind: Kind::Model, name: model };
    let apply = |doc: &mut Value| {
        let old = doc["version"].clone();
        if old != json!(version) {
            doc["previous"] = old;
            doc["version"] = json!(version);
        }
        Ok(())
    };
    match edit::edit(&cx.client, &key, EditOptions::RETRY, apply).await? {
        EditOutcome::Changed(change) => {
            cx.out.change(&change, &format!("rolling out {version}"))?
        }
        EditOutcome::Unchanged(rev) => {
            cx.out.unchanged(&key, rev, &format!("{version} is its version"))?;
        }
    }
    if let Some(within) = wait {
        wait_until_done(cx, &key.name, &version, Instant::now() + within).await?;
    }
    Ok(Exit::Done)
}

async fn wait_until_done(
    cx: &Context,
    model: &Name,
    version: &Name,
    deadline: Instant,
) -> Result<(), CommandError> {
    let path = format!("/admin/v1/rollouts/{model}");
    let mut shown = String::new();
    loop {
        let text = match cx.client.get_any::<RolloutWire>(&path).await {
            Ok((wire, _)) => {
                let (ready, total, loading) = (wire.ready, wire.total, wire.loading);
                let text = format!("{version}: {ready} of {total} replicas, {loading} loading");
                let status = RolloutStatus::from(wire);
                if status.version == *version && status.done() {
                    return output::print_line(&text);
                }
                text
            }
            Err(CommandError::Refused(Problem::NotFound)) => format!("{version}: not begun"),
            Err(CommandError::Unreachable { .. }) => format!("{version}: no instance answers"),
            Err(e) => return Err(e),
        };
        if text != shown {
            output::print_line(&text)?;
            shown = text;
        }
        if Instant::now() >= deadline {
            return Err(CommandError::DeadlineExceeded(shown));
        }
        sleep(POLL_INTERVAL).await;
    }
}
