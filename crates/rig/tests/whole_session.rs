//! Instances, stand-ins and callers together.

mod session;

use std::time::Duration;

use rig::{CallError, Ran, Signal};
use serde_json::{Value, json};
use session::{FAST, LIMIT, SLOW, Session, ask};

#[tokio::test]
async fn returning_prompt_is_not_recomputed() {
    let session = Session::start(FAST).await;
    let caller = session.caller(LIMIT);
    let first = caller.complete(&ask("gala", 8)).await.unwrap();
    assert_eq!(first.text, session.expected("gala", 8));
    // The engines forget; what the store instance keeps is imported.
    let again = async || {
        session.forget().await;
        let answer = caller.complete(&ask("gala", 8)).await.unwrap();
        assert_eq!(answer.text, session.expected("gala", 8));
        (answer.cached > 0).then_some(answer)
    };
    rig::wait_for("kept context", LIMIT, again).await.unwrap();
}

#[tokio::test]
async fn stream_survives_its_instance() {
    let session = Session::start(SLOW).await;
    let caller = session.caller(LIMIT);
    let ask = ask("fair", 40);
    let course = caller.complete(&ask);
    tokio::pin!(course);
    let homes = session.home(&ask.context).await;
    let started = async || session.running().await.then_some(());
    tokio::select! {
        answer = &mut course => panic!("too early: {answer:?}"),
        started = rig::wait_for("a run", LIMIT, started) => started.unwrap(),
    }
    session.kill(&homes);
    let answer = course.await.unwrap();
    assert_eq!(answer.text, session.expected("fair", 40));
    assert!(answer.attempts > 1, "{answer:?}");
}

#[tokio::test]
async fn booking_runs_at_most_once() {
    let session = Session::start(FAST).await;
    // A refusal is advised to come back for as long as the caller has time.
    let caller = session.caller(Duration::from_secs(3));
    let desk = session.platform.proc("b1").unwrap();
    let booked = caller.book("inkline-desk", "deposit", "k1", "{\"n\":1}").await.unwrap();
    let again = caller.book("inkline-desk", "deposit", "k1", "{\"n\":1}").await.unwrap();
    assert_eq!(booked.reply.body, again.reply.body);
    assert_eq!(session.runs(desk).await, 1);

    session.platform.faults(desk, json!({"cut_after_run": 1})).await.unwrap();
    let lost = caller.book("inkline-desk", "deposit", "k2", "{}").await.unwrap_err();
    assert!(matches!(&lost, CallError::Problem(p) if p.ran == Ran::Unknown), "{lost}");
    let repeat = caller.book("inkline-desk", "deposit", "k2", "{}").await;
    assert!(repeat.is_err(), "{repeat:?}");
    assert_eq!(session.runs(desk).await, 2);

    session.platform.faults(desk, json!({"refuse": true})).await.unwrap();
    let refused = caller.book("inkline-desk", "deposit", "k3", "{}").await.unwrap_err();
    assert!(matches!(&refused, CallError::Problem(p) if p.ran == Ran::No), "{refused}");
    assert_eq!(session.runs(desk).await, 2);
}

#[tokio::test]
async fn planned_stop_cuts_off_nothing() {
    let mut session = Session::start(SLOW).await;
    let caller = session.caller(LIMIT);
    let ask = ask("stop", 40);
    let course = caller.complete(&ask);
    tokio::pin!(course);
    let started = async || session.running().await.then_some(());
    tokio::select! {
        answer = &mut course => panic!("too early: {answer:?}"),
        started = rig::wait_for("a run", LIMIT, started) => started.unwrap(),
    }
    session.signal_all(Signal::Term);
    let answer = course.await.unwrap();
    assert_eq!((answer.attempts, answer.text), (1, session.expected("stop", 40)));
    for instance in &mut session.instances {
        assert!(instance.proc.wait(LIMIT).await.unwrap().success());
    }
}

#[tokio::test]
async fn spoiled_engine_streams_reach_whole() {
    let session = Session::start(FAST).await;
    let knobs = json!({"cross_answers": true, "double_chunks": true, "late_chunks_ms": 30});
    for engine in ["w1", "w2"] {
        let engine = session.platform.proc(engine).unwrap();
        session.platform.faults(engine, knobs.clone()).await.unwrap();
    }
    let caller = session.caller(LIMIT);
    let asks: Vec<_> = (0..4).map(|i| ask(&format!("guest {i}"), 12)).collect();
    let (a, b, c, d) = tokio::join!(
        caller.complete(&asks[0]),
        caller.complete(&asks[1]),
        caller.complete(&asks[2]),
        caller.complete(&asks[3]),
    );
    for (answer, ask) in [a, b, c, d].into_iter().zip(&asks) {
        assert_eq!(answer.unwrap().text, session.expected(&ask.context, 12));
    }
}

#[tokio::test]
async fn flipped_blocks_are_not_used() {
    let session = Session::start(FAST).await;
    let store = session.platform.proc("s1").unwrap();
    let caller = session.caller(LIMIT);
    caller.complete(&ask("flip", 8)).await.unwrap();
    let kept = async || {
        let stats: Value = session.platform.stats(store).await.unwrap();
        (stats["record_writes"]["total"].as_u64() >= Some(4)).then_some(())
    };
    rig::wait_for("kept records", LIMIT, kept).await.unwrap();
    session.platform.faults(store, json!({"flip_bits": true})).await.unwrap();
    for _ in 0..3 {
        session.forget().await;
        let answer = caller.complete(&ask("flip", 8)).await.unwrap();
        assert_eq!(answer.text, session.expected("flip", 8));
    }
    let stats = session.platform.stats(store).await.unwrap();
    assert!(stats["piece_reads"]["total"].as_u64() > Some(0), "no import was tried: {stats}");
}
