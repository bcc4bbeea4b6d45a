//! A call to a service runs at most once, and a call reported as not run did not run. The tests
//! read the log of the service to check this.

use std::time::Duration;

use rig::{Deployment, Entry, Reply, STATE_LIMIT, Signal, Spec, wait_for};
use serde_json::{Value, json};

const SERVICE: &str = "inkline-desk-1";
const BODY: &str = r#"{"artist":"7","amount":120}"#;

async fn call(d: &Deployment, entry: &Entry, key: &str) -> Reply {
    d.call(entry, "weddings", "inkline-desk", key, BODY).await.unwrap()
}

/// Whether the call ran, by the answer: `yes`, `no` or `unknown`.
fn ran(reply: &Reply) -> String {
    match reply.status.is_success() {
        true => "yes".to_owned(),
        false => reply.json::<Value>().unwrap()["ran"].as_str().unwrap().to_owned(),
    }
}

async fn service_faults(d: &Deployment, faults: Value) {
    d.platform.faults(d.platform.proc(SERVICE).unwrap(), faults).await.unwrap();
}

/// Sets the faults of the table service; `{}` ends all faults.
async fn table_faults(d: &Deployment, faults: Value) {
    d.platform.faults(&d.platform.table, faults).await.unwrap();
}

/// Number of calls with this key that the service ran.
async fn runs(d: &Deployment, key: &str) -> usize {
    d.runs(SERVICE, key).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_all_instances_runs_once() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    for i in 0..20 {
        let key = format!("key-{i}");
        let (a, b, c) = tokio::join!(
            call(&d, &d.entries[0], &key),
            call(&d, &d.entries[1], &key),
            call(&d, &d.entries[2], &key),
        );
        let replies = [a, b, c];
        assert_eq!(runs(&d, &key).await, 1, "{key}");
        let succeeded: Vec<_> = replies.iter().filter(|r| r.status.is_success()).collect();
        assert!(!succeeded.is_empty(), "no caller got the outcome of {key}");
        assert!(succeeded.iter().all(|r| r.body == succeeded[0].body), "{key}: one outcome");
        for reply in replies.iter().filter(|r| !r.status.is_success()) {
            assert_eq!((reply.status.as_u16(), &*ran(reply)), (409, "unknown"), "{key}");
        }
        let later = call(&d, &d.entries[0], &key).await;
        assert_eq!(
            (later.status.as_u16(), &later.body),
            (200, &succeeded[0].body),
            "{key} repeated"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn another_body_under_one_key_is_refused() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    assert_eq!(call(&d, &d.entries[0], "key").await.status.as_u16(), 200);
    let other = d.call(&d.entries[1], "weddings", "inkline-desk", "key", "{}").await.unwrap();
    assert_eq!(other.status.as_u16(), 422);
    // The same key of another team is a separate key.
    let team = d.call(&d.entries[1], "fairs", "inkline-desk", "key", BODY).await.unwrap();
    assert_eq!(team.status.as_u16(), 200);
    assert_eq!(runs(&d, "key").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_that_may_have_been_cut_is_not_framed() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    service_faults(&d, json!({"unframed": 1})).await;
    let framed = |r: &Reply| r.header("content-length").or(r.header("transfer-encoding")).is_some();
    let first = call(&d, &d.entries[0], "key").await;
    assert_eq!((first.status.as_u16(), framed(&first)), (200, false));
    let again = call(&d, &d.entries[1], "key").await;
    assert_eq!((&again.body, framed(&again)), (&first.body, false));
    let other = call(&d, &d.entries[0], "other").await;
    assert_eq!((other.status.as_u16(), framed(&other)), (200, true));
    assert_eq!(runs(&d, "key").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_call_did_not_run_and_may_be_repeated() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    service_faults(&d, json!({"refuse": true})).await;
    let refused = call(&d, &d.entries[0], "key").await;
    assert_eq!((refused.status.as_u16(), &*ran(&refused)), (503, "no"));
    assert!(refused.header("retry-after").is_some());
    assert_eq!(runs(&d, "key").await, 0);
    service_faults(&d, json!({})).await;
    assert_eq!(call(&d, &d.entries[1], "key").await.status.as_u16(), 200);
    assert_eq!(runs(&d, "key").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_connection_breaks_is_unknown_and_never_runs_again() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    for (key, faults, ran_once) in
        [("before", json!({"cut_before_run": 1}), 0), ("after", json!({"cut_after_run": 1}), 1)]
    {
        service_faults(&d, faults).await;
        let broken = call(&d, &d.entries[0], key).await;
        assert_eq!((broken.status.as_u16(), &*ran(&broken)), (502, "unknown"), "{key}");
        service_faults(&d, json!({})).await;
        for entry in &d.entries {
            let again = call(&d, entry, key).await;
            assert_eq!(ran(&again), "unknown", "{key}");
        }
        assert_eq!(runs(&d, key).await, ran_once, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_call_is_sent_without_a_claim() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    table_faults(&d, json!({"outage": true})).await;
    let refused = call(&d, &d.entries[0], "key").await;
    assert_eq!(refused.status.as_u16(), 503);
    assert_eq!(runs(&d, "key").await, 0);
    table_faults(&d, json!({})).await;
    assert_eq!(call(&d, &d.entries[1], "key").await.status.as_u16(), 200);
    assert_eq!(runs(&d, "key").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_table_run_nothing_twice() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    for i in 0..12 {
        let key = format!("key-{i}");
        table_faults(&d, json!({"lose_answers": 1 + i % 4})).await;
        let first = call(&d, &d.entries[i % 3], &key).await;
        table_faults(&d, json!({})).await;
        let count = runs(&d, &key).await;
        assert!(count <= 1, "{key} ran {count} times");
        match &*ran(&first) {
            "no" => assert_eq!(count, 0, "{key}"),
            "yes" => assert_eq!(count, 1, "{key}"),
            _ => {}
        }
        let later = wait_for(
            "the outcome of the key to be known or unknown for good",
            STATE_LIMIT,
            || async {
                let later = call(&d, &d.entries[(i + 1) % 3], &key).await;
                (later.status.is_success() || ran(&later) == "unknown").then_some(later)
            },
        )
        .await
        .unwrap();
        let count = runs(&d, &key).await;
        assert!(count <= 1, "{key} ran {count} times");
        assert!(!later.status.is_success() || count == 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_survives_an_outage_of_the_table() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    service_faults(&d, json!({"stall_ms": 1500})).await;
    let (first, ()) = tokio::join!(call(&d, &d.entries[0], "key"), async {
        wait_for("the call to run", STATE_LIMIT, || async {
            (runs(&d, "key").await == 1).then_some(())
        })
        .await
        .unwrap();
        table_faults(&d, json!({"outage": true})).await;
    });
    assert_eq!(first.status.as_u16(), 200, "the caller gets its answer despite the outage");
    table_faults(&d, json!({})).await;
    let later = wait_for("the outcome to be stored", STATE_LIMIT, || async {
        let later = call(&d, &d.entries[1], "key").await;
        later.status.is_success().then_some(later)
    })
    .await
    .unwrap();
    assert_eq!(later.body, first.body);
    assert_eq!(runs(&d, "key").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_holder_and_a_second_caller_run_once() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    for i in 0..6_u64 {
        let key = format!("key-{i}");
        table_faults(&d, json!({"delay_ms": 300})).await;
        let holder = &d.entries[0];
        let (first, second) = tokio::join!(call(&d, holder, &key), async {
            // Freezes the holder before, while or after the claim is written.
            tokio::time::sleep(Duration::from_millis(100 * i)).await;
            holder.instance.signal(Signal::Stop).unwrap();
            tokio::time::sleep(Duration::from_millis(400)).await;
            table_faults(&d, json!({})).await;
            let second = call(&d, &d.entries[1], &key).await;
            // Longer than a holder may wait between its claim and the send.
            tokio::time::sleep(Duration::from_millis(5500)).await;
            holder.instance.signal(Signal::Cont).unwrap();
            second
        });
        let count = runs(&d, &key).await;
        assert!(count <= 1, "{key} ran {count} times");
        if ran(&first) == "no" && ran(&second) == "no" {
            assert_eq!(count, 0, "{key}");
        }
        if first.status.is_success() && second.status.is_success() {
            assert_eq!(first.body, second.body, "{key}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_holders_run_nothing_twice() {
    let mut d = Deployment::start(&Spec::default()).await.unwrap();
    service_faults(&d, json!({"stall_ms": 60})).await;
    let mut unknown = 0;
    for i in 0..10 {
        let key = format!("key-{i}");
        let victim = d.entries.remove(0);
        let attempt = d.call(&victim, "weddings", "inkline-desk", &key, BODY);
        let (first, ()) = tokio::join!(attempt, async {
            tokio::time::sleep(Duration::from_millis(8 * i)).await;
            victim.instance.signal(Signal::Kill).unwrap();
        });
        let second = call(&d, &d.entries[0], &key).await;
        let count = runs(&d, &key).await;
        assert!(count <= 1, "{key} ran {count} times");
        assert!(!second.status.is_success() || count == 1, "{key}");
        unknown += usize::from(first.is_err() && ran(&second) == "unknown");
        let (name, zone) = (format!("entry-new-{i}"), victim.zone.clone());
        d.add_instance(&name, &zone).await.unwrap();
        d.wait_ready().await.unwrap();
    }
    println!("{unknown} of 10 killed holders left a call with unknown outcome");
}

/// Freezes the instance that claims a call after each of `delays_ms`, for longer than it may wait
/// between its claim and the send. Checks that it sends nothing after it resumes. The table answers
/// the claim after 300 ms.
async fn check_no_late_send(delays_ms: &[u64]) {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    for delay_ms in delays_ms {
        let key = format!("key-{delay_ms}");
        table_faults(&d, json!({"delay_ms": 300})).await;
        let holder = &d.entries[0];
        let (_, (second, before)) = tokio::join!(call(&d, holder, &key), async {
            tokio::time::sleep(Duration::from_millis(*delay_ms)).await;
            holder.instance.signal(Signal::Stop).unwrap();
            tokio::time::sleep(Duration::from_millis(400)).await;
            table_faults(&d, json!({})).await;
            let second = call(&d, &d.entries[1], &key).await;
            // Longer than a holder may wait between its claim and the send.
            tokio::time::sleep(Duration::from_millis(5500)).await;
            let before = runs(&d, &key).await;
            holder.instance.signal(Signal::Cont).unwrap();
            (second, before)
        });
        let not_sent_yet = ran(&second) == "unknown" && before == 0;
        assert!(!not_sent_yet || runs(&d, &key).await == 0, "the call of {key} was sent too late");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_answered_too_late_is_not_sent() {
    check_no_late_send(&[0, 50, 100]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_frozen_at_any_moment_sends_nothing_late() {
    check_no_late_send(&[200, 300, 310, 320, 400, 500]).await;
}
