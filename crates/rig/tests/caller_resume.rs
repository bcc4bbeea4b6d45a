//! Retries of the caller after broken connections, timeouts and refusals.

mod common;

use std::time::Duration;

use common::{Entry, Script, caller, chunk, problem, problem_of};
use rig::{CallError, Completion, Ran};

fn ask() -> Completion {
    Completion {
        model: "writer".to_owned(),
        prompt: "Ann and Bo".to_owned(),
        tokens: 3,
        context: "gala 7".to_owned(),
        batch: false,
    }
}

/// The last event and the end marker.
fn end(offset: u64) -> String {
    chunk("r", offset, "stop") + "data: [DONE]\n\n"
}

#[tokio::test]
async fn complete_answer_from_first_address() {
    let entry = Entry::start(&[]).await;
    for _ in 0..2 {
        entry.expect(Script::events(&(chunk("r", 0, "") + &end(1))));
    }
    let caller = caller(&entry);
    let answer = caller.complete(&ask()).await.unwrap();
    assert_eq!((&*answer.text, answer.cached, answer.attempts), ("t0 t1 ", 5, 1));
    caller.complete(&ask()).await.unwrap();
    let heads = entry.heads();
    assert_eq!(heads.len(), 3, "the addresses are cached: {heads:?}");
    assert!(heads[0].starts_with("GET /v1/where?context=gala%207 "), "{}", heads[0]);
    assert!(heads[1].contains("authorization: Bearer key"), "{}", heads[1]);
    assert!(heads[1].contains(r#""prompt_cache_key":"gala 7""#), "{}", heads[1]);
}

#[tokio::test]
async fn broken_stream_resumes_at_next_address() {
    let second = Entry::start(&[]).await;
    second.expect(Script::events(&end(1)));
    let first = Entry::start(&[&second]).await;
    first.expect(Script::events(&chunk("r", 0, "")).cut());
    let answer = caller(&first).complete(&ask()).await.unwrap();
    assert_eq!((&*answer.text, answer.attempts, answer.resumes), ("t0 t1 ", 2, 1));
    let (sent, again) = (&first.heads()[1], &second.heads()[0]);
    assert!(again.contains("last-event-id: handle-0"), "{again}");
    let body = |head: &str| head.split_once("\r\n\r\n").map(|(_, b)| b.to_owned());
    assert_eq!(body(sent), body(again));
}

#[tokio::test]
async fn unknown_handle_restarts_answer() {
    let second = Entry::start(&[]).await;
    second.expect(problem_of("bad-handle", 409, "no", None));
    let first = Entry::start(&[&second]).await;
    first.expect(Script::events(&chunk("r", 0, "")).cut());
    first.expect(Script::events(&(chunk("q", 0, "") + &chunk("q", 1, "stop"))));
    let answer = caller(&first).complete(&ask()).await.unwrap();
    let got = (&*answer.text, answer.attempts, answer.resumes, answer.restarts);
    assert_eq!(got, ("t0 t1 ", 3, 1, 1), "the end marker may be missing");
    assert!(!first.heads()[2].contains("last-event-id"));
}

#[tokio::test]
async fn problem_in_the_stream() {
    let entry = Entry::start(&[]).await;
    let problem = "event: problem\ndata: {\"type\":\"x:upstream\",\"status\":502,\
        \"ran\":\"unknown\",\"retry_after_ms\":1}\n\n";
    entry.expect(Script::events(&(chunk("r", 0, "") + problem)));
    entry.expect(Script::events(&end(1)));
    let answer = caller(&entry).complete(&ask()).await.unwrap();
    assert_eq!((&*answer.text, answer.attempts, answer.resumes), ("t0 t1 ", 2, 1));
}

#[tokio::test]
async fn silent_stream_times_out() {
    let second = Entry::start(&[]).await;
    second.expect(Script::events(&end(1)));
    let first = Entry::start(&[&second]).await;
    first.expect(Script::events(&chunk("r", 0, "")).hold(Duration::MAX));
    let answer = caller(&first).complete(&ask()).await.unwrap();
    assert_eq!((&*answer.text, answer.attempts), ("t0 t1 ", 2));
}

#[tokio::test]
async fn comments_reset_idle_timeout() {
    let entry = Entry::start(&[]).await;
    let comment = ": prefill\n\n";
    entry.expect(Script::paced(&[comment; 12], &(chunk("r", 0, "") + &end(1))));
    let answer = caller(&entry).complete(&ask()).await.unwrap();
    assert_eq!(answer.attempts, 1);
    assert!(answer.ttft > common::SILENCE, "{:?}", answer.ttft);
}

#[tokio::test]
async fn restart_drops_the_text() {
    let entry = Entry::start(&[]).await;
    let restart = "event: restart\ndata: {}\n\n";
    let again = chunk("q", 0, "") + &chunk("q", 1, "stop") + "data: [DONE]\n\n";
    entry.expect(Script::events(&(chunk("r", 0, "") + &chunk("r", 1, "") + restart + &again)));
    let answer = caller(&entry).complete(&ask()).await.unwrap();
    assert_eq!((&*answer.text, &*answer.request, answer.restarts), ("t0 t1 ", "q", 1));
}

#[tokio::test]
async fn protocol_violations_are_reported() {
    let cases = [
        chunk("r", 0, "") + &end(2),
        chunk("r", 0, "") + &end(0),
        chunk("q", 0, "") + &end(1),
        chunk("r", 1, ""),
        chunk("r", 0, "") + "data: [DONE]\n\n",
        "id: x\ndata: {}\n\n".to_owned(),
    ];
    for events in cases {
        let entry = Entry::start(&[]).await;
        entry.expect(Script::events(&events));
        let error = caller(&entry).complete(&ask()).await.unwrap_err();
        assert!(error.broken_promise(), "{error}");
    }
}

#[tokio::test]
async fn retries_after_refusal_only_if_advised() {
    let entry = Entry::start(&[]).await;
    entry.expect(problem(503, "no", Some(0)));
    entry.expect(Script::events(&(chunk("r", 0, "") + &end(1))));
    assert_eq!(caller(&entry).complete(&ask()).await.unwrap().attempts, 2);
    for (retry, ran) in [(None, Ran::No), (Some(3600), Ran::Unknown)] {
        let text = if ran == Ran::No { "no" } else { "unknown" };
        entry.expect(problem(429, text, retry));
        let error = caller(&entry).complete(&ask()).await.unwrap_err();
        let CallError::Problem(problem) = error else { panic!("{error}") };
        assert_eq!((problem.status, problem.ran), (429, ran));
    }
}

#[tokio::test]
async fn service_call_keeps_its_key() {
    let second = Entry::start(&[]).await;
    second.expect(Script::answer("200 OK", "application/json", "", r#"{"seq":1}"#));
    let first = Entry::start(&[&second]).await;
    first.expect(Script::events("").cut_at_once());
    let booked = caller(&first).book("desk", "/deposit?n=1", "k-1", "{}").await.unwrap();
    assert_eq!((booked.attempts, booked.reply.text()), (2, r#"{"seq":1}"#.to_owned()));
    for head in [&first.heads()[1], &second.heads()[0]] {
        assert!(head.starts_with("POST /v1/call/desk/deposit?n=1 "), "{head}");
        assert!(head.contains("idempotency-key: k-1"), "{head}");
    }
    second.expect(problem(504, "unknown", None));
    let error = caller(&second).book("desk", "deposit", "k-2", "{}").await.unwrap_err();
    assert!(matches!(error, CallError::Problem(p) if p.ran == Ran::Unknown));
}
