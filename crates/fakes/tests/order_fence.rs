//! Orders: an order with an old fencing number is refused, and no version is served while weights
//! load.

mod common;

use common::{Fake, TIMEOUT};
use fakes::{Control, EngineConfig};
use serde_json::{Value, json};

fn order(fence: u64, weights: &str) -> Value {
    json!({"fence": fence, "wanted": {"weights": weights, "role": "mixed"}})
}

#[tokio::test]
async fn old_fence_is_refused() {
    let engine = Fake::engine("v1", 0).await;
    let first: Value = engine.get("/orders").await.json().unwrap();
    assert_eq!((&first["wanted"], &first["fence"]), (&Value::Null, &json!(0)));
    let url = format!("{}/orders", engine.url);
    assert_eq!(engine.http.put(&url, &order(5, "v2")).await.unwrap().status, 200);
    let reply = engine.http.put(&url, &order(4, "v1")).await.unwrap();
    assert_eq!(reply.status, 409);
    assert_eq!(reply.json::<Value>().unwrap()["error"]["type"], "stale_fence");
    assert_eq!(engine.get("/orders").await.json::<Value>().unwrap()["actual"]["weights"], "v2");
    engine.set_faults(json!({"ignore_fence": true}));
    assert_eq!(engine.http.put(&url, &order(4, "v1")).await.unwrap().status, 200);
    assert_eq!(engine.get("/orders").await.json::<Value>().unwrap()["actual"]["weights"], "v1");
}

#[tokio::test]
async fn no_version_is_served_while_loading() {
    let weights = Fake::start(fakes::weights(1 << 20, 1, Control::new(Default::default()))).await;
    let config = EngineConfig {
        model: "writer".to_owned(),
        weights: "v1".to_owned(),
        name: "w1".to_owned(),
        prefill: 1,
        decode: TIMEOUT,
        slots: 1,
        queue: 1,
        cache: 1,
        block: 32,
        source: Some(weights.url.clone()),
        fenced: false,
    };
    let engine = Fake::start(fakes::engine(config, Control::new(Default::default()))).await;
    let url = format!("{}/orders", engine.url);
    engine.http.put(&url, &order(1, "v2")).await.unwrap();
    let shown: Value = engine.get("/orders").await.json().unwrap();
    assert_eq!(engine.get("/load").await.json::<Value>().unwrap()["weights"], Value::Null);
    assert_eq!(shown["actual"]["weights"], Value::Null);
    assert_eq!(
        engine.post("/v1/completions", &common::completion_request("r", "s", "p")).await.status,
        409
    );
    weights.set_faults(json!({"link_rate": 1_u64 << 40}));
    // The first chunk of the first download still waits at the old rate, so a second order starts
    // another download.
    engine.http.put(&url, &order(2, "v3")).await.unwrap();
    let loads = async || {
        let log: Vec<Value> = weights.get("/_log").await.json().unwrap();
        (log.len() == 2 && log[1]["version"] == "v3").then_some(())
    };
    rig::wait_for("a second download", TIMEOUT, loads).await.unwrap();
}
