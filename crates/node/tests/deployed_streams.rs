//! Answers are complete and correct although instances or replicas are killed or freeze mid-stream,
//! or an engine sends chunks late, twice or on the wrong stream.

use std::{sync::Arc, time::Duration};

use rig::{Caller, CallerConfig, Completion, Deployment, STATE_LIMIT, Signal, Spec, wait_for};
use serde_json::json;

/// Length of an answer that is long enough to be interrupted, in tokens.
const ANSWER_TOKENS: u32 = 150;

fn request(i: usize) -> Completion {
    Completion {
        model: "writer".to_owned(),
        prompt: format!("{}Guest {i}: what is the caption?", "An event brief. ".repeat(200)),
        tokens: ANSWER_TOKENS,
        context: format!("brief-{i}"),
        batch: false,
    }
}

/// Engines that take 20 ms per token.
fn slow_engines() -> Spec {
    Spec { engine_args: vec!["--weights", "v1", "--decode-ms", "20"], ..Spec::default() }
}

fn expected(request: &Completion) -> String {
    fakes::expected(&request.model, "v1", &request.prompt, request.tokens)
}

/// Starts `count` requests, calls `disturb` once all are routed and some tokens were sent, and
/// checks that every caller gets the complete answer to its own request.
async fn check_complete_answers<F>(deployment: Deployment, count: usize, disturb: F)
where
    F: AsyncFnOnce(Deployment) -> Deployment,
{
    let caller = Arc::new(deployment.caller("weddings", "regina"));
    let mut tasks = Vec::new();
    for i in 0..count {
        let caller = caller.clone();
        tasks.push(tokio::spawn(async move { caller.complete(&request(i)).await }));
    }
    wait_for("all answers to be in progress", STATE_LIMIT, || async {
        let routed = deployment.events("routed").await.ok()?;
        (routed.len() >= count).then_some(())
    })
    .await
    .unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let _deployment = disturb(deployment).await;
    for (i, task) in tasks.into_iter().enumerate() {
        let answer = task.await.unwrap().unwrap();
        assert_eq!(answer.text, expected(&request(i)), "answer {i}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_instance_cuts_no_answer() {
    let deployment = Deployment::start(&slow_engines()).await.unwrap();
    check_complete_answers(deployment, 12, async |mut d| {
        // Dropping an instance kills its process.
        d.entries.remove(0);
        d
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_replica_cuts_no_answer() {
    let deployment = Deployment::start(&slow_engines()).await.unwrap();
    check_complete_answers(deployment, 12, async |mut d| {
        d.platform.kill("inkline-writer-1");
        d
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_instance_cuts_no_answer() {
    let deployment = Deployment::start(&slow_engines()).await.unwrap();
    check_complete_answers(deployment, 12, async |d| {
        d.entries[1].instance.signal(Signal::Stop).unwrap();
        d
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_replica_cuts_no_answer() {
    let deployment = Deployment::start(&slow_engines()).await.unwrap();
    check_complete_answers(deployment, 8, async |d| {
        let engine = d.platform.proc("inkline-writer-2").unwrap();
        engine.signal(Signal::Stop).unwrap();
        d
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_prefill_is_not_taken_for_a_silent_replica() {
    // About 850 prompt tokens take over 5 s.
    let engine_args = vec!["--weights", "v1", "--prefill-rate", "150"];
    let deployment = Deployment::start(&Spec { engine_args, ..Spec::default() }).await.unwrap();
    let seeds = deployment.entries.iter().map(|e| e.instance.addr().to_string()).collect();
    let caller = Caller::new(CallerConfig {
        seeds,
        key: "weddings-key".to_owned(),
        zone: None,
        silence: Duration::from_secs(3),
        patience: Duration::from_secs(4),
        limit: STATE_LIMIT,
    });
    let request = Completion { tokens: 4, ..request(0) };
    let answer = caller.complete(&request).await.unwrap();
    assert_eq!(answer.text, expected(&request));
    assert_eq!((answer.attempts, answer.restarts), (1, 0), "{answer:?}");
    assert!(
        answer.ttft > Duration::from_secs(4),
        "the prefill did not take longer than 4 s: {:?}",
        answer.ttft
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicated_crossed_and_late_chunks_give_correct_answers() {
    let deployment = Deployment::start(&slow_engines()).await.unwrap();
    for faults in [
        json!({"double_chunks": true}),
        json!({"cross_answers": true}),
        json!({"late_chunks_ms": 40}),
        json!({"double_chunks": true, "cross_answers": true, "late_chunks_ms": 15}),
    ] {
        let engine = deployment.platform.proc("inkline-writer-1").unwrap();
        deployment.platform.faults(engine, faults.clone()).await.unwrap();
        let caller = Arc::new(deployment.caller("weddings", "regina"));
        let tasks: Vec<_> = (0..6)
            .map(|i| {
                let caller = caller.clone();
                tokio::spawn(async move { caller.complete(&request(i)).await })
            })
            .collect();
        for (i, task) in tasks.into_iter().enumerate() {
            let answer = task.await.unwrap().unwrap();
            assert_eq!(answer.text, expected(&request(i)), "answer {i} under {faults}");
        }
    }
}
