//! No answer uses a cache block that was freed, altered or only partly written, or that belongs to
//! another team. The text of an answer depends on the blocks used.

use rig::{Answer, Completion, Deployment, STATE_LIMIT, Spec, wait_for};
use serde_json::{Value, json};

const STORE: &str = "inkline-store-1";
const ENGINES: [&str; 2] = ["inkline-writer-1", "inkline-writer-2"];

fn request(context: &str, question: &str) -> Completion {
    let brief: String =
        (0..300).map(|i| format!("{context}: table {i} seats {} guests. ", i % 9)).collect();
    Completion {
        model: "writer".to_owned(),
        prompt: format!("{brief}{question}"),
        tokens: 12,
        context: context.to_owned(),
        batch: false,
    }
}

/// Completes a request of a team and checks the text.
async fn answer(d: &Deployment, team: &str, request: &Completion) -> Answer {
    let answer = d.caller(team, "regina").complete(request).await.unwrap();
    let wanted = fakes::expected(&request.model, &answer.weights, &request.prompt, request.tokens);
    assert_eq!(answer.text, wanted, "{} of {team}", request.context);
    answer
}

async fn store_faults(d: &Deployment, faults: Value) {
    d.platform.faults(d.platform.proc(STORE).unwrap(), faults).await.unwrap();
}

/// Empties the prefix caches of all engines.
async fn evict_prefix_caches(d: &Deployment) {
    for name in ENGINES {
        let engine = d.platform.proc(name).unwrap();
        d.platform.faults(engine, json!({"evict_all": true})).await.unwrap();
        d.platform.faults(engine, json!({})).await.unwrap();
    }
}

/// Waits until `contexts` contexts are saved to the store.
async fn wait_kept(d: &Deployment, contexts: usize) {
    wait_for("contexts to be saved to the store", STATE_LIMIT, || async {
        (d.events("kept").await.ok()?.len() >= contexts).then_some(())
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn damaged_blocks_are_recomputed() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    answer(&d, "weddings", &request("gala", "Who is first?")).await;
    wait_kept(&d, 1).await;
    evict_prefix_caches(&d).await;
    let good = answer(&d, "weddings", &request("gala", "Who is second?")).await;
    assert!(good.cached * 2 > good.prompt, "the saved cache is used: {good:?}");
    for faults in
        [json!({"flip_bits": true}), json!({"outage": true}), json!({"cut_after_bytes": 100})]
    {
        evict_prefix_caches(&d).await;
        store_faults(&d, faults.clone()).await;
        let again = answer(&d, "weddings", &request("gala", "Who is third?")).await;
        assert_eq!(again.cached, 0, "under {faults}");
        store_faults(&d, json!({})).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn partly_written_blocks_are_recomputed() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    store_faults(&d, json!({"partial_writes": true})).await;
    answer(&d, "weddings", &request("gala", "Who is first?")).await;
    // The blocks are recorded as complete: the engine does not know that the store kept only half
    // of each.
    wait_kept(&d, 1).await;
    store_faults(&d, json!({})).await;
    evict_prefix_caches(&d).await;
    let again = answer(&d, "weddings", &request("gala", "Who is second?")).await;
    assert_eq!(again.cached, 0, "a partly written block was used");
    let stats = d.platform.stats(d.platform.proc(STORE).unwrap()).await.unwrap();
    assert!(stats["piece_reads"]["total"].as_u64() > Some(0), "no import was attempted: {stats}");
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_blocks_are_recomputed() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    // Two requests export the same pieces. The later generation replaces the earlier one.
    let same = request("gala", "Who is first?");
    let caller = d.caller("weddings", "regina");
    let (a, b) = tokio::join!(caller.complete(&same), caller.complete(&same));
    assert_eq!(a.unwrap().text, b.unwrap().text);
    wait_kept(&d, 2).await;
    evict_prefix_caches(&d).await;
    store_faults(&d, json!({"stale_generation": true})).await;
    answer(&d, "weddings", &request("gala", "Who is second?")).await;
    store_faults(&d, json!({})).await;
    // The store may have records of one export and pieces of the other. The first prompt that finds
    // the mismatch exports them again.
    wait_for("the saved cache to be used again", STATE_LIMIT, || async {
        evict_prefix_caches(&d).await;
        (answer(&d, "weddings", &request("gala", "Who is third?")).await.cached > 0).then_some(())
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_or_dead_store_only_causes_recomputation() {
    let mut d = Deployment::start(&Spec::default()).await.unwrap();
    store_faults(&d, json!({"full": true})).await;
    answer(&d, "weddings", &request("gala", "Who is first?")).await;
    evict_prefix_caches(&d).await;
    answer(&d, "weddings", &request("gala", "Who is second?")).await;
    store_faults(&d, json!({})).await;
    evict_prefix_caches(&d).await;
    answer(&d, "weddings", &request("fair", "Who is first?")).await;
    d.platform.kill(STORE);
    evict_prefix_caches(&d).await;
    answer(&d, "weddings", &request("fair", "Who is second?")).await;
    answer(&d, "weddings", &request("gala", "Who is third?")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn teams_share_no_cache() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let same = request("gala", "Who is first?");
    answer(&d, "weddings", &same).await;
    wait_kept(&d, 1).await;
    // The other team gets neither the blocks in the store nor those in the engine's prefix cache.
    let other = answer(&d, "fairs", &same).await;
    assert_eq!(other.cached, 0, "another team's cache was used");
    let own = answer(&d, "weddings", &same).await;
    assert!(own.cached > 0, "the team's own cache is used");
}
