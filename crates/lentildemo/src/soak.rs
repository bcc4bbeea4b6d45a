//! Requests and calls under random faults.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use eyre::{Result, WrapErr, ensure};
use hyper::Method;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use rig::{Caller, Completion, Deployment, Http, HttpError, Reply, Spec};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    faults::{clear, inject, random_fault},
    judge::{self, CallResult, Counts, count, result_of_attempt, result_of_attempts},
};

/// Number of callers.
const CALLER_COUNT: u64 = 6;
/// Number of contexts that they return to.
const CONTEXT_COUNT: u32 = 12;
/// Longest pause between two faults, in milliseconds.
const MAX_FAULT_PAUSE_MS: u64 = 2500;
/// Maximum number of faults that are injected before all are cleared.
const MAX_FAULTS: u32 = 3;
/// Timeout of a call with one attempt.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for the return to normal operation after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// URLs of the running instances.
type Urls = Arc<Mutex<Vec<String>>>;
/// Task of a caller: its calls, each with its key and result.
type Work = JoinHandle<Result<Vec<(String, CallResult)>>>;

/// Runs a soak. Fails if an answer or a call is wrong, or operation does not return to normal.
pub async fn run(seed: u64, seconds: u64) -> Result<()> {
    let spec =
        Spec { engine_args: vec!["--weights", "v1", "--decode-ms", "10"], ..Spec::default() };
    let mut deployment = Deployment::start(&spec).await.wrap_err("start")?;
    let counts = Arc::new(Counts::default());
    let stop = Arc::new(AtomicBool::new(false));
    let urls = Urls::default();
    update_urls(&urls, &deployment);
    let workers: Vec<Work> = (0..CALLER_COUNT)
        .map(|i| {
            let caller = deployment.caller("weddings", "regina");
            let rng = SmallRng::seed_from_u64(seed * CALLER_COUNT + i);
            let shared = (urls.clone(), stop.clone(), counts.clone());
            tokio::spawn(work(caller, i, rng, shared))
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(seconds);
    let injected = inject_faults(&mut deployment, seed, end, (&counts, &urls)).await;
    stop.store(true, Ordering::SeqCst);
    let mut calls = Vec::new();
    for worker in workers {
        calls.extend(worker.await??);
    }
    injected?;
    judge::calls(&counts, &deployment, "inkline-desk-1", &calls).await?;
    println!("seed {seed}, {seconds} s: {counts:?}");
    check_recovery(&deployment).await
}

/// Updates the URLs of the running instances.
fn update_urls(urls: &Urls, deployment: &Deployment) {
    *urls.lock() = deployment.entries.iter().map(|e| e.instance.url()).collect();
}

async fn inject_faults(
    deployment: &mut Deployment,
    seed: u64,
    end: Instant,
    (counts, urls): (&Counts, &Urls),
) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut serial = 0;
    while Instant::now() < end {
        for _ in 0..rng.random_range(1..=MAX_FAULTS) {
            let fault = random_fault(&mut rng, deployment.entries.len());
            println!("  fault: {fault:?}");
            inject(deployment, &fault, serial).await?;
            update_urls(urls, deployment);
            count(&counts.faults);
            serial += 1;
            sleep(Duration::from_millis(rng.random_range(0..MAX_FAULT_PAUSE_MS))).await;
        }
        clear(deployment).await?;
        sleep(Duration::from_millis(rng.random_range(0..MAX_FAULT_PAUSE_MS))).await;
    }
    Ok(())
}

async fn work(
    caller: Caller,
    index: u64,
    mut rng: SmallRng,
    (urls, stop, counts): (Urls, Arc<AtomicBool>, Arc<Counts>),
) -> Result<Vec<(String, CallResult)>> {
    let mut calls = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let key = format!("call-{index}-{}", calls.len());
        if rng.random_ratio(1, 8) {
            let result = caller.book("inkline-desk", "/deposits", &key, "{}").await;
            calls.push((key, result_of_attempts(&result)));
        } else if rng.random_ratio(1, 6) {
            let result = call_once(&urls, &key, &mut rng).await;
            calls.push((key, result_of_attempt(&result)));
        } else {
            let request = random_request(&mut rng);
            let result = caller.complete(&request).await;
            judge::answer(&counts, &request, result)?;
        }
    }
    Ok(calls)
}

/// Makes one attempt at a call, at a random instance.
async fn call_once(
    urls: &Urls,
    key: &str,
    rng: &mut SmallRng,
) -> std::result::Result<Reply, HttpError> {
    let url = urls.lock().choose(rng).cloned().expect("there are instances");
    let headers = [
        ("authorization", "Bearer weddings-key"),
        ("content-type", "application/json"),
        ("idempotency-key", key),
    ];
    let url = format!("{url}/v1/call/inkline-desk/deposits");
    let http = Http::new();
    let call = http.send(Method::POST, &url, &headers, Bytes::from_static(b"{}"));
    timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(HttpError::Silent(CALL_TIMEOUT)))
}

fn random_request(rng: &mut SmallRng) -> Completion {
    let context = rng.random_range(0..CONTEXT_COUNT);
    let brief = format!("Brief {context}: the gala in the great hall. ").repeat(150);
    Completion {
        model: "writer".to_owned(),
        prompt: format!("{brief}Question {}?", rng.random_range(0..1000)),
        tokens: rng.random_range(1..60),
        context: format!("brief-{context}"),
        batch: rng.random_ratio(1, 3),
    }
}

/// Waits for normal operation after the last fault, and checks an answer.
async fn check_recovery(deployment: &Deployment) -> Result<()> {
    let cleared = Instant::now();
    deployment.wait_ready().await?;
    let revision = deployment.wait_same_revision().await?;
    deployment.wait_routable().await?;
    let caller = deployment.caller("weddings", "regina");
    let mut rng = SmallRng::seed_from_u64(0);
    let request = random_request(&mut rng);
    let answer = caller.complete(&request).await?;
    judge::answer(&Counts::default(), &request, Ok(answer))?;
    let took = cleared.elapsed();
    println!("normal again after {} ms, r{revision} everywhere", took.as_millis());
    ensure!(took < RECOVERY_TIMEOUT, "not normal within {RECOVERY_TIMEOUT:?}");
    Ok(())
}
