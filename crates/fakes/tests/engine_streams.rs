//! Streams go on after their reader has gone; faults spoil the delivery, not the events.

mod common;

use common::{Fake, LIMIT, ask, prompt, text};
use serde_json::{Value, json};

fn right() -> String {
    fakes::expected("writer", "v1", &prompt(), 8)
}

#[tokio::test]
async fn resume_after_disconnect() {
    let engine = Fake::engine("v1", 5).await;
    let mut first = engine.complete(&ask("r", "s", &prompt())).await;
    let mut got = String::new();
    for _ in 0..3 {
        let event = first.next(LIMIT).await.unwrap().unwrap();
        let data: Value = serde_json::from_str(&event.data).unwrap();
        got += data["choices"][0]["text"].as_str().unwrap();
    }
    drop(first);
    let rest = engine.resume("r", 3).await.all(LIMIT).await.unwrap();
    assert_eq!(rest[0].0, "3");
    assert_eq!(rest.last().unwrap().1, "[DONE]");
    for (_, data) in &rest[..rest.len() - 1] {
        let data: Value = serde_json::from_str(data).unwrap();
        got += data["choices"][0]["text"].as_str().unwrap();
    }
    assert_eq!(got, right());
    let runs = engine.get("/_log").await.json::<Vec<Value>>().unwrap();
    assert_eq!(runs.len(), 1, "a resume runs nothing: {runs:?}");
}

#[tokio::test]
async fn lost_answer_runs() {
    let engine = Fake::engine("v1", 0).await;
    engine.faults(json!({"lose_answers": 1}));
    let url = format!("{}/v1/completions", engine.url);
    assert!(engine.http.post(&url, &ask("r", "s", &prompt())).await.is_err());
    assert_eq!(text(engine.resume("r", 0).await).await.0, right());
}

#[tokio::test]
async fn cancel_ends_the_run() {
    let engine = Fake::engine("v1", 60_000).await;
    let mut stream = engine.complete(&ask("r", "s", "short")).await;
    let url = format!("{}/v1/completions/r", engine.url);
    assert_eq!(engine.http.delete(&format!("{url}?idle=true")).await.unwrap().status, 409);
    assert_eq!(engine.http.delete(&url).await.unwrap().status, 204);
    assert_eq!(stream.next(LIMIT).await.unwrap(), None);
    assert_eq!(engine.get("/v1/completions/r?from=0").await.status, 404);
    let free = async || {
        let load: Value = engine.get("/load").await.json().unwrap();
        (load["named_metrics"]["running"] == 0).then_some(())
    };
    rig::wait_for("a free slot", LIMIT, free).await.unwrap();
}

#[tokio::test]
async fn idle_run_is_cancelled() {
    let engine = Fake::engine("v1", 60_000).await;
    drop(engine.complete(&ask("r", "s", "short")).await);
    let url = format!("{}/v1/completions/r?idle=true", engine.url);
    let cancelled = async || (engine.http.delete(&url).await.unwrap().status == 204).then_some(());
    rig::wait_for("the stream to be closed", LIMIT, cancelled).await.unwrap();
}

#[tokio::test]
async fn spoiled_delivery_keeps_every_event() {
    let engine = Fake::engine("v1", 1).await;
    text(engine.complete(&ask("other", "s", "another caller")).await).await;
    let knobs = json!({"cross_answers": true, "double_chunks": true, "late_chunks_ms": 20});
    engine.faults(knobs);
    let events = engine.complete(&ask("r", "s", &prompt())).await.all(LIMIT).await.unwrap();
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
    assert_eq!(texts.into_iter().map(Option::unwrap).collect::<String>(), right());
    assert!(foreign > 0);
    assert!(order.len() > 8 && !order.is_sorted(), "{order:?}");
}

#[tokio::test]
async fn refusals_before_running() {
    let engine = Fake::engine("v1", 60_000).await;
    let mut call = ask("r", "s", "prompt");
    call["weights"] = "v2".into();
    let reply = engine.post("/v1/completions", &call).await;
    assert_eq!((reply.status.as_u16(), kind(&reply)), (409, "wrong_weights".to_owned()));
    let mut open = Vec::new();
    for i in 0..6 {
        open.push(engine.complete(&ask(&format!("r{i}"), "s", "prompt")).await);
    }
    let reply = engine.post("/v1/completions", &ask("r7", "s", "prompt")).await;
    assert_eq!((reply.status.as_u16(), kind(&reply)), (429, "overloaded".to_owned()));
    assert!(reply.header("endpoint-load-metrics").unwrap().starts_with("JSON {"));
    engine.faults(json!({"leaving": true}));
    let reply = engine.post("/v1/completions", &ask("r8", "s", "prompt")).await;
    assert_eq!((reply.status.as_u16(), kind(&reply)), (503, "leaving".to_owned()));
}

fn kind(reply: &rig::Reply) -> String {
    reply.json::<Value>().unwrap()["error"]["type"].as_str().unwrap().to_owned()
}
