//! After callers cancel their requests, instances count no load for them and hold no place in the
//! concurrency limit.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rig::{Deployment, STATE_LIMIT, Spec, wait_for};
use serde_json::{Value, json};
use tokio::time::timeout;

/// Number of callers that cancel a request.
const CALLERS: usize = 24;
/// Time after which callers cancel; shorter than the engine takes to answer.
const CANCEL_AFTER: Duration = Duration::from_millis(400);

/// Sum of the requests in progress that all instances report, in total and for each replica; 0 if
/// there are none. A request at a replica counts twice.
async fn count_in_progress(d: &Deployment) -> Option<u64> {
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
async fn cancelled_requests_leave_no_load() {
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
        assert!(
            timeout(CANCEL_AFTER, call).await.is_err(),
            "the engine answered before the request was cancelled"
        );
    }
    for name in ["inkline-writer-1", "inkline-writer-2"] {
        let engine = d.platform.proc(name).unwrap();
        d.platform.faults(engine, json!({})).await.unwrap();
    }
    wait_for("no request to be in progress", STATE_LIMIT, || async {
        (count_in_progress(&d).await? == 0).then_some(())
    })
    .await
    .unwrap();
}
