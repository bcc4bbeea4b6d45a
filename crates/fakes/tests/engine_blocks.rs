//! An engine's answer is the expected one only if each imported block is the right one and intact.

mod common;

use common::{Fake, completion_request, prompt, text};
use serde_json::{Value, json};

/// Tokens of the four complete pieces of the prompt.
const CACHED_TOKENS: u64 = 4 * 256;

fn pieces(key: &str, generation: u64) -> Vec<Value> {
    (0..4)
        .map(|i| json!({"index": i, "key": format!("{key}{i}"), "generation": generation}))
        .collect()
}

/// Runs a request and exports its four pieces under keys that begin with `key`. Returns the answer
/// of the export.
async fn export(engine: &Fake, store: &Fake, salt: &str, prompt: &str, key: &str) -> Value {
    let stream = engine.complete(&completion_request(key, salt, prompt)).await;
    text(stream).await;
    let call = json!({"request_id": key, "dest": store.url, "pieces": pieces(key, 7)});
    engine.post("/kv/export", &call).await.json().unwrap()
}

/// Imports pieces into a new engine and runs the prompt. Returns the answer, the number of cached
/// tokens and the receipts of the import.
async fn import(store: &Fake, salt: &str, pieces: &[Value]) -> (String, u64, Value) {
    let engine = Fake::engine("v1", 0).await;
    let call = json!({"request_id": "b", "weights": "v1", "cache_salt": salt,
        "source": store.url, "pieces": pieces});
    let got: Value = engine.post("/kv/import", &call).await.json().unwrap();
    let mut request = completion_request("b", salt, &prompt());
    request["kv_handle"] = got["handle"].clone();
    let (answer, cached) = text(engine.complete(&request).await).await;
    (answer, cached, got["receipts"].clone())
}

fn expected_answer() -> String {
    fakes::expected("writer", "v1", &prompt(), 8)
}

#[tokio::test]
async fn correct_blocks_give_expected_answer() {
    let (engine, store) = (Fake::engine("v1", 0).await, Fake::store().await);
    let sent = export(&engine, &store, "salt", &prompt(), "k").await;
    let (answer, cached, receipts) = import(&store, "salt", &pieces("k", 7)).await;
    assert_eq!((answer, cached), (expected_answer(), CACHED_TOKENS));
    assert_eq!(receipts, sent["receipts"]);
    // The engine's own cache serves only requests with the same salt. The salt does not change the
    // answer.
    let again = text(engine.complete(&completion_request("r2", "salt", &prompt())).await).await;
    assert_eq!(again, (expected_answer(), CACHED_TOKENS));
    let other = text(engine.complete(&completion_request("r3", "other", &prompt())).await).await;
    assert_eq!(other, (expected_answer(), 0));
}

#[tokio::test]
async fn wrong_blocks_change_the_answer() {
    let (engine, store) = (Fake::engine("v1", 0).await, Fake::store().await);
    export(&engine, &store, "salt", &prompt(), "k").await;
    // The blocks have another salt.
    assert_ne!(import(&store, "other", &pieces("k", 7)).await.0, expected_answer());
    // The blocks have another generation.
    assert_ne!(import(&store, "salt", &pieces("k", 8)).await.0, expected_answer());
    // Two blocks are swapped.
    let mut swapped = pieces("k", 7);
    swapped.swap(0, 1);
    assert_ne!(import(&store, "salt", &swapped).await.0, expected_answer());
    // The first block belongs to another prompt, of which only the first piece differs.
    let foreign = format!("X{}", &prompt()[1..]);
    export(&engine, &store, "salt", &foreign, "f").await;
    let mixed = [pieces("f", 7)[0].clone(), pieces("k", 7)[1].clone()];
    assert_ne!(import(&store, "salt", &mixed).await.0, expected_answer());
    // The blocks belong to another weights version.
    let newer = Fake::engine("v2", 0).await;
    let mut call = completion_request("n", "salt", &prompt());
    call["weights"] = "v2".into();
    text(newer.complete(&call).await).await;
    let call = json!({"request_id": "n", "dest": store.url, "pieces": pieces("n", 7)});
    newer.post("/kv/export", &call).await;
    assert_ne!(import(&store, "salt", &pieces("n", 7)).await.0, expected_answer());
}

#[tokio::test]
async fn store_faults_change_the_answer() {
    let (engine, store) = (Fake::engine("v1", 0).await, Fake::store().await);
    let sent = export(&engine, &store, "salt", &prompt(), "k").await;
    store.set_faults(json!({"flip_bits": true}));
    let (answer, _, receipts) = import(&store, "salt", &pieces("k", 7)).await;
    assert_ne!(answer, expected_answer());
    assert_ne!(receipts, sent["receipts"], "receipts must describe the bytes that were read");
    store.set_faults(json!({"partial_writes": true}));
    export(&engine, &store, "salt", &prompt(), "half").await;
    store.set_faults(json!({}));
    assert_ne!(import(&store, "salt", &pieces("half", 7)).await.0, expected_answer());
    store.set_faults(json!({"evict_all": true}));
    let (answer, cached, _) = import(&store, "salt", &pieces("k", 7)).await;
    assert_eq!((answer, cached), (expected_answer(), 0), "missing pieces must be computed");
}

#[tokio::test]
async fn stale_generation_is_reported() {
    let store = Fake::store().await;
    let engine = Fake::engine("v1", 0).await;
    export(&engine, &store, "salt", &prompt(), "k").await;
    let call = json!({"request_id": "k", "dest": store.url, "pieces": pieces("k", 8)});
    engine.post("/kv/export", &call).await;
    assert_eq!(import(&store, "salt", &pieces("k", 8)).await.0, expected_answer());
    store.set_faults(json!({"stale_generation": true}));
    let (answer, _, receipts) = import(&store, "salt", &pieces("k", 8)).await;
    assert_ne!(answer, expected_answer());
    assert_eq!(receipts[0]["generation"], 7);
}
