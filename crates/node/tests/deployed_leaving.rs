//! A target that is leaving gets no new work after a few seconds, whoever says so.

use std::time::{Duration, Instant};

use rig::{Completion, Deployment, Spec};
use serde_json::{Value, json};

const REPLICA: &str = "inkline-writer-1";
/// "A few seconds": the longest time from the word to the last new request.
const FEW_SECONDS: Duration = Duration::from_secs(5);
/// Requests sent after that time.
const LATER: usize = 12;

fn ask(i: usize) -> Completion {
    Completion {
        model: "writer".to_owned(),
        prompt: format!("Caption for guest {i}"),
        tokens: 4,
        context: format!("guest-{i}"),
        batch: false,
    }
}

/// Requests the replica ran so far, and those that the instances chose it for, which it may have
/// refused.
async fn sent(d: &Deployment) -> (usize, usize) {
    let log = d.platform.log(d.platform.proc(REPLICA).unwrap()).await.unwrap();
    let ran = log.iter().filter(|e| e["run"].is_string()).count();
    let routed = d.events("routed").await.unwrap();
    (ran, routed.iter().filter(|e| e["kind"]["replica"] == REPLICA).count())
}

/// Lets `tell` say that the replica leaves, waits a few seconds under load, and checks that no
/// request goes there afterwards and none fails.
async fn no_new_work_after<F>(d: &Deployment, tell: F)
where
    F: AsyncFnOnce(&Deployment),
{
    let caller = d.caller("weddings", "regina");
    for i in 0..LATER {
        caller.complete(&ask(i)).await.unwrap();
    }
    let (ran, routed) = sent(d).await;
    assert!(ran > 0 && routed >= ran, "the replica is in use: {ran} of {routed}");
    tell(d).await;
    let told = Instant::now();
    let mut i = 0;
    while told.elapsed() < FEW_SECONDS {
        caller.complete(&ask(i)).await.unwrap();
        i += 1;
    }
    let before = sent(d).await;
    for i in 0..LATER {
        caller.complete(&ask(i)).await.unwrap();
    }
    assert_eq!(sent(d).await, before, "new work after {FEW_SECONDS:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_replica_says_so_itself() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    no_new_work_after(&d, async |d| {
        let engine = d.platform.proc(REPLICA).unwrap();
        d.platform.faults(engine, json!({"leaving": true})).await.unwrap();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_operator_says_so() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    no_new_work_after(&d, async |d| {
        let withdraw = |doc: &mut Value| doc["withdrawn"] = json!([REPLICA]);
        d.change(&d.entries[1], "targets/inkline-writer", withdraw).await.unwrap();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_list_says_so() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    no_new_work_after(&d, async |d| {
        let addr = d.platform.proc(REPLICA).unwrap().addr().to_string();
        let labels = [
            ("name", REPLICA),
            ("role", "engine"),
            ("zone", "regina"),
            ("target", "inkline-writer"),
            ("state", "leaving"),
        ];
        d.platform.enlist(&addr, &labels).await.unwrap();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_lost_everything_changes_nothing() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    d.platform.faults(&d.platform.list, json!({"outage": true})).await.unwrap();
    tokio::time::sleep(FEW_SECONDS).await;
    let caller = d.caller("weddings", "regina");
    for i in 0..LATER {
        caller.complete(&ask(i)).await.unwrap();
    }
}
