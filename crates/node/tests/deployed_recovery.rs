//! A long outage of the table service and the object store. Completions continue, calls and changes
//! are refused with a retry delay, and recovery does not overload the platform.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::Method;
use rig::{Completion, Deployment, Reply, STATE_LIMIT, Spec, wait_for};
use serde_json::{Value, json};
use tokio::time::sleep;

const SERVICE: &str = "inkline-desk-1";
/// Length of the outage; longer than a confirmation of the configuration is valid.
const OUTAGE_DURATION: Duration = Duration::from_secs(15);
/// Longest time from the end of the outage until all operations work again.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Longest time until a request that needs the table is refused.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(3);
/// Pause between two calls through one instance.
const CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Calls that begin within this time after the start of the outage are not checked, since the
/// outage may start while they are in progress.
const OUTAGE_START_MARGIN: Duration = Duration::from_secs(1);
/// Number of instances in the largest supported deployment.
const MAX_INSTANCES: u64 = 320;
/// Reads of the table per second allowed to all of them together.
const MAX_READS: u64 = 2000;
/// Writes of the table per second allowed to all of them together.
const MAX_WRITES: u64 = 300;
/// Maximum number of table writes for one call: its claim, its outcome and one retry of either.
const MAX_CALL_WRITES: u64 = 3;

/// A call, its answer and the times when it began and ended.
struct CallAttempt {
    key: String,
    entry: usize,
    began: Instant,
    ended: Instant,
    reply: Reply,
}

impl CallAttempt {
    fn ok(&self) -> bool {
        self.reply.status.is_success()
    }

    fn ran(&self) -> String {
        let problem: Value = self.reply.json().unwrap();
        problem["ran"].as_str().unwrap_or_default().to_owned()
    }
}

fn spec() -> Spec {
    let names = ["entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6"];
    let zones = ["regina", "saskatoon"];
    let instances = names.iter().enumerate().map(|(i, n)| (*n, zones[i % 2])).collect();
    Spec { instances, ..Spec::default() }
}

/// Injects faults into the table service and the object store.
async fn platform_faults(d: &Deployment, faults: Value) {
    let (table, objects) = (&d.platform.table, &d.platform.objects);
    let set = tokio::join!(
        d.platform.faults(table, faults.clone()),
        d.platform.faults(objects, faults.clone())
    );
    set.0.unwrap();
    set.1.unwrap();
}

/// Sends calls through one instance, each with its own key, until `stop` is set.
async fn calls(d: Arc<Deployment>, entry: usize, stop: Arc<AtomicBool>) -> Vec<CallAttempt> {
    let mut out = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let (key, began) = (format!("key-{entry}-{}", out.len()), Instant::now());
        let at = &d.entries[entry];
        let reply = d.call(at, "weddings", "inkline-desk", &key, "{}").await.unwrap();
        out.push(CallAttempt { key, entry, began, ended: Instant::now(), reply });
        sleep(CALL_INTERVAL).await;
    }
    out
}

/// Requests completions one after the other until `stop` is set. Returns when each began.
async fn completions(d: Arc<Deployment>, zone: &str, stop: Arc<AtomicBool>) -> Vec<Instant> {
    let caller = d.caller("weddings", zone);
    let mut out = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let prompt = format!("{}Guest {}?", "The brief of the gala. ".repeat(50), out.len());
        let request = Completion {
            model: "writer".to_owned(),
            prompt,
            tokens: 20,
            context: format!("brief-{zone}"),
            batch: false,
        };
        out.push(Instant::now());
        let answer = caller.complete(&request).await.unwrap();
        let wanted =
            fakes::expected(&request.model, &answer.weights, &request.prompt, request.tokens);
        assert_eq!(answer.text, wanted);
    }
    out
}

/// Samples the table's total reads and writes every 100 ms until `stop` is set.
async fn sample_operations(d: Arc<Deployment>, stop: Arc<AtomicBool>) -> Vec<(Instant, u64, u64)> {
    let mut out = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let stats = d.platform.stats(&d.platform.table).await.unwrap();
        let total = |name: &str| stats[name]["total"].as_u64().unwrap_or_default();
        out.push((Instant::now(), total("reads"), total("writes")));
        sleep(Duration::from_millis(100)).await;
    }
    out
}

