//! A leaving replica gets no new work after a few seconds, whether the replica itself, an operator
//! or the instance list says that it leaves.

use std::time::{Duration, Instant};

use rig::{Completion, Deployment, Spec};
use serde_json::{Value, json};

const REPLICA: &str = "inkline-writer-1";
/// Longest time from the announcement to the last new request.
const MAX_REACTION_TIME: Duration = Duration::from_secs(5);
/// Requests sent before the announcement, and again after that time.
const REQUESTS: usize = 12;

fn request(i: usize) -> Completion {
    Completion {
        model: "writer".to_owned(),
        prompt: format!("Caption for guest {i}"),
        tokens: 4,
        context: format!("guest-{i}"),
        batch: false,
    }
}

/// Number of requests that the replica ran, and number of requests that instances routed to it. It
/// may have refused some of the latter.
async fn ran_and_routed(d: &Deployment) -> (usize, usize) {
    let log = d.platform.log(d.platform.proc(REPLICA).unwrap()).await.unwrap();
    let ran = log.iter().filter(|e| e["run"].is_string()).count();
    let routed = d.events("routed").await.unwrap();
    (ran, routed.iter().filter(|e| e["kind"]["replica"] == REPLICA).count())
}

/// Sends requests, lets `announce` say that the replica leaves, and sends more for
/// [`MAX_REACTION_TIME`]. Checks that no later request goes to the replica and that none fails.
async fn check_no_new_work_after<F>(d: &Deployment, announce: F)
where
    F: AsyncFnOnce(&Deployment),
{
    let caller = d.caller("weddings", "regina");
    for i in 0..REQUESTS {
        caller.complete(&request(i)).await.unwrap();
    }
    let (ran, routed) = ran_and_routed(d).await;
    assert!(ran > 0 && routed >= ran, "the replica is in use: {ran} of {routed}");
    announce(d).await;
    let announced = Instant::now();
    let mut i = 0;
    while announced.elapsed() < MAX_REACTION_TIME {
        caller.complete(&request(i)).await.unwrap();
        i += 1;
    }
    let before = ran_and_routed(d).await;
    for i in 0..REQUESTS {
        caller.complete(&request(i)).await.unwrap();
    }
    assert_eq!(ran_and_routed(d).await, before, "new work after {MAX_REACTION_TIME:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_reports_leaving_gets_no_new_work() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    check_no_new_work_after(&d, async |d| {
        let engine = d.platform.proc(REPLICA).unwrap();
        d.platform.faults(engine, json!({"leaving": true})).await.unwrap();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_replica_gets_no_new_work() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    check_no_new_work_after(&d, async |d| {
        let withdraw = |doc: &mut Value| doc["withdrawn"] = json!([REPLICA]);
        d.change(&d.entries[1], "targets/inkline-writer", withdraw).await.unwrap();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_listed_as_leaving_gets_no_new_work() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    check_no_new_work_after(&d, async |d| {
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
async fn an_outage_of_the_instance_list_fails_no_request() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    d.platform.faults(&d.platform.list, json!({"outage": true})).await.unwrap();
    tokio::time::sleep(MAX_REACTION_TIME).await;
    let caller = d.caller("weddings", "regina");
    for i in 0..REQUESTS {
        caller.complete(&request(i)).await.unwrap();
    }
}
