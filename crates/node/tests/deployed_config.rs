//! All instances apply an accepted configuration change within seconds, and it never reverts. The
//! tests change a team's prompt limit and read the limit from refusals of prompts that are too
//! long.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::Method;
use rig::{Deployment, Entry, STATE_LIMIT, Signal, Spec, wait_for};
use serde_json::{Value, json};

/// Longest time from the acceptance of a change until all instances apply it.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(12);

/// The prompt limit that an instance applies, read from its refusal of a prompt above all limits.
/// `None` if the instance names no limit, for example because it takes no work.
async fn limit(d: &Deployment, entry: &Entry) -> Option<u64> {
    limit_with_prompt(d, entry, 3_000_000).await
}

/// Like [`limit`], with a prompt of `len` bytes.
async fn limit_with_prompt(d: &Deployment, entry: &Entry, len: usize) -> Option<u64> {
    limit_or_answer(d, entry, len).await.ok()
}

/// The limit that an instance names, or the answer if it names none.
async fn limit_or_answer(d: &Deployment, entry: &Entry, len: usize) -> Result<u64, String> {
    let prompt = "x".repeat(len);
    let body = json!({"model": "writer", "prompt": prompt, "max_tokens": 1, "stream": true});
    let headers = [("authorization", "Bearer weddings-key")];
    let url = format!("{}/v1/completions", entry.instance.url());
    let bytes = bytes::Bytes::from(body.to_string());
    let reply = d.platform.http.send(Method::POST, &url, &headers, bytes).await;
    let reply = reply.map_err(|e| e.to_string())?;
    let problem: Value = reply.json().map_err(|e| format!("{}: {e}", reply.status))?;
    let detail = problem["detail"].as_str().unwrap_or_default();
    let limit = detail.rsplit("limit is ").next().and_then(|n| n.parse().ok());
    limit.ok_or_else(|| format!("{}: {problem}", reply.status))
}

async fn set_limit(d: &Deployment, entry: &Entry, limit: u64) -> Result<(), rig::RigError> {
    let edit = |doc: &mut Value| doc["params"]["limits"]["prompt"] = json!(limit);
    d.change(entry, "templates/inkline", edit).await
}

