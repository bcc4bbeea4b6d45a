//! Faults that all stand-ins share, those of the plain service and of the instance list, and basic
//! operations of the object store and of a store instance.

mod common;

use std::time::Duration;

use common::{Fake, TIMEOUT};
use fakes::Control;
use serde_json::{Value, json};

async fn service() -> Fake {
    Fake::start(fakes::service(Control::new(Default::default()))).await
}

async fn runs(service: &Fake) -> usize {
    service.get("/_log").await.json::<Vec<Value>>().unwrap().len()
}

#[tokio::test]
async fn connection_cut_before_or_after_run() {
    let service = service().await;
    let url = format!("{}/bookings?day=2", service.url);
    service.set_faults(json!({"cut_before_run": 1}));
    assert!(service.http.post(&url, &json!(1)).await.is_err());
    assert_eq!(runs(&service).await, 0);
    service.set_faults(json!({"cut_after_run": 1}));
    assert!(service.http.post(&url, &json!(2)).await.is_err());
    assert_eq!(runs(&service).await, 1);
    service.set_faults(json!({"refuse": true}));
    let reply = service.http.post(&url, &json!(3)).await.unwrap();
    assert_eq!((reply.status.as_u16(), reply.header("x-not-run")), (503, Some("1")));
    assert_eq!(runs(&service).await, 1);
    service.set_faults(json!({}));
    let reply: Value = service.http.post(&url, &json!(4)).await.unwrap().json().unwrap();
    assert_eq!((&reply["seq"], &reply["path"]), (&json!(2), &json!("/bookings?day=2")));
}

#[tokio::test]
async fn silent_and_silent_open() {
    let service = service().await;
    let url = format!("{}/x", service.url);
    service.http.get(&url).await.unwrap();
    let wait = Duration::from_millis(200);
    service.set_faults(json!({"silent_open": true}));
    let old = tokio::time::timeout(wait, service.http.get(&url)).await;
    assert!(old.is_err(), "the pooled connection must be silent");
    assert!(rig::Http::new().get(&url).await.is_ok(), "a new connection must work");
    service.set_faults(json!({"silent": true}));
    assert!(tokio::time::timeout(wait, rig::Http::new().get(&url)).await.is_err());
    assert_eq!(runs(&service).await, 2);
    service.set_faults(json!({"outage": true}));
    assert_eq!(rig::Http::new().get(&url).await.unwrap().status, 503);
}

#[tokio::test]
async fn response_body_is_cut_off() {
    let engine = Fake::engine("v1", 0).await;
    engine.set_faults(json!({"cut_after_bytes": 300}));
    let stream = engine.complete(&common::completion_request("r", "s", "p")).await;
    assert!(stream.all(TIMEOUT).await.is_err());
}

#[tokio::test]
async fn instance_list_lag_and_missing_entries() {
    let list = Fake::start(fakes::instances(vec![], Control::new(Default::default()))).await;
    let entry = |name: &str| json!({"targets": ["127.0.0.1:1"], "labels": {"name": name}});
    list.post("/_entries", &entry("a")).await;
    list.post("/_entries", &entry("b")).await;
    let names = async || {
        let all: Vec<Value> = list.get("/sd").await.json().unwrap();
        all.iter().map(|e| e["labels"]["name"].as_str().unwrap().to_owned()).collect::<Vec<_>>()
    };
    assert_eq!(names().await, ["a", "b"]);
    list.set_faults(json!({"lost": ["a"]}));
    assert_eq!(names().await, ["b"]);
    list.set_faults(json!({"lag_ms": 60_000}));
    assert!(names().await.is_empty());
    list.set_faults(json!({"lag_ms": 1}));
    rig::wait_for("the lag to pass", TIMEOUT, async || (names().await.len() == 2).then_some(()))
        .await
        .unwrap();
}

#[tokio::test]
async fn objects_and_records() {
    let objects = Fake::start(fakes::objects(Control::new(Default::default()))).await;
    let url = format!("{}/bucket/a/b.json", objects.url);
    let put = objects.http.put(&url, &json!({"n": 1})).await.unwrap();
    let got = objects.http.get(&url).await.unwrap();
    assert_eq!(got.header("etag"), put.header("etag"));
    assert!(got.header("last-modified").unwrap().ends_with(" GMT"));
    assert_eq!(got.text(), r#"{"n":1}"#);
    assert_eq!(objects.get("/bucket/none").await.status, 404);
    let store = Fake::store().await;
    for key in ["k0", "k1", "k3"] {
        store.http.put(&format!("{}/pieces/{key}", store.url), &json!(1)).await.unwrap();
    }
    for key in ["k0", "k1", "k2", "k3"] {
        store.http.put(&format!("{}/records/{key}", store.url), &json!(key)).await.unwrap();
    }
    let run = store.post("/records/run", &json!({"keys": ["k0", "k1", "k2", "k3"]})).await;
    assert_eq!(run.json::<Value>().unwrap(), json!({"records": ["k0", "k1"]}));
    store.set_faults(json!({"full": true}));
    let full = store.http.put(&format!("{}/pieces/k4", store.url), &json!(1)).await.unwrap();
    assert_eq!(full.status, 507);
}
