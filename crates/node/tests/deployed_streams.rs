//! Answers are complete and correct although instances or replicas are killed or freeze mid-stream,
//! or an engine sends chunks late, twice or on the wrong stream.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::Method;
use rig::{
    Caller, CallerConfig, Completion, Deployment, STATE_LIMIT, Signal, Spec, SseEvent, wait_for,
};
use serde_json::{Value, json};

/// Length of an answer that is long enough to be interrupted, in tokens.
const ANSWER_TOKENS: u32 = 150;
/// Number of answers that slow engines generate at once.
const SLOW_ANSWERS: usize = 4;

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

/// Engines that send nothing for `decode_ms` before each token, one instance in front of them.
fn silent_engines(engines: usize, decode_ms: &'static str) -> Spec {
    let engine_args = vec!["--weights", "v1", "--decode-ms", decode_ms];
    Spec { instances: vec![("entry-1", "regina")], engines, engine_args, ..Spec::default() }
}

/// Requests a stream without retries and reads it to its end.
async fn stream_once(
    deployment: &Deployment,
    request: &Completion,
    timeout: &str,
) -> Vec<SseEvent> {
    let body = json!({
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.tokens,
        "stream": true,
        "prompt_cache_key": request.context,
    });
    let headers = [
        ("authorization", "Bearer weddings-key"),
        ("content-type", "application/json"),
        ("x-deadline-ms", timeout),
    ];
    let url = format!("{}/v1/completions", deployment.entries[0].instance.url());
    let http = &deployment.platform.http;
    let opened = http.events(Method::POST, &url, &headers, body.to_string().into()).await.unwrap();
    let mut reader = match opened {
        Ok(reader) => reader,
        Err(reply) => panic!("request for a stream was rejected: {}", reply.text()),
    };
    let mut events = Vec::new();
    while let Some(event) = reader.next(STATE_LIMIT).await.unwrap() {
        events.push(event);
    }
    events
}

/// Waits until the instance counts no request at any replica.
async fn wait_no_load(deployment: &Deployment) {
    wait_for("no request to count at any replica", STATE_LIMIT, || async {
        let status = deployment.status(&deployment.entries[0]).await.ok()?;
        status["replicas"].as_array()?.iter().all(|r| r["running"] == 0).then_some(())
    })
    .await
    .unwrap();
}

/// A silent generation that its engine still has is waited for where the retry budget or the lack
/// of a replica allows no replacement.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_generation_is_not_given_up_without_a_replacement() {
    let deployment = Arc::new(Deployment::start(&silent_engines(2, "6000")).await.unwrap());
    let slow_request = |i| Completion { tokens: 2, ..request(i) };
    let tasks: Vec<_> = (0..SLOW_ANSWERS)
        .map(|i| {
            let deployment = deployment.clone();
            tokio::spawn(async move { stream_once(&deployment, &slow_request(i), "60000").await })
        })
        .collect();
    for (i, task) in tasks.into_iter().enumerate() {
        let events = task.await.unwrap();
        let (end, tokens) = events.split_last().unwrap();
        assert_eq!(end.data, "[DONE]", "answer {i} ended after {} events", tokens.len());
        let texts = tokens.iter().map(|event| {
            let chunk: Value = serde_json::from_str(&event.data).unwrap();
            chunk["choices"][0]["text"].as_str().unwrap().to_owned()
        });
        assert_eq!(texts.collect::<String>(), expected(&slow_request(i)), "answer {i}");
    }
    let mut runs = 0;
    for engine in ["inkline-writer-1", "inkline-writer-2"] {
        let log = deployment.platform.log(deployment.platform.proc(engine).unwrap()).await.unwrap();
        runs += log.iter().filter(|entry| entry["run"].is_string()).count();
    }
    // An instance that has served few requests may retry once.
    let allowed = SLOW_ANSWERS..=SLOW_ANSWERS + 1;
    assert!(allowed.contains(&runs), "{runs} runs for {SLOW_ANSWERS} answers");
    wait_no_load(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_generation_is_given_up_at_its_deadline() {
    let deployment = Deployment::start(&silent_engines(1, "60000")).await.unwrap();
    let start = Instant::now();
    let events = stream_once(&deployment, &request(0), "9000").await;
    let took = start.elapsed();
    assert_eq!(events.len(), 1, "{events:?}");
    assert_eq!(events[0].kind, "problem", "{events:?}");
    assert!(took > Duration::from_secs(9), "given up after {took:?}: {events:?}");
    assert!(took < Duration::from_secs(20), "given up after {took:?}: {events:?}");
    wait_no_load(&deployment).await;
    // The caller does not come back, so the engine need not finish the generation.
    let engine = deployment.platform.proc("inkline-writer-1").unwrap();
    let url = format!("{}/load", engine.url());
    wait_for("the generation to be cancelled", Duration::from_secs(20), || async {
        let load: Value = deployment.platform.http.get(&url).await.ok()?.json().ok()?;
        (load["named_metrics"]["running"] == 0).then_some(())
    })
    .await
    .unwrap();
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
