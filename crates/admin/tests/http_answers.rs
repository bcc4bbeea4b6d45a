//! Answers of the administration API.

use std::{sync::Arc, time::Duration};

use admin::{CHANGE_ID, ControlError, Memory, router};
use axum::{
    body::Body,
    http::{Request, header},
};
use events::EventKind;
use http_body_util::BodyExt;
use ident::{Name, Time};
use serde_json::{Value, json};
use tower::ServiceExt;

const KEY: &str = "operator";

fn instance() -> Arc<Memory> {
    let name = |n| Name::new(n).unwrap();
    Arc::new(Memory::new(name("inkline-1"), name("regina"), KEY))
}

/// One request; answers `status etag body`.
async fn ask(
    memory: &Arc<Memory>,
    line: &str,
    headers: &[(&str, &str)],
    body: impl Into<Body>,
) -> (u16, String, Value) {
    let (method, path) = line.split_once(' ').unwrap();
    let mut request = Request::builder().method(method).uri(path);
    request = request.header(header::AUTHORIZATION, format!("Bearer {KEY}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.into()).unwrap();
    let answer = router(memory.clone()).oneshot(request).await.unwrap();
    let status = answer.status().as_u16();
    let tag = answer.headers().get(header::ETAG).map(|v| v.to_str().unwrap().to_owned());
    let bytes = answer.into_body().collect().await.unwrap().to_bytes();
    (status, tag.unwrap_or_default(), serde_json::from_slice(&bytes).unwrap())
}

fn model(version: &str) -> String {
    json!({"name": "writer", "version": version}).to_string()
}

fn id(n: u8) -> String {
    format!("{n:032x}")
}

#[tokio::test]
async fn create_change_remove() {
    let memory = instance();
    let put = "PUT /admin/v1/models/writer";
    let create = [("if-none-match", "*"), (CHANGE_ID, &id(1))];
    let (status, tag, body) = ask(&memory, put, &create, model("v1")).await;
    assert_eq!((status, tag.as_str(), &body["rev"]), (201, "\"r1\"", &json!(1)));
    assert_eq!(ask(&memory, put, &create, model("v1")).await, (201, tag, body));

    let (status, tag, body) = ask(&memory, "GET /admin/v1/models/writer", &[], "").await;
    assert_eq!((status, tag.as_str()), (200, "\"r1\""));
    assert_eq!(body, json!({"name": "writer", "version": "v1", "previous": null}));

    let change = [("if-match", "\"r1\""), (CHANGE_ID, &id(2))];
    assert_eq!(ask(&memory, put, &change, model("v2")).await.1, "\"r2\"");
    let (.., list) = ask(&memory, "GET /admin/v1/models", &[], "").await;
    assert_eq!(list, json!([{"name": "writer", "rev": 2}]));

    let remove = [("if-match", "\"r2\""), (CHANGE_ID, &id(3))];
    let (status, tag, body) = ask(&memory, "DELETE /admin/v1/models/writer", &remove, "").await;
    assert_eq!((status, tag.as_str(), &body["doc"]), (200, "\"r3\"", &Value::Null));
    assert_eq!(memory.changes().len(), 3);
}

#[tokio::test]
async fn losers_hear_the_current_revision() {
    let memory = instance();
    let put = "PUT /admin/v1/models/writer";
    ask(&memory, put, &[("if-none-match", "*"), (CHANGE_ID, &id(1))], model("v1")).await;
    let cases: [(&str, &str, u8, u16, &str, Value); 4] = [
        ("if-match", "\"r7\"", 2, 412, "stale", json!(1)),
        ("if-none-match", "*", 2, 409, "exists", json!(1)),
        ("if-match", "\"r1\"", 1, 409, "id-reused", json!(1)),
        ("if-match", "r1", 2, 400, "bad-request", Value::Null),
    ];
    for (header, value, n, wanted, kind, current) in cases {
        let headers = [(header, value), (CHANGE_ID, &id(n))];
        let (status, _, body) = ask(&memory, put, &headers, model("v2")).await;
        assert_eq!((status, &body["current"]), (wanted, &current), "{body}");
        assert_eq!(body["type"], format!("urn:lentilpitch:problem:{kind}"));
    }
    let (status, _, body) = ask(&memory, put, &[(CHANGE_ID, &id(3))], model("v2")).await;
    assert_eq!((status, &body["title"]), (428, &json!("No revision named")));
    let (status, ..) = ask(&memory, put, &[("if-match", "\"r1\"")], model("v2")).await;
    assert_eq!(status, 400);
    assert_eq!(memory.changes().len(), 1);
}

#[tokio::test]
async fn lost_answers_and_outages() {
    let memory = instance();
    let put = "PUT /admin/v1/models/writer";
    let headers = [("if-none-match", "*"), (CHANGE_ID, &id(1))];
    memory.fail(Some(ControlError::Unavailable { retry_after: Duration::from_millis(1500) }));
    let (status, _, body) = ask(&memory, put, &headers, model("v1")).await;
    assert_eq!((status, &body["retry_after_ms"]), (503, &json!(1500)));
    assert_eq!(memory.changes().len(), 0);

    memory.fail(None);
    memory.lose_answers(1);
    let (status, _, body) = ask(&memory, put, &headers, model("v1")).await;
    assert_eq!((status, &body["change"]), (504, &json!(id(1))));
    assert_eq!(ask(&memory, put, &headers, model("v1")).await.1, "\"r1\"");
    assert_eq!(memory.changes().len(), 1);
}

#[tokio::test]
async fn every_fault_of_a_body() {
    let memory = instance();
    let headers = [("if-none-match", "*"), (CHANGE_ID, &id(1))];
    let cases = [
        (
            "teams/weddings",
            json!({"name": "galas", "org": "Inkline", "keys": ["x"], "patch": {"spread": 0, "limit": 1}, "kind": 2}),
            vec!["name", "template", "org", "keys[0]", "patch.spread", "patch.limit", "kind"],
        ),
        (
            "targets/desk",
            json!({"name": "desk", "org": "inkline", "kind": {"service": {"idempotent": ["quote"]}}, "state": "gone"}),
            vec!["kind.service.idempotent[0]", "state"],
        ),
        (
            "templates/captions",
            json!({"name": "captions", "params": {"models": ["a"], "targets": [], "limits": {"rate": -1}, "spread": 300}}),
            vec![
                "params.limits.rate",
                "params.limits.inflight",
                "params.limits.prompt",
                "params.limits.tokens",
                "params.weights.latency",
                "params.weights.recompute",
                "params.spread",
            ],
        ),
        ("models/writer", json!([1]), vec!["(document)", "name", "version"]),
    ];
    for (path, body, wanted) in cases {
        let line = format!("PUT /admin/v1/{path}");
        let (status, _, body) = ask(&memory, &line, &headers, body.to_string()).await;
        let faults = body["faults"].as_array().unwrap();
        let paths: Vec<_> = faults.iter().map(|f| f["path"].as_str().unwrap()).collect();
        assert_eq!((status, paths), (422, wanted));
    }
    let (status, _, body) = ask(&memory, "PUT /admin/v1/models/writer", &headers, "{").await;
    assert_eq!((status, &body["faults"][0]["wanted"]), (422, &json!("JSON")));
}

#[tokio::test]
async fn only_operators() {
    let memory = instance();
    for key in ["Bearer other", "Basic operator", ""] {
        let request = Request::get("/admin/v1/status").header(header::AUTHORIZATION, key);
        let request = request.body(Body::empty()).unwrap();
        let answer = router(memory.clone()).oneshot(request).await.unwrap();
        assert_eq!(answer.status(), 401);
        assert_eq!(answer.headers()[header::CONTENT_TYPE], "application/problem+json");
        assert_eq!(answer.headers()[header::WWW_AUTHENTICATE], "Bearer");
    }
}

#[tokio::test]
async fn wrong_paths_and_sizes() {
    let memory = instance();
    let headers = [("if-none-match", "*"), (CHANGE_ID, &id(1))];
    let large = " ".repeat(admin::MAX_BODY + 1);
    assert_eq!(ask(&memory, "PUT /admin/v1/models/writer", &headers, large).await.0, 413);
    assert_eq!(ask(&memory, "GET /admin/v1/lists", &[], "").await.0, 404);
    assert_eq!(ask(&memory, "GET /other", &[], "").await.0, 404);
    assert_eq!(ask(&memory, "POST /admin/v1/status", &[], "").await.0, 405);
    assert_eq!(ask(&memory, "GET /admin/v1/events?after=x", &[], "").await.0, 400);
    assert_eq!(ask(&memory, "GET /admin/v1/rollouts/writer", &[], "").await.0, 404);
}

#[tokio::test]
async fn views_of_the_instance() {
    let memory = instance();
    memory.log.record(Time(1), EventKind::Started);
    memory.log.record(Time(2), EventKind::Ready);
    let (.., page) = ask(&memory, "GET /admin/v1/events?after=1&limit=5", &[], "").await;
    assert_eq!((&page["events"][0]["seq"], &page["next"]), (&json!(2), &json!(2)));
    let (status, _, body) = ask(&memory, "POST /admin/v1/drain", &[], "").await;
    assert_eq!((status, &body["phase"]), (202, &json!("draining")));
}

#[tokio::test]
async fn documents_that_do_not_fit() {
    let memory = instance();
    let headers = [("if-none-match", "*"), (CHANGE_ID, &id(1))];
    let target = json!({"name": "writer", "org": "inkline", "kind": {"engine": {"model": "none", "fenced": true}}});
    let put = "PUT /admin/v1/targets/writer";
    let (status, _, body) = ask(&memory, put, &headers, target.to_string()).await;
    let wanted = json!([{
        "path": "kind.engine.model",
        "wanted": "the name of an existing model; create it first",
        "found": "none",
    }]);
    assert_eq!((status, &body["faults"]), (422, &wanted));
    let headers = [("if-match", "\"r1\""), (CHANGE_ID, &id(1))];
    let (status, ..) = ask(&memory, "DELETE /admin/v1/targets/writer", &headers, "").await;
    assert_eq!(status, 412);
}
