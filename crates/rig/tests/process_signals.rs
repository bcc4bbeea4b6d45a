//! Starts processes, freezes and continues them, and stops them.

use std::time::Duration;

use rig::{Http, Platform, Proc, RigError, Signal, wait_for};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn freeze_and_continue() {
    let mut proc = Proc::start("lentilfake", &["service"]).await.unwrap();
    let (http, url) = (Http::new(), format!("{}/x", proc.url()));
    assert!(http.get(&url).await.unwrap().status.is_success());
    proc.signal(Signal::Stop).unwrap();
    let wait = Duration::from_millis(200);
    assert!(tokio::time::timeout(wait, http.get(&url)).await.is_err());
    proc.signal(Signal::Cont).unwrap();
    let answers = async || http.get(&url).await.ok();
    wait_for("an answer after SIGCONT", TIMEOUT, answers).await.unwrap();
    assert!(proc.exited().is_none());
    assert!(proc.stop(TIMEOUT).await.unwrap().success());
}

#[tokio::test]
async fn missing_program_and_bad_options() {
    let missing = Proc::start("no-such-program", &[]).await;
    assert!(matches!(missing, Err(RigError::NotBuilt(_))));
    let bad = Proc::start("lentilfake", &["service", "--faults", "{\"x\":1}"]).await;
    let Err(RigError::NotReady { log, .. }) = bad else { panic!("started") };
    assert!(log.contains("--faults"), "{log}");
}

#[tokio::test]
async fn platform_lists_replicas() {
    let mut platform = Platform::start().await.unwrap();
    let args = ["--model", "writer"];
    platform.engine("w1", "regina", "inkline-writer", &args).await.unwrap();
    platform.store("s1", "regina", "inkline", &[]).await.unwrap();
    platform.service("b1", "winnipeg", "inkline-desk", &[]).await.unwrap();
    let sd = platform.http.get(&format!("{}/sd", platform.list.url())).await.unwrap();
    let all: Vec<serde_json::Value> = sd.json().unwrap();
    let engine = platform.proc("w1").unwrap();
    assert_eq!(all.len(), 3);
    assert_eq!(
        all[0],
        json!({"targets": [engine.addr().to_string()], "labels": {"name": "w1", "role": "engine",
            "zone": "regina", "state": "live", "target": "inkline-writer"}})
    );
    platform.faults(engine, json!({"leaving": true})).await.unwrap();
    assert!(platform.log(engine).await.unwrap().is_empty());
    assert!(platform.faults(engine, json!({"no_such_knob": 1})).await.is_err());
}
