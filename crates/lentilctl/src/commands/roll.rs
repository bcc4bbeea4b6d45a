//! Rolling out a weight version.

use std::time::Duration;

use admin::{Problem, RolloutStatus, RolloutWire};
use conf::{DocKey, Kind};
use ident::Name;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::Context;
use crate::{
    edit::{self, Edit, Rules},
    exit::Exit,
    failure::Failure,
    output,
};

/// Pause between two looks at a rollout.
const PAUSE: Duration = Duration::from_secs(1);

/// Makes `version` the model's version; the one before stays in use until replicas serve it.
pub async fn run(
    cx: &Context,
    model: Name,
    version: Name,
    wait: Option<Duration>,
) -> Result<Exit, Failure> {
    let key = DocKey { kind: Kind::Model, name: model };
    let apply = |doc: &mut Value| {
        let old = doc["version"].clone();
        if old != json!(version) {
            doc["previous"] = old;
            doc["version"] = json!(version);
        }
        Ok(())
    };
    match edit::edit(&cx.client, &key, Rules::RETRY, apply).await? {
        Edit::Changed(change) => cx.out.change(&change, &format!("rolling out {version}"))?,
        Edit::Same(rev) => {
            cx.out.unchanged(&key, rev, &format!("{version} is its version"))?;
        }
    }
    if let Some(within) = wait {
        until_done(cx, &key.name, &version, Instant::now() + within).await?;
    }
    Ok(Exit::Done)
}

async fn until_done(
    cx: &Context,
    model: &Name,
    version: &Name,
    deadline: Instant,
) -> Result<(), Failure> {
    let path = format!("/admin/v1/rollouts/{model}");
    let mut shown = String::new();
    loop {
        let text = match cx.client.any::<RolloutWire>(&path).await {
            Ok((wire, _)) => {
                let (ready, total, loading) = (wire.ready, wire.total, wire.loading);
                let text = format!("{version}: {ready} of {total} replicas, {loading} loading");
                let status = RolloutStatus::from(wire);
                if status.version == *version && status.done() {
                    return output::line(&text);
                }
                text
            }
            Err(Failure::Refused(Problem::NotFound)) => format!("{version}: not begun"),
            Err(Failure::Unreachable { .. }) => format!("{version}: no instance answers"),
            Err(e) => return Err(e),
        };
        if text != shown {
            output::line(&text)?;
            shown = text;
        }
        if Instant::now() >= deadline {
            return Err(Failure::Deadline(shown));
        }
        sleep(PAUSE).await;
    }
}
