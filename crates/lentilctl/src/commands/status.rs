//! Prints the state of the instances and waits for a revision.

use std::time::Duration;

use admin::{PeerState, ReplicaState, StatusWire};
use ident::Rev;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::Context;
use crate::{error::CommandError, exit::Exit, output};

/// Pause between two reads of the revisions of the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Path of the state of an instance.
const STATUS_PATH: &str = "/admin/v1/status";

type Answers = Vec<Result<StatusWire, CommandError>>;

/// Prints the state of all instances. With `same` it fails unless all answer with the same
/// revision. Without `same` it fails only if no instance answers.
pub async fn show(cx: &Context, same: bool) -> Result<Exit, CommandError> {
    let answers: Answers = cx.client.get_all(STATUS_PATH).await;
    let newest = answers.iter().flatten().map(|s| s.rev).max();
    let rows = cx.client.admins().iter().zip(&answers).map(|(a, s)| row(a, s, newest)).collect();
    let heads = ["INSTANCE", "ZONE", "STATE", "REV", "FRESH", "RUNNING", "REPLICAS", "PEERS"];
    let values: Vec<_> = cx.client.admins().iter().zip(&answers).map(value).collect();
    cx.out.table(&heads, rows, &values)?;
    for error in answers.iter().filter_map(|a| a.as_ref().err()) {
        eprintln!("{error}");
    }
    let equal = answers.iter().all(|a| a.as_ref().is_ok_and(|s| Some(s.rev) == newest));
    let failed = if same { !equal } else { newest.is_none() };
    Ok(if failed { Exit::Failed } else { Exit::Done })
}

fn row(admin: &str, answer: &Result<StatusWire, CommandError>, newest: Option<Rev>) -> Vec<String> {
    let Ok(s) = answer else {
        return [admin, "-", "no answer", "-", "-", "-", "-", "-"].map(str::to_owned).into();
    };
    let mark = if Some(s.rev) == newest { "" } else { " behind" };
    let live_replicas = s.replicas.iter().filter(|r| r.state == ReplicaState::Live).count();
    let live_peers = s.peers.iter().filter(|p| p.state == PeerState::Live).count();
    vec![
        s.name.to_string(),
        s.zone.to_string(),
        format!("{:?}", s.phase).to_lowercase(),
        format!("{}{mark}", s.rev),
        if s.fresh { "yes" } else { "no" }.into(),
        s.running.to_string(),
        format!("{live_replicas}/{}", s.replicas.len()),
        format!("{live_peers}/{}", s.peers.len()),
    ]
}

fn value((admin, answer): (&String, &Result<StatusWire, CommandError>)) -> Value {
    match answer {
        Ok(status) => json!({"admin": admin, "status": status}),
        Err(error) => json!({"admin": admin, "error": error.to_string()}),
    }
}

/// Waits until `rev` or a later revision is in force on all instances, at most for `within`.
pub async fn wait(cx: &Context, rev: Rev, within: Duration) -> Result<Exit, CommandError> {
    let deadline = Instant::now() + within;
    loop {
        let answers: Answers = cx.client.get_all(STATUS_PATH).await;
        let pairs = cx.client.admins().iter().zip(&answers);
        let late: Vec<_> = pairs.filter_map(|(a, s)| behind(a, s, rev)).collect();
        if late.is_empty() {
            output::print_line(&format!("{rev} is in force on {} instances", answers.len()))?;
            return Ok(Exit::Done);
        }
        if Instant::now() >= deadline {
            return Err(CommandError::DeadlineExceeded(late.join(", ")));
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn behind(admin: &str, answer: &Result<StatusWire, CommandError>, rev: Rev) -> Option<String> {
    match answer {
        Ok(s) if s.rev >= rev => None,
        Ok(s) => Some(format!("{} has {}", s.name, s.rev)),
        Err(_) => Some(format!("{admin} does not answer")),
    }
}
