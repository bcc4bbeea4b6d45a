//! A caller that goes away leaves nothing behind: no load counted at a replica, no place held.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rig::{Deployment, STATE_LIMIT, Spec, wait_for};
use serde_json::{Value, json};
use tokio::time::timeout;

/// Callers that go away.
const CALLERS: usize = 24;
/// When they do: before the engine has answered anything.
const GONE_AFTER: Duration = Duration::from_millis(400);

/// Work that instances count as in progress, by their own word.
async fn counted(d: &Deployment) -> Option<u64> {
    let mut sum = 0;
    for entry in &d.entries {
        let status: Value = d.status(entry).await.ok()?;
        let replicas = status["replicas"].as_array()?;
        sum += status["running"].as_u64()?;
        sum += replicas.iter().filter_map(|r| r["running"].as_u64()).sum::<u64>();
    }
    Some(sum)
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_go_away_leave_no_load() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    for name in ["inkline-writer-1", "inkline-writer-2"] {
        let engine = d.platform.proc(name).unwrap();
        d.platform.faults(engine, json!({"delay_ms": 1200})).await.unwrap();
    }
    let headers = [("authorization", "Bearer weddings-key")];
    for i in 0..CALLERS {
        let prompt = format!("Caption {i}");
        let body = json!({"model": "writer", "prompt": prompt, "max_tokens": 4, "stream": true});
        let url = format!("{}/v1/completions", d.entries[i % 3].instance.url());
        let http = rig::Http::new();
        let call = http.send(Method::POST, &url, &headers, Bytes::from(body.to_string()));
        assert!(timeout(GONE_AFTER, call).await.is_err(), "the engine is slower than that");
    }
    for name in ["inkline-writer-1", "inkline-writer-2"] {
        let engine = d.platform.proc(name).unwrap();
        d.platform.faults(engine, json!({})).await.unwrap();
    }
    wait_for("nothing to be in progress", STATE_LIMIT, || async {
        (counted(&d).await? == 0).then_some(())
    })
    .await
    .unwrap();
}
