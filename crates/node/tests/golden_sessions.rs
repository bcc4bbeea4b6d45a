//! Compares complete sessions of callers with the transcripts in `tests/golden/*.txt`.

mod common;

use common::{Request, Session};
use hyper::Method;
use rig::{Deployment, STATE_LIMIT, Spec, wait_for};
use serde_json::json;

const KEY: (&str, &str) = ("authorization", "Bearer weddings-key");
const JSON: (&str, &str) = ("content-type", "application/json");
const BOOKING: (&str, &str) = ("idempotency-key", "booking-1");
const DEPOSIT: &str = r#"{"artist":"7","amount":120}"#;
const ENGINES: [&str; 2] = ["inkline-writer-1", "inkline-writer-2"];

async fn start_session() -> Session {
    Session::new(Deployment::start(&Spec::default()).await.unwrap())
}

fn get<'a>(entry: usize, path: &'a str, headers: &'a [(&str, &str)]) -> Request<'a> {
    Request { entry, method: Method::GET, path, headers, body: String::new() }
}

fn post<'a>(entry: usize, path: &'a str, headers: &'a [(&str, &str)], body: String) -> Request<'a> {
    Request { entry, method: Method::POST, path, headers, body }
}

fn completion_body(question: &str, stream: bool) -> String {
    let brief: String = (0..300).map(|i| format!("Table {i} seats {} guests. ", i % 9)).collect();
    json!({
        "model": "writer", "prompt": format!("{brief}{question}"), "max_tokens": 6,
        "stream": stream, "prompt_cache_key": "gala",
    })
    .to_string()
}

fn chat_body(stream: bool) -> String {
    let messages = [("system", "You write captions."), ("user", "Who opens the dance?")]
        .map(|(role, content)| json!({"role": role, "content": content}));
    json!({"model": "writer", "messages": messages, "max_tokens": 3, "stream": stream}).to_string()
}

/// Waits until a context is saved to a store, then empties the engines' prefix caches.
async fn evict_prefix_caches(d: &Deployment) {
    wait_for("a context to be saved to a store", STATE_LIMIT, || async {
        (!d.events("kept").await.ok()?.is_empty()).then_some(())
    })
    .await
    .unwrap();
    for name in ENGINES {
        let engine = d.platform.proc(name).unwrap();
        d.platform.faults(engine, json!({"evict_all": true})).await.unwrap();
        d.platform.faults(engine, json!({})).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers() {
    let mut s = start_session().await;
    s.section("A chat answer, whole and streamed");
    s.send(post(0, "/v1/chat/completions", &[KEY, JSON], chat_body(false))).await;
    s.stream(post(0, "/v1/chat/completions", &[KEY, JSON], chat_body(true)), usize::MAX).await;
    s.section("A text answer, whole and streamed");
    let body = |stream| {
        let prompt = "Who opens the dance?";
        json!({"model": "writer", "prompt": prompt, "max_tokens": 3, "stream": stream}).to_string()
    };
    s.send(post(0, "/v1/completions", &[KEY, JSON], body(false))).await;
    s.stream(post(0, "/v1/completions", &[KEY, JSON], body(true)), usize::MAX).await;
    s.check("answers.txt");
}

#[tokio::test(flavor = "multi_thread")]
async fn returns() {
    let mut s = start_session().await;
    s.section("Where to go");
    s.send(get(0, "/v1/where?context=gala&zone=regina", &[KEY])).await;
    s.section("A first question");
    let path = "/v1/completions";
    s.stream(post(0, path, &[KEY, JSON], completion_body("Who is first?", true)), usize::MAX).await;
    evict_prefix_caches(&s.deployment).await;
    s.section("A return after eviction");
    s.stream(post(0, path, &[KEY, JSON], completion_body("Who is second?", true)), usize::MAX)
        .await;
    s.section("An answer left after its third event, resumed at another instance");
    let body = completion_body("Who is third?", true);
    let events = s.stream(post(0, path, &[KEY, JSON], body.clone()), 3).await;
    let last = ("last-event-id", &*events[2].id);
    s.stream(post(1, path, &[KEY, JSON, last], body), usize::MAX).await;
    s.check("returns.txt");
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings() {
    let mut s = start_session().await;
    let path = "/v1/call/inkline-desk/deposits";
    s.section("A booking");
    s.send(post(0, path, &[KEY, JSON, BOOKING], DEPOSIT.to_owned())).await;
    s.section("Its repeat at another instance");
    s.send(post(1, path, &[KEY, JSON, BOOKING], DEPOSIT.to_owned())).await;
    s.section("Its outcome");
    s.send(get(2, "/v1/outcomes/booking-1", &[KEY])).await;
    s.section("Another request under its key");
    s.send(post(2, path, &[KEY, JSON, BOOKING], "{}".to_owned())).await;
    s.section("A booking without a key");
    s.send(post(0, path, &[KEY, JSON], DEPOSIT.to_owned())).await;
    s.section("The outcome of no booking");
    s.send(get(0, "/v1/outcomes/booking-2", &[KEY])).await;
    assert_eq!(s.deployment.runs("inkline-desk-1", BOOKING.1).await.unwrap(), 1);
    s.check("bookings.txt");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals() {
    let mut s = start_session().await;
    let path = "/v1/completions";
    let body = |model: &str, text: &str| json!({"model": model, "prompt": text}).to_string();
    let post_completion = |headers, body| post(0, path, headers, body);
    s.section("No key, and a wrong one");
    s.send(post_completion(&[JSON], body("writer", "Who?"))).await;
    s.send(post_completion(&[("authorization", "Bearer nobody"), JSON], body("writer", "Who?")))
        .await;
    s.section("A model nobody has, and the other organisation's");
    s.send(post_completion(&[KEY, JSON], body("painter", "Who?"))).await;
    s.send(post_completion(&[KEY, JSON], body("assistant", "Who?"))).await;
    s.section("The other organisation's target");
    let foreign = "/v1/call/umthombo-bookings/deposits";
    s.send(post(0, foreign, &[KEY, JSON, BOOKING], DEPOSIT.to_owned())).await;
    s.section("Too long a prompt");
    s.send(post_completion(&[KEY, JSON], body("writer", &"long ".repeat(200_001)))).await;
    s.section("Too large a body");
    s.send(post_completion(&[KEY, JSON], body("writer", &"large ".repeat(700_000)))).await;
    s.section("Bodies that can't be read");
    s.send(post_completion(&[KEY, JSON], "{\"model\": \"writer\"".to_owned())).await;
    s.send(post_completion(&[KEY, JSON], json!({"model": "writer"}).to_string())).await;
    s.send(post_completion(&[KEY, JSON], body("writer", ""))).await;
    s.section("A handle that is none");
    s.send(post_completion(&[KEY, JSON, ("last-event-id", "none")], body("writer", "Who?"))).await;
    // Rejections of requests with a valid key are recorded as events.
    let refused = s.deployment.events("refused").await.unwrap();
    let reasons: Vec<_> = refused.iter().filter_map(|e| e["kind"]["reason"].as_str()).collect();
    assert_eq!(
        reasons,
        [
            "unknown-model",
            "unknown-model",
            "unknown-target",
            "prompt-too-long",
            "malformed",
            "malformed",
            "malformed",
            "bad-handle"
        ]
    );
    s.check("refusals.txt");
}
