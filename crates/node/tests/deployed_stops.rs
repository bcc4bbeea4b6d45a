//! Every planned stop is a graceful shutdown: it cuts off and refuses no request.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use rig::{Caller, Completion, Deployment, STATE_LIMIT, Spec, wait_for};

/// Callers at work during the restart.
const CALLERS: usize = 6;
/// Tokens of a long answer.
const LONG: u32 = 100;

fn ask(i: usize) -> Completion {
    Completion {
        model: "writer".to_owned(),
        prompt: format!("Caption for guest {i}"),
        tokens: if i.is_multiple_of(5) { LONG } else { 6 },
        context: format!("guest-{}", i % 17),
        batch: false,
    }
}

/// Asks on and on; every answer must come whole from the first connection tried, with no refusal
/// in between.
async fn work(caller: Arc<Caller>, me: usize, stop: Arc<AtomicBool>, done: Arc<AtomicUsize>) {
    let mut i = me;
    while !stop.load(Ordering::SeqCst) {
        let ask = ask(i);
        let answer = caller.complete(&ask).await.unwrap();
        assert_eq!(answer.text, fakes::expected(&ask.model, "v1", &ask.prompt, ask.tokens));
        assert_eq!((answer.attempts, answer.resumes), (1, 0), "request {i} was cut or refused");
        done.fetch_add(1, Ordering::SeqCst);
        i += CALLERS;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_and_refuses_nothing() {
    let spec =
        Spec { engine_args: vec!["--weights", "v1", "--decode-ms", "20"], ..Spec::default() };
    let mut d = Deployment::start(&spec).await.unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicUsize::new(0));
    let mut workers: Vec<_> = (0..CALLERS)
        .map(|me| {
            let caller = Arc::new(d.caller("weddings", "regina"));
            tokio::spawn(work(caller, me, stop.clone(), done.clone()))
        })
        .collect();
    for i in 0..3 {
        let old = d.entries.remove(0);
        d.add_instance(&format!("entry-new-{i}"), &old.zone).await.unwrap();
        d.wait_ready().await.unwrap();
        d.wait_routable().await.unwrap();
        let before = done.load(Ordering::SeqCst);
        let status = old.instance.stop().await.unwrap();
        assert!(status.success(), "{} ended with {status}", old.name);
        d.platform.delist(&old.name).await.unwrap();
        let during = done.load(Ordering::SeqCst) - before;
        // Those who were sent there at last have tried their next address by now.
        let later = done.load(Ordering::SeqCst) + 4 * CALLERS;
        wait_for("requests after the stop", STATE_LIMIT, || async {
            let ended = workers.iter().any(tokio::task::JoinHandle::is_finished);
            (ended || done.load(Ordering::SeqCst) >= later).then_some(())
        })
        .await
        .unwrap();
        while let Some(at) = workers.iter().position(tokio::task::JoinHandle::is_finished) {
            workers.remove(at).await.unwrap();
        }
        assert!(during > 0, "requests went on meanwhile");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    stop.store(true, Ordering::SeqCst);
    for worker in workers {
        worker.await.unwrap();
    }
}