/// Waits until every instance applies the limit `wanted`. Checks that no limit decreases meanwhile.
async fn wait_applied(d: &Deployment, wanted: u64, since: Instant) {
    let mut seen = vec![0; d.entries.len()];
    loop {
        for (entry, seen) in d.entries.iter().zip(&mut seen) {
            if let Some(limit) = limit(d, entry).await {
                assert!(limit >= *seen, "{}: {limit} after {seen}", entry.name);
                *seen = limit;
            }
        }
        if seen.iter().all(|s| *s == wanted) {
            return;
        }
        assert!(
            since.elapsed() < STATE_LIMIT,
            "instances apply limits {seen:?} instead of {wanted}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_lose_no_accepted_change() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let mut accepted = Vec::new();
    for round in 0..6 {
        let base = 1000 + round * 10;
        let results = tokio::join!(
            set_limit(&d, &d.entries[0], base + 1),
            set_limit(&d, &d.entries[1], base + 2),
            set_limit(&d, &d.entries[2], base + 3),
        );
        let results = [(1, results.0), (2, results.1), (3, results.2)];
        let won: Vec<u64> =
            results.iter().filter(|(_, r)| r.is_ok()).map(|(i, _)| base + i).collect();
        assert!(!won.is_empty(), "at least one change is accepted in each round");
        for (_, lost) in results.iter().filter(|(_, r)| r.is_err()) {
            let text = lost.as_ref().unwrap_err().to_string();
            assert!(text.contains("412") || text.contains("409"), "{text}");
        }
        accepted.push(won.len());
        let revision = d.wait_same_revision().await.unwrap();
        let now = limit(&d, &d.entries[0]).await.unwrap();
        assert!(won.contains(&now), "{now} was not accepted last ({won:?}, r{revision})");
    }
}

/// Changes one limit of the template `inkline`. Returns whether the change was accepted.
async fn set_field(d: &Deployment, at: usize, field: &str, limit: u64) -> bool {
    let edit = |doc: &mut Value| doc["params"]["limits"][field] = json!(limit);
    d.change(&d.entries[at], "templates/inkline", edit).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_overwrite_no_accepted_change() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let fields = ["rate", "inflight", "tokens"];
    let mut wanted = [500, 200, 4096];
    let mut lost = 0;
    for round in 0..8 {
        let limit = 1000 + round;
        let accepted = tokio::join!(
            set_field(&d, 0, fields[0], limit),
            set_field(&d, 1, fields[1], limit),
            set_field(&d, 2, fields[2], limit),
        );
        let accepted = [accepted.0, accepted.1, accepted.2];
        lost += accepted.iter().filter(|a| !**a).count();
        for (wanted, _) in wanted.iter_mut().zip(accepted).filter(|(_, a)| *a) {
            *wanted = limit;
        }
        d.wait_same_revision().await.unwrap();
        for entry in &d.entries {
            let reply = d.admin(entry, Method::GET, "templates/inkline", &[], None).await.unwrap();
            let doc: Value = reply.json().unwrap();
            let limits = &doc["params"]["limits"];
            let now = fields.map(|f| limits[f].as_u64().unwrap());
            assert_eq!(now, wanted, "round {round} at {}", entry.name);
        }
    }
    assert!(lost > 0, "no change was refused, so the changes did not conflict");
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_applied_everywhere_within_seconds() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    for i in 1..=5 {
        set_limit(&d, &d.entries[i % 3], 1_001_000 + i as u64).await.unwrap();
        let accepted = Instant::now();
        wait_applied(&d, 1_001_000 + i as u64, accepted).await;
        assert!(
            accepted.elapsed() < MAX_PROPAGATION_TIME,
            "change {i} took {:?}",
            accepted.elapsed()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_instance_never_serves_with_an_old_revision() {
    let d = Arc::new(Deployment::start(&Spec::default()).await.unwrap());
    set_limit(&d, &d.entries[0], 1000).await.unwrap();
    d.wait_same_revision().await.unwrap();
    let frozen = &d.entries[2];
    frozen.instance.signal(Signal::Stop).unwrap();
    set_limit(&d, &d.entries[0], 2000).await.unwrap();
    tokio::time::sleep(MAX_PROPAGATION_TIME).await;
    // These requests wait in the sockets of the frozen instance. It reads them first when it
    // resumes, before any configuration. The prompt fits into a socket buffer.
    let waiting: Vec<_> = (0..20)
        .map(|_| {
            let d = d.clone();
            tokio::spawn(async move { limit_with_prompt(&d, &d.entries[2], 5000).await })
        })
        .collect();
    d.platform.faults(&d.platform.table, json!({"delay_ms": 1000})).await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    frozen.instance.signal(Signal::Cont).unwrap();
    // More than 12 s after the change it may refuse, but not apply the old limit.
    for waiting in waiting {
        let limit = waiting.await.unwrap();
        assert!(limit.is_none_or(|l| l == 2000), "served with an old revision: {limit:?}");
    }
    for _ in 0..20 {
        if let Some(limit) = limit(&d, frozen).await {
            assert_eq!(limit, 2000, "served with an old revision");
        }
    }
    d.platform.faults(&d.platform.table, json!({})).await.unwrap();
    wait_applied(&d, 2000, Instant::now()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_table_stops_no_work_and_reverts_nothing() {
    let mut d = Deployment::start(&Spec::default()).await.unwrap();
    set_limit(&d, &d.entries[0], 1_001_500).await.unwrap();
    wait_applied(&d, 1_001_500, Instant::now()).await;
    d.platform.faults(&d.platform.table, json!({"outage": true})).await.unwrap();
    // Longer than a confirmation of the configuration is valid.
    tokio::time::sleep(MAX_PROPAGATION_TIME).await;
    for entry in &d.entries {
        let answer = limit_or_answer(&d, entry, 3_000_000).await;
        assert_eq!(answer, Ok(1_001_500), "{} continues to serve", entry.name);
    }
    set_limit(&d, &d.entries[0], 1_001_600).await.unwrap_err();
    // An instance that starts in the outage has no configuration and takes no work.
    d.add_instance("entry-late", "regina").await.unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let late = d.entries.last().unwrap();
    let ready = d.platform.http.get(&format!("{}/readyz", late.instance.url())).await.unwrap();
    assert_eq!(ready.status.as_u16(), 503);
    d.platform.faults(&d.platform.table, json!({})).await.unwrap();
    d.wait_ready().await.unwrap();
    for entry in &d.entries {
        let answer = limit_or_answer(&d, entry, 3_000_000).await;
        assert_eq!(answer, Ok(1_001_500), "{}: no change was accepted in the outage", entry.name);
    }
    set_limit(&d, &d.entries[0], 1_001_700).await.unwrap();
    wait_applied(&d, 1_001_700, Instant::now()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_survives_the_loss_of_all_instances() {
    let mut d = Deployment::start(&Spec::default()).await.unwrap();
    set_limit(&d, &d.entries[0], 1234).await.unwrap();
    let accepted = d.wait_same_revision().await.unwrap();
    // Dropping the entries kills all instances.
    let gone: Vec<_> = d.entries.drain(..).collect();
    for entry in &gone {
        d.platform.delist(&entry.name).await.unwrap();
    }
    drop(gone);
    for i in 0..3 {
        d.add_instance(&format!("entry-new-{i}"), "regina").await.unwrap();
    }
    d.wait_ready().await.unwrap();
    assert_eq!(d.wait_same_revision().await.unwrap(), accepted);
    wait_for("the limit to be applied", STATE_LIMIT, || async {
        (limit(&d, &d.entries[1]).await? == 1234).then_some(())
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_name_the_field_and_the_reused_id() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let entry = &d.entries[0];
    let doc = |targets: Value| {
        let patch = json!({"targets": targets});
        json!({"name": "galas", "template": "inkline", "org": "inkline", "keys": [], "patch": patch})
    };
    let id = "00000000000000000000000000000001";
    let headers = [("if-none-match", "*"), ("change-id", id)];
    let put = async |name: &str, doc: Value| {
        let path = format!("teams/{name}");
        d.admin(entry, Method::PUT, &path, &headers, Some(&doc)).await.unwrap()
    };
    let refused = put("galas", doc(json!(["nowhere"]))).await;
    assert_eq!(refused.status.as_u16(), 422);
    assert!(refused.text().contains("\"patch.targets"), "{}", refused.text());
    assert_eq!(put("galas", doc(json!([]))).await.status.as_u16(), 201);
    let mut other = doc(json!([]));
    other["name"] = json!("balls");
    let reused = put("balls", other).await;
    assert_eq!(reused.status.as_u16(), 409, "{}", reused.text());
    assert!(reused.text().contains("id-reused"), "{}", reused.text());
}
