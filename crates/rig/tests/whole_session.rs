//! Completions while all instances drain, and service calls while instances freeze and answers of
//! the table service are lost.

use std::time::Duration;

use futures_util::future::join_all;
use rig::{
    Booked, CallError, Caller, Completion, Deployment, Ran, STATE_LIMIT, Signal, Spec, wait_for,
};
use serde_json::json;

const DESK: &str = "inkline-desk-1";

fn ask(i: usize) -> Completion {
    Completion {
        model: "writer".to_owned(),
        prompt: format!("{}Guest {i}: what is the caption?", "An event brief. ".repeat(200)),
        tokens: 40,
        context: format!("brief-{i}"),
        batch: false,
    }
}

fn slow() -> Spec {
    Spec { engine_args: vec!["--weights", "v1", "--decode-ms", "50"], ..Spec::default() }
}

async fn book(caller: &Caller, i: usize) -> Result<Booked, CallError> {
    caller.book("inkline-desk", &format!("deposits/{i}"), &format!("key-{i}"), "{}").await
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_completes_running_requests() {
    let mut d = Deployment::start(&slow()).await.unwrap();
    let caller = d.caller("weddings", "regina");
    let asks: Vec<_> = (0..6).map(ask).collect();
    let answers = join_all(asks.iter().map(|a| caller.complete(a)));
    let stop = async {
        let routed = async || (d.events("routed").await.ok()?.len() >= asks.len()).then_some(());
        wait_for("answers to be under way", STATE_LIMIT, routed).await.unwrap();
        for entry in &d.entries {
            entry.instance.signal(Signal::Term).unwrap();
        }
    };
    let (answers, ()) = tokio::join!(answers, stop);
    for (answer, ask) in answers.into_iter().zip(&asks) {
        let answer = answer.unwrap();
        let wanted = fakes::expected(&ask.model, "v1", &ask.prompt, ask.tokens);
        assert_eq!((answer.attempts, answer.text), (1, wanted), "{}", ask.context);
    }
    for entry in &mut d.entries {
        let status = entry.instance.proc.wait(STATE_LIMIT).await.unwrap();
        assert!(status.success(), "{} ended with {status}", entry.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn outcome_is_found_by_idempotency_key() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let caller = d.caller("weddings", "regina");
    let booked = book(&caller, 1).await.unwrap();
    let again = book(&caller, 1).await.unwrap();
    let found = caller.outcome("inkline-desk", "key-1").await.unwrap();
    assert_eq!(booked.reply.body, again.reply.body);
    assert_eq!(booked.reply.body, found.reply.body);
    let unknown = caller.outcome("inkline-desk", "key-2").await.unwrap_err();
    assert!(matches!(&unknown, CallError::Problem(p) if p.is("no-outcome")), "{unknown}");
    assert_eq!(d.runs(DESK, "key-1").await.unwrap(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_instances_run_calls_at_most_once() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let caller = d.caller("weddings", "regina");
    let desk = d.platform.proc(DESK).unwrap();
    let bookings = join_all((0..60).map(|i| book(&caller, i)));
    let faults = async {
        let knobs = json!({"stall_ms": 300, "cut_after_run": 2, "refuse": 3});
        for entry in d.entries.iter().chain(&d.entries) {
            d.platform.faults(desk, knobs.clone()).await.unwrap();
            d.platform.faults(&d.platform.table, json!({"lose_answers": 3})).await.unwrap();
            entry.instance.signal(Signal::Stop).unwrap();
            tokio::time::sleep(Duration::from_secs(2)).await;
            entry.instance.signal(Signal::Cont).unwrap();
        }
    };
    let (results, ()) = tokio::join!(bookings, faults);
    assert!(results.iter().filter(|r| r.is_ok()).count() > 30, "most calls succeed");
    for (i, result) in results.into_iter().enumerate() {
        let runs = d.runs(DESK, &format!("key-{i}")).await.unwrap();
        match &result {
            Ok(_) => assert_eq!(runs, 1, "booking {i}"),
            Err(CallError::Problem(p)) if p.ran == Ran::No => assert_eq!(runs, 0, "{i}: {p}"),
            Err(error) => assert!(runs <= 1, "booking {i} ran {runs} times: {error}"),
        }
    }
}
