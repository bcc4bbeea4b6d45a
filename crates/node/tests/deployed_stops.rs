//! A planned stop of an instance is a graceful shutdown: no request is cut off or refused.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use rig::{Caller, Completion, Deployment, STATE_LIMIT, Spec, wait_for};

/// Number of callers that send requests during the restart.
const CALLERS: usize = 6;
/// Length of a long answer, in tokens.
const LONG_ANSWER_TOKENS: u32 = 100;

fn request(i: usize) -> Completion {
    Completion {
        model: "writer".to_owned(),
        prompt: format!("Caption for guest {i}"),
        tokens: if i.is_multiple_of(5) { LONG_ANSWER_TOKENS } else { 6 },
        context: format!("guest-{}", i % 17),
        batch: false,
    }
}

/// Sends requests until `stop` is set. Every answer must be complete at the first attempt, without
/// a refusal or a resumed stream.
async fn work(caller: Arc<Caller>, worker: usize, stop: Arc<AtomicBool>, done: Arc<AtomicUsize>) {
    let mut i = worker;
    while !stop.load(Ordering::SeqCst) {
        let request = request(i);
        let answer = caller.complete(&request).await.unwrap();
        assert_eq!(
            answer.text,
            fakes::expected(&request.model, "v1", &request.prompt, request.tokens)
        );
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
        .map(|worker| {
            let caller = Arc::new(d.caller("weddings", "regina"));
            tokio::spawn(work(caller, worker, stop.clone(), done.clone()))
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
        // After this many answers, callers that last got the address of the stopped instance have
        // tried their next address.
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
        assert!(during > 0, "requests were answered during the stop");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    stop.store(true, Ordering::SeqCst);
    for worker in workers {
        worker.await.unwrap();
    }
}