/// Maximum reads, writes and calls in progress within any one second.
fn peaks(samples: &[(Instant, u64, u64)], attempts: &[CallAttempt]) -> (u64, u64, u64) {
    let second = Duration::from_secs(1);
    let (mut reads, mut writes, mut calls) = (0, 0, 0);
    for (at, r, w) in samples {
        // Samples may be further apart on a busy machine; a window has at least two of them.
        let within = samples.iter().filter(|s| s.0 >= *at && s.0 <= *at + second);
        for (end, r2, w2) in within {
            reads = reads.max(r2 - r);
            writes = writes.max(w2 - w);
            let in_progress = attempts.iter().filter(|t| t.ended >= *at && t.began <= *end).count();
            calls = calls.max(in_progress as u64);
        }
    }
    (reads, writes, calls)
}

/// Sends a change of the prompt limit to an instance and returns the answer.
async fn change(d: &Deployment, entry: usize, limit: u64) -> Reply {
    let (entry, path) = (&d.entries[entry], "templates/inkline");
    let reply = d.admin(entry, Method::GET, path, &[], None).await.unwrap();
    let etag = reply.header("etag").unwrap().to_owned();
    let mut doc: Value = reply.json().unwrap();
    doc["params"]["limits"]["prompt"] = json!(limit);
    let id = ident::Digest::of(format!("{limit} {etag}").as_bytes()).to_string();
    let headers = [("if-match", &*etag), ("change-id", &*id)];
    d.admin(entry, Method::PUT, path, &headers, Some(&doc)).await.unwrap()
}

