//! A new request uses the weights in force and no cache of other weights; a running one keeps its
//! own.

use std::sync::Arc;

use rig::{Answer, Completion, Deployment, STATE_LIMIT, Spec, wait_for};
use serde_json::{Value, json};

fn ask(i: usize, tokens: u32) -> Completion {
    Completion {
        model: "writer".to_owned(),
        prompt: format!("{}Guest {i}?", "The brief of the gala. ".repeat(200)),
        tokens,
        context: format!("brief-{i}"),
        batch: false,
    }
}

/// Checks the text against the version that the answer names.
fn check(answer: &Answer, ask: &Completion) {
    let wanted = fakes::expected(&ask.model, &answer.weights, &ask.prompt, ask.tokens);
    assert_eq!(answer.text, wanted, "{} by {}", ask.context, answer.weights);
}

async fn roll(d: &Deployment, version: &str, previous: &str) {
    let edit = |doc: &mut Value| {
        doc["version"] = json!(version);
        doc["previous"] = json!(previous);
    };
    d.change(&d.entries[1], "models/writer", edit).await.unwrap();
}

async fn wait_served(d: &Deployment, version: &str) {
    wait_for("all replicas to serve the version", STATE_LIMIT, || async {
        for name in ["inkline-writer-1", "inkline-writer-2"] {
            let url = format!("{}/orders", d.platform.proc(name).ok()?.url());
            let orders: Value = d.platform.http.get(&url).await.ok()?.json().ok()?;
            (orders["actual"]["weights"] == version).then_some(())?;
        }
        Some(())
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn running_answers_keep_their_weights() {
    let spec =
        Spec { engine_args: vec!["--weights", "v1", "--decode-ms", "20"], ..Spec::default() };
    let d = Deployment::start(&spec).await.unwrap();
    let caller = Arc::new(d.caller("weddings", "regina"));
    let running: Vec<_> = (0..6)
        .map(|i| {
            let caller = caller.clone();
            tokio::spawn(async move { (caller.complete(&ask(i, 150)).await.unwrap(), ask(i, 150)) })
        })
        .collect();
    wait_for("answers to be under way", STATE_LIMIT, || async {
        (d.events("routed").await.ok()?.len() >= 6).then_some(())
    })
    .await
    .unwrap();
    roll(&d, "v2", "v1").await;
    for task in running {
        let (answer, ask) = task.await.unwrap();
        assert_eq!(answer.weights, "v1", "a running answer keeps its weights");
        check(&answer, &ask);
    }
    wait_served(&d, "v2").await;
    wait_for("new requests to use the new weights", STATE_LIMIT, || async {
        let (ask, answer) = (ask(0, 8), caller.complete(&ask(0, 8)).await.ok()?);
        check(&answer, &ask);
        (answer.weights == "v2").then_some(())
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn swaps_back_and_forth_mix_nothing() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let caller = Arc::new(d.caller("weddings", "regina"));
    for (version, previous) in [("v2", "v1"), ("v1", "v2"), ("v3", "v1")] {
        let asked: Vec<_> = (0..10)
            .map(|i| {
                let caller = caller.clone();
                tokio::spawn(async move { (caller.complete(&ask(i, 12)).await, ask(i, 12)) })
            })
            .collect();
        roll(&d, version, previous).await;
        for task in asked {
            let (answer, ask) = task.await.unwrap();
            let answer = answer.unwrap();
            assert!([version, previous].contains(&&*answer.weights));
            check(&answer, &ask);
        }
        wait_served(&d, version).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_serves_other_weights_than_it_says_is_not_used() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let liar = d.platform.proc("inkline-writer-1").unwrap();
    d.platform.faults(liar, json!({"report_weights": "v0"})).await.unwrap();
    for i in 0..8 {
        let answer = d.caller("weddings", "regina").complete(&ask(i, 8)).await.unwrap();
        assert_eq!(answer.weights, "v1");
        check(&answer, &ask(i, 8));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_of_other_weights_are_dropped() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let liar = d.platform.proc("inkline-writer-1").unwrap();
    d.platform.faults(liar, json!({"compute_weights": "v0"})).await.unwrap();
    let caller = d.caller("weddings", "regina");
    let mut sent = 0;
    for i in 0..40 {
        let answer = caller.complete(&ask(i, 8)).await.unwrap();
        assert_eq!(answer.weights, "v1");
        check(&answer, &ask(i, 8));
        let log = d.platform.log(liar).await.unwrap();
        sent = log.iter().filter(|e| e["weights"] == "v0").count();
        if sent >= 3 {
            break;
        }
    }
    assert!(sent > 0, "no request was run with other weights");
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_cache_of_other_weights_is_not_used() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let caller = d.caller("weddings", "regina");
    let asked = |question: &str| Completion {
        prompt: format!("{}{question}", "The brief of the gala, table by table. ".repeat(300)),
        ..ask(0, 12)
    };
    let kept = async |count: usize| {
        wait_for("the context to be kept", STATE_LIMIT, || async {
            (d.events("kept").await.ok()?.len() >= count).then_some(())
        })
        .await
        .unwrap();
    };
    let first = asked("Who is first?");
    check(&caller.complete(&first).await.unwrap(), &first);
    kept(1).await;
    roll(&d, "v2", "v1").await;
    wait_served(&d, "v2").await;
    d.wait_routable().await.unwrap();
    let second = asked("Who is second?");
    let answer = caller.complete(&second).await.unwrap();
    assert_eq!((&*answer.weights, answer.cached), ("v2", 0), "cache of other weights was used");
    check(&answer, &second);
    // Kept anew, it is used.
    kept(2).await;
    for name in ["inkline-writer-1", "inkline-writer-2"] {
        let engine = d.platform.proc(name).unwrap();
        d.platform.faults(engine, json!({"evict_all": true})).await.unwrap();
        d.platform.faults(engine, json!({})).await.unwrap();
    }
    let third = asked("Who is third?");
    let answer = caller.complete(&third).await.unwrap();
    assert!(answer.cached > 0, "kept cache of the same weights is used");
    check(&answer, &third);
}
