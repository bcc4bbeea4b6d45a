//! Work under random faults.

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
    faults::{draw, mend, strike},
    judge::{self, Counts, Told, count, told_at_last, told_at_once},
};

/// Callers at work.
const CALLERS: u64 = 6;
/// Contexts they return to.
const CONTEXTS: u32 = 12;
/// Longest pause between two faults, in milliseconds.
const FAULT_PAUSE: u64 = 2500;
/// Faults that may stand at once before all are mended.
const STANDING: u32 = 3;
/// Longest wait for the answer to a call that is tried once.
const CALL_TERM: Duration = Duration::from_secs(30);
/// Longest time from the last fault to the normal state.
const NORMAL_TERM: Duration = Duration::from_secs(60);

/// URLs of the instances there are.
type Doors = Arc<Mutex<Vec<String>>>;
/// A caller's work: what it was told of its calls.
type Work = JoinHandle<Result<Vec<(String, Told)>>>;

/// Soaks a deployment; fails when something that must always hold did not.
pub async fn run(seed: u64, seconds: u64) -> Result<()> {
    let spec =
        Spec { engine_args: vec!["--weights", "v1", "--decode-ms", "10"], ..Spec::default() };
    let mut deployment = Deployment::start(&spec).await.wrap_err("start")?;
    let counts = Arc::new(Counts::default());
    let stop = Arc::new(AtomicBool::new(false));
    let doors = Doors::default();
    open(&doors, &deployment);
    let workers: Vec<Work> = (0..CALLERS)
        .map(|i| {
            let caller = deployment.caller("weddings", "regina");
            let rng = SmallRng::seed_from_u64(seed * CALLERS + i);
            let shared = (doors.clone(), stop.clone(), counts.clone());
            tokio::spawn(work(caller, i, rng, shared))
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(seconds);
    let disturbed = disturb(&mut deployment, seed, end, (&counts, &doors)).await;
    stop.store(true, Ordering::SeqCst);
    let mut calls = Vec::new();
    for worker in workers {
        calls.extend(worker.await??);
    }
    disturbed?;
    judge::calls(&counts, &deployment, "inkline-desk-1", &calls).await?;
    println!("seed {seed}, {seconds} s: {counts:?}");
    normal(&deployment).await
}

/// Notes the instances there are.
fn open(doors: &Doors, deployment: &Deployment) {
    *doors.lock() = deployment.entries.iter().map(|e| e.instance.url()).collect();
}

async fn disturb(
    deployment: &mut Deployment,
    seed: u64,
    end: Instant,
    (counts, doors): (&Counts, &Doors),
) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut serial = 0;
    while Instant::now() < end {
        for _ in 0..rng.random_range(1..=STANDING) {
            let fault = draw(&mut rng, deployment.entries.len());
            println!("  fault: {fault:?}");
            strike(deployment, &fault, serial).await?;
            open(doors, deployment);
            count(&counts.faults);
            serial += 1;
            sleep(Duration::from_millis(rng.random_range(0..FAULT_PAUSE))).await;
        }
        mend(deployment).await?;
        sleep(Duration::from_millis(rng.random_range(0..FAULT_PAUSE))).await;
    }
    Ok(())
}

async fn work(
    caller: Caller,
    me: u64,
    mut rng: SmallRng,
    (doors, stop, counts): (Doors, Arc<AtomicBool>, Arc<Counts>),
) -> Result<Vec<(String, Told)>> {
    let mut calls = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let key = format!("call-{me}-{}", calls.len());
        if rng.random_ratio(1, 8) {
            let result = caller.book("inkline-desk", "/deposits", &key, "{}").await;
            calls.push((key, told_at_last(&result)));
        } else if rng.random_ratio(1, 6) {
            let result = call_once(&doors, &key, &mut rng).await;
            calls.push((key, told_at_once(&result)));
        } else {
            let ask = ask(&mut rng);
            let result = caller.complete(&ask).await;
            judge::answer(&counts, &ask, result)?;
        }
    }
    Ok(calls)
}

/// Makes one try at a call, at any instance.
async fn call_once(
    doors: &Doors,
    key: &str,
    rng: &mut SmallRng,
) -> std::result::Result<Reply, HttpError> {
    let door = doors.lock().choose(rng).cloned().expect("there are instances");
    let headers = [
        ("authorization", "Bearer weddings-key"),
        ("content-type", "application/json"),
        ("idempotency-key", key),
    ];
    let url = format!("{door}/v1/call/inkline-desk/deposits");
    let http = Http::new();
    let call = http.send(Method::POST, &url, &headers, Bytes::from_static(b"{}"));
    timeout(CALL_TERM, call).await.unwrap_or(Err(HttpError::Silent(CALL_TERM)))
}

fn ask(rng: &mut SmallRng) -> Completion {
    let context = rng.random_range(0..CONTEXTS);
    let brief = format!("Brief {context}: the gala in the great hall. ").repeat(150);
    Completion {
        model: "writer".to_owned(),
        prompt: format!("{brief}Question {}?", rng.random_range(0..1000)),
        tokens: rng.random_range(1..60),
        context: format!("brief-{context}"),
        batch: rng.random_ratio(1, 3),
    }
}

/// After the last fault all is normal again.
async fn normal(deployment: &Deployment) -> Result<()> {
    let mended = Instant::now();
    deployment.wait_ready().await?;
    let revision = deployment.wait_same_revision().await?;
    deployment.wait_routable().await?;
    let caller = deployment.caller("weddings", "regina");
    let mut rng = SmallRng::seed_from_u64(0);
    let ask = ask(&mut rng);
    let answer = caller.complete(&ask).await?;
    judge::answer(&Counts::default(), &ask, Ok(answer))?;
    let took = mended.elapsed();
    println!("normal again after {} ms, r{revision} everywhere", took.as_millis());
    ensure!(took < NORMAL_TERM, "not normal within {NORMAL_TERM:?}");
    Ok(())
}
