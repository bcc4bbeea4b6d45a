//! Whole answers: instances and replicas killed mid-stream, silent and broken connections, late,
//! doubled and crossed events.

use std::{sync::Arc, time::Duration};

use rig::{Caller, CallerConfig, Completion, Deployment, STATE_LIMIT, Signal, Spec, wait_for};
use serde_json::json;

/// Tokens of an answer that is long enough to be interrupted.
const TOKENS: u32 = 150;

fn ask(i: usize) -> Completion {
    Completion {
        model: "writer".to_owned(),
        prompt: format!("{}Guest {i}: what is the caption?", "An event brief. ".repeat(200)),
        tokens: TOKENS,
        context: format!("brief-{i}"),
        batch: false,
    }
}

fn slow() -> Spec {
    Spec { engine_args: vec!["--weights", "v1", "--decode-ms", "20"], ..Spec::default() }
}

fn expected(ask: &Completion) -> String {
    fakes::expected(&ask.model, "v1", &ask.prompt, ask.tokens)
}

/// Starts `count` answers, lets `disturb` act once some tokens flow, and checks that every caller
/// got the whole answer to its own request.
async fn whole_answers<F>(deployment: Deployment, count: usize, disturb: F)
where
    F: AsyncFnOnce(Deployment) -> Deployment,
{
    let caller = Arc::new(deployment.caller("weddings", "regina"));
    let mut tasks = Vec::new();
    for i in 0..count {
        let caller = caller.clone();
        tasks.push(tokio::spawn(async move { caller.complete(&ask(i)).await }));
    }
    wait_for("answers to be under way", STATE_LIMIT, || async {
        let routed = deployment.events("routed").await.ok()?;
        (routed.len() >= count).then_some(())
    })
    .await
    .unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let _deployment = disturb(deployment).await;
    for (i, task) in tasks.into_iter().enumerate() {
        let answer = task.await.unwrap().unwrap();
        assert_eq!(answer.text, expected(&ask(i)), "answer {i}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_instances_cut_no_answer() {
    let deployment = Deployment::start(&slow()).await.unwrap();
    whole_answers(deployment, 12, async |mut d| {
        d.entries.remove(0);
        d
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_replica_cuts_no_answer() {
    let deployment = Deployment::start(&slow()).await.unwrap();
    whole_answers(deployment, 12, async |mut d| {
        d.platform.kill("inkline-writer-1");
        d
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_instance_cuts_no_answer() {
    let deployment = Deployment::start(&slow()).await.unwrap();
    whole_answers(deployment, 12, async |d| {
        d.entries[1].instance.signal(Signal::Stop).unwrap();
        d
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_replica_cuts_no_answer() {
    let deployment = Deployment::start(&slow()).await.unwrap();
    whole_answers(deployment, 8, async |d| {
        let engine = d.platform.proc("inkline-writer-2").unwrap();
        engine.signal(Signal::Stop).unwrap();
        d
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_prefill_is_told_from_silence() {
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
    let ask = Completion { tokens: 4, ..ask(0) };
    let answer = caller.complete(&ask).await.unwrap();
    assert_eq!(answer.text, expected(&ask));
    assert_eq!((answer.attempts, answer.restarts), (1, 0), "{answer:?}");
    assert!(answer.ttft > Duration::from_secs(4), "the prompt took long: {:?}", answer.ttft);
}

#[tokio::test(flavor = "multi_thread")]
async fn disorderly_events_give_ordered_answers() {
    let deployment = Deployment::start(&slow()).await.unwrap();
    for knobs in [
        json!({"double_chunks": true}),
        json!({"cross_answers": true}),
        json!({"late_chunks_ms": 40}),
        json!({"double_chunks": true, "cross_answers": true, "late_chunks_ms": 15}),
    ] {
        let engine = deployment.platform.proc("inkline-writer-1").unwrap();
        deployment.platform.faults(engine, knobs.clone()).await.unwrap();
        let caller = Arc::new(deployment.caller("weddings", "regina"));
        let tasks: Vec<_> = (0..6)
            .map(|i| {
                let caller = caller.clone();
                tokio::spawn(async move { caller.complete(&ask(i)).await })
            })
            .collect();
        for (i, task) in tasks.into_iter().enumerate() {
            let answer = task.await.unwrap().unwrap();
            assert_eq!(answer.text, expected(&ask(i)), "answer {i} under {knobs}");
        }
    }
}
