//! Checks answers and calls, and counts what became of them.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use eyre::{Result, bail, ensure};
use rig::{Answer, Booked, CallError, Completion, Deployment, HttpError, Reply};
use serde_json::Value;

/// Counts of one soak.
#[derive(Debug, Default)]
pub struct Counts {
    /// Whole answers.
    pub whole: AtomicU64,
    /// Whole answers that went on over a lost connection.
    pub resumed: AtomicU64,
    /// Requests refused or late.
    pub refused: AtomicU64,
    /// Calls with an outcome.
    pub booked: AtomicU64,
    /// Calls said not to have run.
    pub not_run: AtomicU64,
    /// Calls that may have run.
    pub unknown: AtomicU64,
    /// Faults set.
    pub faults: AtomicU64,
}

/// Adds one to a count.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// What a caller was told of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// It ran, and this was the answer.
    Ran(String),
    /// It did not run.
    NotRun,
    /// Anything else.
    Unknown,
}

/// Checks an answer; a refusal is fine, a wrong or broken answer is not.
pub fn answer(counts: &Counts, ask: &Completion, result: Result<Answer, CallError>) -> Result<()> {
    match result {
        Ok(answer) => {
            let wanted = fakes::expected(&ask.model, &answer.weights, &ask.prompt, ask.tokens);
            ensure!(
                answer.text == wanted,
                "{} answered by {} with another text: {answer:?}",
                ask.context,
                answer.weights
            );
            count(&counts.whole);
            if answer.resumes > 0 {
                count(&counts.resumed);
            }
        }
        Err(error) if error.broken_promise() => bail!("{}: {error}", ask.context),
        Err(_) => count(&counts.refused),
    }
    Ok(())
}

/// What the caller of a call was told that was tried again and again. A refusal of the last try
/// says nothing of the ones before.
pub fn told_at_last(result: &Result<Booked, CallError>) -> Told {
    match result {
        Ok(booked) => Told::Ran(shown(&booked.reply)),
        Err(_) => Told::Unknown,
    }
}

/// What the caller of a call was told that was tried once.
pub fn told_at_once(result: &Result<Reply, HttpError>) -> Told {
    let Ok(reply) = result else { return Told::Unknown };
    if reply.status.is_success() {
        return Told::Ran(shown(reply));
    }
    match reply.json::<Value>() {
        Ok(problem) if problem["ran"] == "no" => Told::NotRun,
        _ => Told::Unknown,
    }
}

fn shown(reply: &Reply) -> String {
    format!("{} {:?}", reply.status, reply.text())
}

/// Checks all calls against the service's own log: none ran twice, one that was said to have run
/// did, and one whose only attempt was said not to have run did not.
pub async fn calls(
    counts: &Arc<Counts>,
    deployment: &Deployment,
    service: &str,
    calls: &[(String, Told)],
) -> Result<()> {
    let log = deployment.platform.log(deployment.platform.proc(service)?).await?;
    for (key, told) in calls {
        let runs = log.iter().filter(|call| call["key"] == **key).count();
        ensure!(runs <= 1, "call {key} ran {runs} times");
        match told {
            Told::Ran(answer) => {
                ensure!(runs == 1, "call {key} was answered with {answer} and did not run");
                count(&counts.booked);
            }
            Told::NotRun => {
                ensure!(runs == 0, "call {key} was said not to have run, and ran");
                count(&counts.not_run);
            }
            Told::Unknown => count(&counts.unknown),
        }
    }
    Ok(())
}
