//! A change of a model's weights version: new requests use the new weights and no cache of other
//! weights, running requests keep theirs.

use std::sync::Arc;

use rig::{Answer, Completion, Deployment, STATE_LIMIT, Spec, wait_for};
use serde_json::{Value, json};

fn request(i: usize, tokens: u32) -> Completion {
    Completion {
        model: "writer".to_owned(),
        prompt: format!("{}Guest {i}?", "The brief of the gala. ".repeat(200)),
        tokens,
        context: format!("brief-{i}"),
        batch: false,
    }
}

/// Checks that the text was generated with the version that the answer names.
fn check_text(answer: &Answer, request: &Completion) {
    let wanted = fakes::expected(&request.model, &answer.weights, &request.prompt, request.tokens);
    assert_eq!(answer.text, wanted, "{} by {}", request.context, answer.weights);
}

/// Sets the version of the model `writer`.
async fn set_version(d: &Deployment, version: &str, previous: &str) {
    let edit = |doc: &mut Value| {
        doc["version"] = json!(version);
        doc["previous"] = json!(previous);
    };
    d.change(&d.entries[1], "models/writer", edit).await.unwrap();
}

/// Waits until both replicas report that they serve `version`.
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
            tokio::spawn(async move {
                (caller.complete(&request(i, 150)).await.unwrap(), request(i, 150))
            })
        })
        .collect();
    wait_for("all answers to be in progress", STATE_LIMIT, || async {
        (d.events("routed").await.ok()?.len() >= 6).then_some(())
    })
    .await
    .unwrap();
    set_version(&d, "v2", "v1").await;
    for task in running {
        let (answer, request) = task.await.unwrap();
        assert_eq!(answer.weights, "v1", "a running answer keeps its weights");
        check_text(&answer, &request);
    }
    wait_served(&d, "v2").await;
    wait_for("new requests to use the new weights", STATE_LIMIT, || async {
        let (request, answer) = (request(0, 8), caller.complete(&request(0, 8)).await.ok()?);
        check_text(&answer, &request);
        (answer.weights == "v2").then_some(())
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_version_changes_mix_no_weights() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let caller = Arc::new(d.caller("weddings", "regina"));
    for (version, previous) in [("v2", "v1"), ("v1", "v2"), ("v3", "v1")] {
        let tasks: Vec<_> = (0..10)
            .map(|i| {
                let caller = caller.clone();
                tokio::spawn(
                    async move { (caller.complete(&request(i, 12)).await, request(i, 12)) },
                )
            })
            .collect();
        set_version(&d, version, previous).await;
        for task in tasks {
            let (answer, request) = task.await.unwrap();
            let answer = answer.unwrap();
            assert!([version, previous].contains(&&*answer.weights));
            check_text(&answer, &request);
        }
        wait_served(&d, version).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_reports_other_weights_is_not_used() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let mismatched = d.platform.proc("inkline-writer-1").unwrap();
    d.platform.faults(mismatched, json!({"report_weights": "v0"})).await.unwrap();
    for i in 0..8 {
        let answer = d.caller("weddings", "regina").complete(&request(i, 8)).await.unwrap();
        assert_eq!(answer.weights, "v1");
        check_text(&answer, &request(i, 8));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_of_other_weights_are_dropped() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let mismatched = d.platform.proc("inkline-writer-1").unwrap();
    d.platform.faults(mismatched, json!({"compute_weights": "v0"})).await.unwrap();
    let caller = d.caller("weddings", "regina");
    let mut run_with_other = 0;
    for i in 0..40 {
        let answer = caller.complete(&request(i, 8)).await.unwrap();
        assert_eq!(answer.weights, "v1");
        check_text(&answer, &request(i, 8));
        let log = d.platform.log(mismatched).await.unwrap();
        run_with_other = log.iter().filter(|e| e["weights"] == "v0").count();
        if run_with_other >= 3 {
            break;
        }
    }
    assert!(run_with_other > 0, "no request was run with other weights");
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_cache_of_other_weights_is_not_used() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let caller = d.caller("weddings", "regina");
    let with_question = |question: &str| Completion {
        prompt: format!("{}{question}", "The brief of the gala, table by table. ".repeat(300)),
        ..request(0, 12)
    };
    let wait_saved = async |count: usize| {
        wait_for("the context to be saved to the store", STATE_LIMIT, || async {
            (d.events("kept").await.ok()?.len() >= count).then_some(())
        })
        .await
        .unwrap();
    };
    let first = with_question("Who is first?");
    check_text(&caller.complete(&first).await.unwrap(), &first);
    wait_saved(1).await;
    set_version(&d, "v2", "v1").await;
    wait_served(&d, "v2").await;
    d.wait_routable().await.unwrap();
    let second = with_question("Who is second?");
    let answer = caller.complete(&second).await.unwrap();
    assert_eq!((&*answer.weights, answer.cached), ("v2", 0), "cache of other weights was used");
    check_text(&answer, &second);
    // The cache of the new weights is saved, and is used after the engines lose theirs.
    wait_saved(2).await;
    for name in ["inkline-writer-1", "inkline-writer-2"] {
        let engine = d.platform.proc(name).unwrap();
        d.platform.faults(engine, json!({"evict_all": true})).await.unwrap();
        d.platform.faults(engine, json!({})).await.unwrap();
    }
    let third = with_question("Who is third?");
    let answer = caller.complete(&third).await.unwrap();
    assert!(answer.cached > 0, "kept cache of the same weights is used");
    check_text(&answer, &third);
}
