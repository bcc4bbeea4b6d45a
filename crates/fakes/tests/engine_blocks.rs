//! The engine's answer shows whether every block it used was the right one.

mod common;

use common::{Fake, ask, prompt, text};
use serde_json::{Value, json};

const CACHED: u64 = 4 * 256;

fn pieces(key: &str, generation: u64) -> Vec<Value> {
    (0..4)
        .map(|i| json!({"index": i, "key": format!("{key}{i}"), "generation": generation}))
        .collect()
}

/// Runs a request and exports its four pieces under keys that begin with `key`.
async fn export(engine: &Fake, store: &Fake, salt: &str, prompt: &str, key: &str) -> Value {
    let stream = engine.complete(&ask(key, salt, prompt)).await;
    text(stream).await;
    let call = json!({"request_id": key, "dest": store.url, "pieces": pieces(key, 7)});
    engine.post("/kv/export", &call).await.json().unwrap()
}

/// Imports pieces into a fresh engine and returns its answer, cached tokens and the receipts.
async fn import(store: &Fake, salt: &str, pieces: &[Value]) -> (String, u64, Value) {
    let engine = Fake::engine("v1", 0).await;
    let call = json!({"request_id": "b", "weights": "v1", "cache_salt": salt,
        "source": store.url, "pieces": pieces});
    let got: Value = engine.post("/kv/import", &call).await.json().unwrap();
    let mut ask = ask("b", salt, &prompt());
    ask["kv_handle"] = got["handle"].clone();
    let (answer, cached) = text(engine.complete(&ask).await).await;
    (answer, cached, got["receipts"].clone())
}

fn right() -> String {
    fakes::expected("writer", "v1", &prompt(), 8)
}

#[tokio::test]
async fn right_blocks_keep_the_answer() {
    let (engine, store) = (Fake::engine("v1", 0).await, Fake::store().await);
    let sent = export(&engine, &store, "salt", &prompt(), "k").await;
    let (answer, cached, receipts) = import(&store, "salt", &pieces("k", 7)).await;
    assert_eq!((answer, cached), (right(), CACHED));
    assert_eq!(receipts, sent["receipts"]);
    // The engine's own cache serves the same salt only, and the salt leaves the answer alone.
    let again = text(engine.complete(&ask("r2", "salt", &prompt())).await).await;
    assert_eq!(again, (right(), CACHED));
    let other = text(engine.complete(&ask("r3", "other", &prompt())).await).await;
    assert_eq!(other, (right(), 0));
}

#[tokio::test]
async fn wrong_blocks_change_the_answer() {
    let (engine, store) = (Fake::engine("v1", 0).await, Fake::store().await);
    export(&engine, &store, "salt", &prompt(), "k").await;
    // Of another salt.
    assert_ne!(import(&store, "other", &pieces("k", 7)).await.0, right());
    // Of another generation.
    assert_ne!(import(&store, "salt", &pieces("k", 8)).await.0, right());
    // Of another place in the prompt.
    let mut swapped = pieces("k", 7);
    swapped.swap(0, 1);
    assert_ne!(import(&store, "salt", &swapped).await.0, right());
    // Of another prompt: only the first piece differs.
    let foreign = format!("X{}", &prompt()[1..]);
    export(&engine, &store, "salt", &foreign, "f").await;
    let mixed = [pieces("f", 7)[0].clone(), pieces("k", 7)[1].clone()];
    assert_ne!(import(&store, "salt", &mixed).await.0, right());
    // Of another weight version.
    let newer = Fake::engine("v2", 0).await;
    let mut call = ask("n", "salt", &prompt());
    call["weights"] = "v2".into();
    text(newer.complete(&call).await).await;
    let call = json!({"request_id": "n", "dest": store.url, "pieces": pieces("n", 7)});
    newer.post("/kv/export", &call).await;
    assert_ne!(import(&store, "salt", &pieces("n", 7)).await.0, right());
}

#[tokio::test]
async fn store_faults_change_the_answer() {
    let (engine, store) = (Fake::engine("v1", 0).await, Fake::store().await);
    let sent = export(&engine, &store, "salt", &prompt(), "k").await;
    store.faults(json!({"flip_bits": true}));
    let (answer, _, receipts) = import(&store, "salt", &pieces("k", 7)).await;
    assert_ne!(answer, right());
    assert_ne!(receipts, sent["receipts"], "receipts tell what was really read");
    store.faults(json!({"partial_writes": true}));
    export(&engine, &store, "salt", &prompt(), "half").await;
    store.faults(json!({}));
    assert_ne!(import(&store, "salt", &pieces("half", 7)).await.0, right());
    store.faults(json!({"evict_all": true}));
    let (answer, cached, _) = import(&store, "salt", &pieces("k", 7)).await;
    assert_eq!((answer, cached), (right(), 0), "what is not there is computed");
}

#[tokio::test]
async fn stale_generation_is_told() {
    let store = Fake::store().await;
    let engine = Fake::engine("v1", 0).await;
    export(&engine, &store, "salt", &prompt(), "k").await;
    let call = json!({"request_id": "k", "dest": store.url, "pieces": pieces("k", 8)});
    engine.post("/kv/export", &call).await;
    assert_eq!(import(&store, "salt", &pieces("k", 8)).await.0, right());
    store.faults(json!({"stale_generation": true}));
    let (answer, _, receipts) = import(&store, "salt", &pieces("k", 8)).await;
    assert_ne!(answer, right());
    assert_eq!(receipts[0]["generation"], 7);
}