/// Checks the answers of the calls against the time of the outage and the log of the service.
async fn check_calls(d: &Deployment, attempts: &[CallAttempt], (from, to): (Instant, Instant)) {
    let within = |t: &&CallAttempt| t.began > from + OUTAGE_START_MARGIN && t.ended < to;
    let refused: Vec<_> = attempts.iter().filter(within).collect();
    assert!(refused.len() >= 6, "at least 6 calls were sent in the outage");
    for t in &refused {
        // The call is not sent. The answer says "unknown", since the instance can't read whether an
        // earlier attempt ran.
        let problem: Value = t.reply.json().unwrap();
        let kind = problem["type"].as_str().unwrap().rsplit(':').next().unwrap();
        assert!(["claim-unread", "not-claimed"].contains(&kind), "{}: {problem}", t.key);
        assert_eq!(t.reply.status.as_u16(), 503, "{}", t.key);
        let retry_after: Option<u64> = t.reply.header("retry-after").and_then(|v| v.parse().ok());
        assert!(retry_after.is_some_and(|s| s > 0), "the refusal of {} has a retry delay", t.key);
        assert!(t.ended - t.began < MAX_REFUSAL_TIME, "{} took {:?}", t.key, t.ended - t.began);
    }
    let log = d.platform.log(d.platform.proc(SERVICE).unwrap()).await.unwrap();
    for t in attempts {
        let runs = log.iter().filter(|call| call["key"] == *t.key).count();
        match t.ok() {
            true => assert_eq!(runs, 1, "{}", t.key),
            false if t.ran() == "no" => assert_eq!(runs, 0, "{}", t.key),
            false => assert!(runs <= 1, "{}", t.key),
        }
    }
    for t in refused {
        assert_eq!(log.iter().filter(|call| call["key"] == *t.key).count(), 0, "{}", t.key);
    }
    for entry in 0..d.entries.len() {
        let ok = |t: &&CallAttempt| t.entry == entry && t.ok() && t.began >= to;
        let first = attempts.iter().find(ok).unwrap_or_else(|| {
            panic!("no call through instance {entry} succeeded after the outage")
        });
        assert!(first.ended - to < MAX_RECOVERY_TIME, "calls at {entry}: {:?}", first.ended - to);
        println!("calls run at instance {entry} after {:?}", first.ended - to);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn recovery_from_a_long_outage_does_not_overload_the_table() {
    let d = Arc::new(Deployment::start(&spec()).await.unwrap());
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6).map(|i| tokio::spawn(calls(d.clone(), i, stop.clone()))).collect();
    let readers =
        ["regina", "saskatoon"].map(|z| tokio::spawn(completions(d.clone(), z, stop.clone())));
    sleep(Duration::from_secs(2)).await;

    platform_faults(&d, json!({"outage": true})).await;
    let from = Instant::now();
    sleep(OUTAGE_DURATION - Duration::from_secs(3)).await;
    let asked = Instant::now();
    let refused = change(&d, 0, 1_002_000).await;
    // The table may have written the change despite its error, so the outcome is unknown.
    assert_eq!(refused.status.as_u16(), 504, "{}", refused.text());
    let problem: Value = refused.json().unwrap();
    assert!(problem["change"].is_string(), "the answer names the change id for a retry: {problem}");
    assert!(problem["retry_after_ms"].as_u64().is_some_and(|ms| ms > 0), "{problem}");
    assert!(asked.elapsed() < MAX_REFUSAL_TIME, "refused after {:?}", asked.elapsed());
    sleep(OUTAGE_DURATION.saturating_sub(from.elapsed())).await;

    let to = Instant::now();
    let sampler = tokio::spawn(sample_operations(d.clone(), stop.clone()));
    platform_faults(&d, json!({})).await;
    let before = d.status(&d.entries[3]).await.unwrap()["rev"].clone();
    let accepted = wait_for("the change to be accepted", STATE_LIMIT, || async {
        change(&d, 3, 1_002_000).await.status.is_success().then(Instant::now)
    })
    .await
    .unwrap();
    let revision = d.wait_same_revision().await.unwrap();
    let applied_at = Instant::now();
    println!(
        "accepted after {:?}, everywhere (r{revision}) after {:?}",
        accepted - to,
        applied_at - to
    );
    assert_ne!(d.status(&d.entries[0]).await.unwrap()["rev"], before);
    assert!(applied_at - to < MAX_RECOVERY_TIME, "applied everywhere after {:?}", applied_at - to);
    sleep(MAX_RECOVERY_TIME.saturating_sub(to.elapsed())).await;

    stop.store(true, Ordering::Relaxed);
    let mut attempts = Vec::new();
    for task in callers {
        attempts.extend(task.await.unwrap());
    }
    for task in readers {
        let began = task.await.unwrap();
        let in_outage =
            began.iter().filter(|b| **b > from + OUTAGE_START_MARGIN && **b < to).count();
        println!("{in_outage} completions in the outage");
        assert!(in_outage > 5, "completions continue in the outage");
    }
    check_calls(&d, &attempts, (from, to)).await;
    let url = format!("{}/metrics", d.entries[0].instance.url());
    let metrics = d.platform.http.get(&url).await.unwrap().text();
    for result in ["ok", "unknown"] {
        let labels = format!("{{operation=\"commit\",result=\"{result}\"}}");
        assert!(metrics.contains(&format!("lentil_table_operations_total{labels}")), "{metrics}");
    }
    let (reads, writes, calls) = peaks(&sampler.await.unwrap(), &attempts);
    println!("most in a second after the outage: {reads} reads, {writes} writes, {calls} calls");
    let share = |total: u64| (total * 6).div_ceil(MAX_INSTANCES);
    assert!(reads <= share(MAX_READS) + calls, "{reads} reads, {calls} calls");
    assert!(
        writes <= share(MAX_WRITES) + MAX_CALL_WRITES * calls,
        "{writes} writes, {calls} calls"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_table_loses_no_call_and_no_change() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let faults = json!({"delay_ms": 1000});
    d.platform.faults(&d.platform.table, faults).await.unwrap();
    for i in 0..6 {
        let (key, entry) = (format!("slow-{i}"), &d.entries[i % 3]);
        let reply = d.call(entry, "weddings", "inkline-desk", &key, "{}").await.unwrap();
        let runs = d.runs(SERVICE, &key).await.unwrap();
        assert_eq!((reply.status.as_u16(), runs), (200, 1), "{key}: {}", reply.text());
    }
    assert!(change(&d, 1, 1_004_000).await.status.is_success());
    let accepted = Instant::now();
    d.wait_same_revision().await.unwrap();
    assert!(accepted.elapsed() < MAX_RECOVERY_TIME, "applied after {:?}", accepted.elapsed());
    for entry in &d.entries {
        let status = d.status(entry).await.unwrap();
        assert_eq!(status["phase"], "serving", "{status}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_table_run_nothing_twice() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    for i in 0..12 {
        let (key, entry) = (format!("lost-{i}"), &d.entries[i % 3]);
        d.platform.faults(&d.platform.table, json!({"lose_answers": 1 + i % 3})).await.unwrap();
        let reply = d.call(entry, "weddings", "inkline-desk", &key, "{}").await.unwrap();
        let runs = d.runs(SERVICE, &key).await.unwrap();
        if reply.status.is_success() {
            assert_eq!(runs, 1, "{key}");
        } else {
            let problem: Value = reply.json().unwrap();
            assert!(runs == 0 || (runs == 1 && problem["ran"] != "no"), "{key}: {problem}");
        }
    }
    d.platform.faults(&d.platform.table, json!({})).await.unwrap();
    for i in 0..12 {
        let (key, entry) = (format!("lost-{i}"), &d.entries[(i + 1) % 3]);
        // A lost answer may leave a claim. Whatever the answer is now, the call must not run twice.
        d.call(entry, "weddings", "inkline-desk", &key, "{}").await.unwrap();
        assert!(d.runs(SERVICE, &key).await.unwrap() <= 1, "{key}");
    }
}
