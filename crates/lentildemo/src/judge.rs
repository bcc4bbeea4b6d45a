//! Checks answers and calls, and counts their outcomes.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use eyre::{Result, bail, ensure};
use rig::{Answer, Booked, CallError, Completion, Deployment, HttpError, Reply};
use serde_json::Value;

/// Counts of one soak run.
#[derive(Debug, Default)]
pub struct Counts {
    /// Complete and correct answers.
    pub whole: AtomicU64,
    /// Answers among them that were resumed after a lost connection.
    pub resumed: AtomicU64,
    /// Requests that were refused or not answered in time.
    pub refused: AtomicU64,
    /// Calls with an outcome.
    pub booked: AtomicU64,
    /// Calls that were reported as not run.
    pub not_run: AtomicU64,
    /// Calls that may have run.
    pub unknown: AtomicU64,
    /// Injected faults.
    pub faults: AtomicU64,
}

/// Increments a counter.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// What a caller knows of its call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The call ran, with this answer.
    Ran(String),
    /// The call did not run.
    NotRun,
    /// It is not known whether the call ran.
    Unknown,
}

/// Checks an answer. Fails if it is wrong or broken; a refusal is allowed.
pub fn answer(
    counts: &Counts,
    request: &Completion,
    result: Result<Answer, CallError>,
) -> Result<()> {
    match result {
        Ok(answer) => {
            let wanted =
                fakes::expected(&request.model, &answer.weights, &request.prompt, request.tokens);
            ensure!(
                answer.text == wanted,
                "{} answered by {} with another text: {answer:?}",
                request.context,
                answer.weights
            );
            count(&counts.whole);
            if answer.resumes > 0 {
                count(&counts.resumed);
            }
        }
        Err(error) if error.broken_promise() => bail!("{}: {error}", request.context),
        Err(_) => count(&counts.refused),
    }
    Ok(())
}

/// Result of a call with several attempts. A refusal of the last one says nothing about the others.
pub fn result_of_attempts(result: &Result<Booked, CallError>) -> CallResult {
    match result {
        Ok(booked) => CallResult::Ran(describe(&booked.reply)),
        Err(_) => CallResult::Unknown,
    }
}

/// Result of a call with one attempt.
pub fn result_of_attempt(result: &Result<Reply, HttpError>) -> CallResult {
    let Ok(reply) = result else { return CallResult::Unknown };
    if reply.status.is_success() {
        return CallResult::Ran(describe(reply));
    }
    match reply.json::<Value>() {
        Ok(problem) if problem["ran"] == "no" => CallResult::NotRun,
        _ => CallResult::Unknown,
    }
}

fn describe(reply: &Reply) -> String {
    format!("{} {:?}", reply.status, reply.text())
}

/// Checks all calls against the log of the service. Fails if a call ran twice, one that was
/// answered did not run, or one that was reported as not run did.
pub async fn calls(
    counts: &Arc<Counts>,
    deployment: &Deployment,
    service: &str,
    calls: &[(String, CallResult)],
) -> Result<()> {
    let log = deployment.platform.log(deployment.platform.proc(service)?).await?;
    for (key, result) in calls {
        let runs = log.iter().filter(|call| call["key"] == **key).count();
        ensure!(runs <= 1, "call {key} ran {runs} times");
        match result {
            CallResult::Ran(answer) => {
                ensure!(runs == 1, "call {key} was answered with {answer} and did not run");
                count(&counts.booked);
            }
            CallResult::NotRun => {
                ensure!(runs == 0, "call {key} was said not to have run, and ran");
                count(&counts.not_run);
            }
            CallResult::Unknown => count(&counts.unknown),
        }
    }
    Ok(())
}
