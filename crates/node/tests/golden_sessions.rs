//! Whole sessions of callers over processes, compared with `tests/golden/*.txt`.

mod common;

use common::{Ask, Session};
use hyper::Method;
use rig::{Deployment, STATE_LIMIT, Spec, wait_for};
use serde_json::json;

const KEY: (&str, &str) = ("authorization", "Bearer weddings-key");
const JSON: (&str, &str) = ("content-type", "application/json");
const BOOKING: (&str, &str) = ("idempotency-key", "booking-1");
const DEPOSIT: &str = r#"{"artist":"7","amount":120}"#;
const ENGINES: [&str; 2] = ["inkline-writer-1", "inkline-writer-2"];

async fn session() -> Session {
    Session::new(Deployment::start(&Spec::default()).await.unwrap())
}

fn get<'a>(entry: usize, path: &'a str, headers: &'a [(&str, &str)]) -> Ask<'a> {
    Ask { entry, method: Method::GET, path, headers, body: String::new() }
}

fn post<'a>(entry: usize, path: &'a str, headers: &'a [(&str, &str)], body: String) -> Ask<'a> {
    Ask { entry, method: Method::POST, path, headers, body }
}

fn prompt(question: &str, stream: bool) -> String {
    let brief: String = (0..300).map(|i| format!("Table {i} seats {} guests. ", i % 9)).collect();
    json!({
        "model": "writer", "prompt": format!("{brief}{question}"), "max_tokens": 6,
        "stream": stream, "prompt_cache_key": "gala",
    })
    .to_string()
}

fn chat(stream: bool) -> String {
    let messages = [("system", "You write captions."), ("user", "Who opens the dance?")]
        .map(|(role, content)| json!({"role": role, "content": content}));
    json!({"model": "writer", "messages": messages, "max_tokens": 3, "stream": stream}).to_string()
}

/// Waits until a context was kept, then empties the accelerators' prefix caches.
async fn evict(d: &Deployment) {
    wait_for("a context to be kept", STATE_LIMIT, || async {
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
    let mut s = session().await;
    s.part("A chat answer, whole and streamed");
    s.send(post(0, "/v1/chat/completions", &[KEY, JSON], chat(false))).await;
    s.stream(post(0, "/v1/chat/completions", &[KEY, JSON], chat(true)), usize::MAX).await;
    s.part("A text answer, whole and streamed");
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
    let mut s = session().await;
    s.part("Where to go");
    s.send(get(0, "/v1/where?context=gala&zone=regina", &[KEY])).await;
    s.part("A first question");
    let path = "/v1/completions";
    s.stream(post(0, path, &[KEY, JSON], prompt("Who is first?", true)), usize::MAX).await;
    evict(&s.deployment).await;
    s.part("A return after eviction");
    s.stream(post(0, path, &[KEY, JSON], prompt("Who is second?", true)), usize::MAX).await;
    s.part("An answer left after its third event, resumed at another instance");
    let body = prompt("Who is third?", true);
    let events = s.stream(post(0, path, &[KEY, JSON], body.clone()), 3).await;
    let last = ("last-event-id", &*events[2].id);
    s.stream(post(1, path, &[KEY, JSON, last], body), usize::MAX).await;
    s.check("returns.txt");
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings() {
    let mut s = session().await;
    let path = "/v1/call/inkline-desk/deposits";
    s.part("A booking");
    s.send(post(0, path, &[KEY, JSON, BOOKING], DEPOSIT.to_owned())).await;
    s.part("Its repeat at another instance");
    s.send(post(1, path, &[KEY, JSON, BOOKING], DEPOSIT.to_owned())).await;
    s.part("Its outcome");
    s.send(get(2, "/v1/outcomes/booking-1", &[KEY])).await;
    s.part("Another request under its key");
    s.send(post(2, path, &[KEY, JSON, BOOKING], "{}".to_owned())).await;
    s.part("A booking without a key");
    s.send(post(0, path, &[KEY, JSON], DEPOSIT.to_owned())).await;
    s.part("The outcome of no booking");
    s.send(get(0, "/v1/outcomes/booking-2", &[KEY])).await;
    assert_eq!(s.deployment.runs("inkline-desk-1", BOOKING.1).await.unwrap(), 1);
    s.check("bookings.txt");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals() {
    let mut s = session().await;
    let path = "/v1/completions";
    let body = |model: &str, text: &str| json!({"model": model, "prompt": text}).to_string();
    let ask = |headers, body| post(0, path, headers, body);
    s.part("No key, and a wrong one");
    s.send(ask(&[JSON], body("writer", "Who?"))).await;
    s.send(ask(&[("authorization", "Bearer nobody"), JSON], body("writer", "Who?"))).await;
    s.part("A model nobody has, and the other organisation's");
    s.send(ask(&[KEY, JSON], body("painter", "Who?"))).await;
    s.send(ask(&[KEY, JSON], body("assistant", "Who?"))).await;
    s.part("The other organisation's target");
    let foreign = "/v1/call/umthombo-bookings/deposits";
    s.send(post(0, foreign, &[KEY, JSON, BOOKING], DEPOSIT.to_owned())).await;
    s.part("Too long a prompt");
    s.send(ask(&[KEY, JSON], body("writer", &"long ".repeat(200_001)))).await;
    s.part("Too large a body");
    s.send(ask(&[KEY, JSON], body("writer", &"large ".repeat(700_000)))).await;
    s.part("Bodies that can't be read");
    s.send(ask(&[KEY, JSON], "{\"model\": \"writer\"".to_owned())).await;
    s.send(ask(&[KEY, JSON], json!({"model": "writer"}).to_string())).await;
    s.send(ask(&[KEY, JSON], body("writer", ""))).await;
    s.part("A handle that is none");
    s.send(ask(&[KEY, JSON, ("last-event-id", "none")], body("writer", "Who?"))).await;
    // Those of a known team are on the time line.
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
