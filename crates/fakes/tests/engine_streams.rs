//! A run goes on after its reader has disconnected. Faults change the delivery of events, but not
//! their content. Also: cancellation and refusals.

mod common;

use common::{Fake, TIMEOUT, completion_request, prompt, text};
use serde_json::{Value, json};

fn expected_answer() -> String {
    fakes::expected("writer", "v1", &prompt(), 8)
}

#[tokio::test]
async fn resume_after_disconnect() {
    let engine = Fake::engine("v1", 5).await;
    let mut first = engine.complete(&completion_request("r", "s", &prompt())).await;
    let mut got = String::new();
    for _ in 0..3 {
        let event = first.next(TIMEOUT).await.unwrap().unwrap();
        let data: Value = serde_json::from_str(&event.data).unwrap();
        got += data["choices"][0]["text"].as_str().unwrap();
    }
    drop(first);
    let rest = engine.resume("r", 3).await.all(TIMEOUT).await.unwrap();
    assert_eq!(rest[0].0, "3");
    assert_eq!(rest.last().unwrap().1, "[DONE]");
    for (_, data) in &rest[..rest.len() - 1] {
        let data: Value = serde_json::from_str(data).unwrap();
        got += data["choices"][0]["text"].as_str().unwrap();
    }
    assert_eq!(got, expected_answer());
    let runs = engine.get("/_log").await.json::<Vec<Value>>().unwrap();
    assert_eq!(runs.len(), 1, "a resume must not start a run: {runs:?}");
}

#[tokio::test]
async fn request_runs_when_its_answer_is_lost() {
    let engine = Fake::engine("v1", 0).await;
    engine.set_faults(json!({"lose_answers": 1}));
    let url = format!("{}/v1/completions", engine.url);
    assert!(engine.http.post(&url, &completion_request("r", "s", &prompt())).await.is_err());
    assert_eq!(text(engine.resume("r", 0).await).await.0, expected_answer());
}

#[tokio::test]
async fn cancel_ends_the_run() {
    let engine = Fake::engine("v1", 60_000).await;
    let mut stream = engine.complete(&completion_request("r", "s", "short")).await;
    let url = format!("{}/v1/completions/r", engine.url);
    assert_eq!(engine.http.delete(&format!("{url}?idle=true")).await.unwrap().status, 409);
    assert_eq!(engine.http.delete(&url).await.unwrap().status, 204);
    assert_eq!(stream.next(TIMEOUT).await.unwrap(), None);
    assert_eq!(engine.get("/v1/completions/r?from=0").await.status, 404);
    let free = async || {
        let load: Value = engine.get("/load").await.json().unwrap();
        (load["named_metrics"]["running"] == 0).then_some(())
    };
    rig::wait_for("a free slot", TIMEOUT, free).await.unwrap();
}

#[tokio::test]
async fn idle_run_is_cancelled() {
    let engine = Fake::engine("v1", 60_000).await;
    drop(engine.complete(&completion_request("r", "s", "short")).await);
    let url = format!("{}/v1/completions/r?idle=true", engine.url);
    let cancelled = async || (engine.http.delete(&url).await.unwrap().status == 204).then_some(());
    rig::wait_for("the stream to be closed", TIMEOUT, cancelled).await.unwrap();
}

#[tokio::test]
async fn faulty_delivery_keeps_every_event() {
    let engine = Fake::engine("v1", 1).await;
    text(engine.complete(&completion_request("other", "s", "another caller")).await).await;
    let knobs = json!({"cross_answers": true, "double_chunks": true, "late_chunks_ms": 20});
    engine.set_faults(knobs);
    let events =
        engine.complete(&completion_request("r", "s", &prompt())).await.all(TIMEOUT).await.unwrap();
    let mut texts = vec![None; 8];
    let (mut foreign, mut order) = (0, Vec::new());
    for (id, data) in &events[..events.len() - 1] {
        let data: Value = serde_json::from_str(data).unwrap();
        if data["id"] != "r" {
            foreign += 1;
            continue;
        }
        let offset: usize = id.parse().unwrap();
        order.push(offset);
        texts[offset] = data["choices"][0]["text"].as_str().map(str::to_owned);
    }
    assert_eq!(texts.into_iter().map(Option::unwrap).collect::<String>(), expected_answer());
    assert!(foreign > 0);
    assert!(order.len() > 8 && !order.is_sorted(), "{order:?}");
}

#[tokio::test]
async fn refusals_before_running() {
    let engine = Fake::engine("v1", 60_000).await;
    let mut call = completion_request("r", "s", "prompt");
    call["weights"] = "v2".into();
    let reply = engine.post("/v1/completions", &call).await;
    assert_eq!((reply.status.as_u16(), kind(&reply)), (409, "wrong_weights".to_owned()));
    let mut open = Vec::new();
    for i in 0..6 {
        open.push(engine.complete(&completion_request(&format!("r{i}"), "s", "prompt")).await);
    }
    let reply = engine.post("/v1/completions", &completion_request("r7", "s", "prompt")).await;
    assert_eq!((reply.status.as_u16(), kind(&reply)), (429, "overloaded".to_owned()));
    assert!(reply.header("endpoint-load-metrics").unwrap().starts_with("JSON {"));
    engine.set_faults(json!({"leaving": true}));
    let reply = engine.post("/v1/completions", &completion_request("r8", "s", "prompt")).await;
    assert_eq!((reply.status.as_u16(), kind(&reply)), (503, "leaving".to_owned()));
}

fn kind(reply: &rig::Reply) -> String {
    reply.json::<Value>().unwrap()["error"]["type"].as_str().unwrap().to_owned()
}
