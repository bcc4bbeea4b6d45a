//! The steps of the main job.

use eyre::{Result, WrapErr, ensure};
use rig::{Answer, Completion, Deployment, STATE_LIMIT, Spec, wait_for};
use serde_json::json;

/// Number of paragraphs of the long prompt.
const PARAGRAPHS: usize = 120;
/// Number of tokens to generate.
const TOKENS: u32 = 24;

/// Runs all steps. Fails at the first one with a wrong result.
pub async fn run() -> Result<()> {
    println!("starting: platform, 4 engine replicas, 2 stores, 2 services, 3 instances in 2 zones");
    let deployment = Deployment::start(&Spec::default()).await.wrap_err("start")?;
    let revision = deployment.wait_same_revision().await?;
    println!("configured: templates, models, targets and teams in force everywhere at r{revision}");
    first_and_return(&deployment).await.wrap_err("a prompt that returns")?;
    isolation(&deployment).await.wrap_err("isolation of teams")?;
    operator(&deployment).await.wrap_err("an operator's change")?;
    deposit(&deployment).await.wrap_err("a deposit")?;
    drain(deployment).await.wrap_err("a planned stop")
}

fn brief(question: &str) -> Completion {
    let calendar: String = (0..PARAGRAPHS)
        .map(|i| format!("Week {i}: gala in hall {}, artist {}, font {}.\n", i % 7, i % 5, i % 3))
        .collect();
    Completion {
        model: "writer".to_owned(),
        prompt: format!("{calendar}{question}"),
        tokens: TOKENS,
        context: "prairie-gala".to_owned(),
        batch: false,
    }
}

fn check(answer: &Answer, request: &Completion, weights: &str) -> Result<()> {
    let wanted = fakes::expected(&request.model, weights, &request.prompt, request.tokens);
    ensure!(answer.text == wanted, "the answer differs from what the model says");
    ensure!(answer.weights == weights, "served by {} in place of {weights}", answer.weights);
    Ok(())
}

async fn first_and_return(deployment: &Deployment) -> Result<()> {
    let caller = deployment.caller("weddings", "regina");
    let request = brief("Who draws in week 3?");
    let first = caller.complete(&request).await?;
    check(&first, &request, "v1")?;
    println!("first: {} prompt tokens, {} cached, whole answer", first.prompt, first.cached);
    ensure!(first.cached == 0, "a first prompt has no cache");
    wait_kept(deployment).await?;

    for name in ["inkline-writer-1", "inkline-writer-2"] {
        let engine = deployment.platform.proc(name)?;
        deployment.platform.faults(engine, json!({"evict_all": true})).await?;
        deployment.platform.faults(engine, json!({})).await?;
    }
    println!("evicted: the context left every accelerator");
    let request = brief("Who draws in week 88?");
    let again = caller.complete(&request).await?;
    check(&again, &request, "v1")?;
    println!("returned: {} prompt tokens, {} from kept cache", again.prompt, again.cached);
    ensure!(again.cached * 2 > again.prompt, "most of the prompt comes from kept cache");
    Ok(())
}

async fn wait_kept(deployment: &Deployment) -> Result<()> {
    let kept = wait_for("the context to be kept", STATE_LIMIT, || async {
        let kept = deployment.events("kept").await.ok()?;
        kept.first().and_then(|e| e["kind"]["pieces"].as_u64())
    })
    .await?;
    println!("kept: {kept} pieces of the context in a store");
    Ok(())
}

async fn isolation(deployment: &Deployment) -> Result<()> {
    let request = brief("Who draws in week 3?");
    let other = deployment.caller("fairs", "regina").complete(&request).await?;
    check(&other, &request, "v1")?;
    ensure!(other.cached == 0, "another team's cache was used");
    println!("isolated: the same prompt of another team had {} cached tokens", other.cached);
    let stranger = deployment.caller("parish-east", "regina").complete(&request).await;
    ensure!(stranger.is_err(), "the other organisation's model was reached");
    println!("isolated: the other organisation was refused");
    Ok(())
}

async fn operator(deployment: &Deployment) -> Result<()> {
    let second = &deployment.entries[1];
    let edit = |doc: &mut serde_json::Value| doc["params"]["limits"]["prompt"] = json!(100);
    deployment.change(second, "templates/inkline", edit).await?;
    let revision = deployment.wait_same_revision().await?;
    let request = brief("Who draws in week 3?");
    let refused = deployment.caller("weddings", "regina").complete(&request).await;
    ensure!(refused.is_err(), "the new limit is not in force");
    println!("changed: a prompt limit of 100 bytes is in force everywhere at r{revision}");
    let edit = |doc: &mut serde_json::Value| doc["params"]["limits"]["prompt"] = json!(1_000_000);
    deployment.change(second, "templates/inkline", edit).await?;
    deployment.wait_same_revision().await?;
    Ok(())
}

async fn deposit(deployment: &Deployment) -> Result<()> {
    let caller = deployment.caller("weddings", "regina");
    let body = r#"{"artist":"7","amount":120}"#;
    let first = caller.book("inkline-desk", "/deposits", "deposit-1", body).await?;
    let again = caller.book("inkline-desk", "/deposits", "deposit-1", body).await?;
    ensure!(first.reply.body == again.reply.body, "the repeated call has another outcome");
    let desk = deployment.platform.proc("inkline-desk-1")?;
    let ran = deployment.platform.log(desk).await?.len();
    ensure!(ran == 1, "the deposit ran {ran} times");
    println!("booked: a deposit asked for twice ran once");
    Ok(())
}

async fn drain(mut deployment: Deployment) -> Result<()> {
    let leaving = deployment.entries.remove(0);
    leaving.instance.signal(rig::Signal::Term)?;
    let request = brief("Who draws in week 5?");
    let answer = deployment.caller("weddings", "regina").complete(&request).await?;
    check(&answer, &request, "v1")?;
    let status = leaving.instance.stop().await?;
    ensure!(status.success(), "the drained instance ended with {status}");
    println!("drained: {} left, and requests went on", leaving.name);
    Ok(())
}
