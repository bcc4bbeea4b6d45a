//! The state of the instances, and waiting for a revision.

use std::time::Duration;

use admin::{PeerState, ReplicaState, StatusWire};
use ident::Rev;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::Context;
use crate::{exit::Exit, failure::Failure, output};

/// Pause between two looks at the instances' revisions.
const PAUSE: Duration = Duration::from_millis(200);

/// Path of an instance's state.
const PATH: &str = "/admin/v1/status";

type Answers = Vec<Result<StatusWire, Failure>>;

/// Shows all instances. With `same` it fails unless all answer with one revision; without, it
/// fails only when none answers.
pub async fn show(cx: &Context, same: bool) -> Result<Exit, Failure> {
    let answers: Answers = cx.client.all(PATH).await;
    let top = answers.iter().flatten().map(|s| s.rev).max();
    let rows = cx.client.admins().iter().zip(&answers).map(|(a, s)| row(a, s, top)).collect();
    let heads = ["INSTANCE", "ZONE", "STATE", "REV", "FRESH", "RUNNING", "REPLICAS", "PEERS"];
    let values: Vec<_> = cx.client.admins().iter().zip(&answers).map(value).collect();
    cx.out.table(&heads, rows, &values)?;
    for error in answers.iter().filter_map(|a| a.as_ref().err()) {
        eprintln!("{error}");
    }
    let equal = answers.iter().all(|a| a.as_ref().is_ok_and(|s| Some(s.rev) == top));
    let failed = if same { !equal } else { top.is_none() };
    Ok(if failed { Exit::Failed } else { Exit::Done })
}

fn row(admin: &str, answer: &Result<StatusWire, Failure>, top: Option<Rev>) -> Vec<String> {
    let Ok(s) = answer else {
        return [admin, "-", "no answer", "-", "-", "-", "-", "-"].map(str::to_owned).into();
    };
    let mark = if Some(s.rev) == top { "" } else { " behind" };
    let live = s.replicas.iter().filter(|r| r.state == ReplicaState::Live).count();
    let heard = s.peers.iter().filter(|p| p.state == PeerState::Live).count();
    vec![
        s.name.to_string(),
        s.zone.to_string(),
        format!("{:?}", s.phase).to_lowercase(),
        format!("{}{mark}", s.rev),
        if s.fresh { "yes" } else { "no" }.into(),
        s.running.to_string(),
        format!("{live}/{}", s.replicas.len()),
        format!("{heard}/{}", s.peers.len()),
    ]
}

fn value((admin, answer): (&String, &Result<StatusWire, Failure>)) -> Value {
    match answer {
        Ok(status) => json!({"admin": admin, "status": status}),
        Err(error) => json!({"admin": admin, "error": error.to_string()}),
    }
}

/// Waits until all instances have `rev` or a later revision in force.
pub async fn wait(cx: &Context, rev: Rev, within: Duration) -> Result<Exit, Failure> {
    let deadline = Instant::now() + within;
    loop {
        let answers: Answers = cx.client.all(PATH).await;
        let pairs = cx.client.admins().iter().zip(&answers);
        let late: Vec<_> = pairs.filter_map(|(a, s)| behind(a, s, rev)).collect();
        if late.is_empty() {
            output::line(&format!("{rev} is in force on {} instances", answers.len()))?;
            return Ok(Exit::Done);
        }
        if Instant::now() >= deadline {
            return Err(Failure::Deadline(late.join(", ")));
        }
        sleep(PAUSE).await;
    }
}

fn behind(admin: &str, answer: &Result<StatusWire, Failure>, rev: Rev) -> Option<String> {
    match answer {
        Ok(s) if s.rev >= rev => None,
        Ok(s) => Some(format!("{} has {}", s.name, s.rev)),
        Err(_) => Some(format!("{admin} does not answer")),
    }
}
