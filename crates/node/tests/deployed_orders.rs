//! Orders to replicas by several instances, one of them frozen while it leads and thawed late: the
//! final state is right, few replicas load at once and every completion is served meanwhile. The
//! engines' own logs are the judge.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::Method;
use rig::{Completion, Deployment, Entry, STATE_LIMIT, Signal, Spec, wait_for};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Replicas of each target.
const ENGINES: usize = 5;
/// Most loads over all targets at once.
const MAX_LOADS: usize = 3;
/// Both models, with their target and a team.
const MODELS: [(&str, &str, &str); 2] =
    [("writer", "inkline-writer", "weddings"), ("assistant", "umthombo-assistant", "parish-east")];

fn spec(fenced: bool) -> Spec {
    // One load takes a second at the full rate.
    let store = vec!["--size", "1000000", "--link-rate", "1000000"];
    Spec { engines: ENGINES, fenced, weight_args: Some(store), ..Spec::default() }
}

/// Changes a model's version; an instance that lags behind refuses until it has caught up.
async fn roll(d: &Deployment, entry: &Entry, model: &str, version: &str) {
    wait_for("the version to be accepted", STATE_LIMIT, || async {
        let edit = |doc: &mut Value| {
            if doc["version"] != version {
                doc["previous"] = doc["version"].take();
                doc["version"] = json!(version);
            }
        };
        d.change(entry, &format!("models/{model}"), edit).await.ok()
    })
    .await
    .unwrap();
}

async fn orders(d: &Deployment, target: &str, i: usize) -> Option<Value> {
    let proc = d.platform.proc(&format!("{target}-{i}")).ok()?;
    d.platform.http.get(&format!("{}/orders", proc.url())).await.ok()?.json().ok()
}

async fn served(d: &Deployment, target: &str, version: &str) -> Option<()> {
    for i in 1..=ENGINES {
        (orders(d, target, i).await?["actual"]["weights"] == version).then_some(())?;
    }
    Some(())
}

/// The index of the instance that leads a rollout.
async fn leader(d: &Deployment, model: &str) -> usize {
    wait_for("an instance to lead", STATE_LIMIT, || async {
        for (i, entry) in d.entries.iter().enumerate() {
            let path = format!("rollouts/{model}");
            let reply = d.admin(entry, Method::GET, &path, &[], None).await.ok()?;
            let status: Value = reply.json().ok()?;
            if status["leader"].is_string() {
                return Some(i);
            }
        }
        None
    })
    .await
    .unwrap()
}

/// The most replicas of all targets seen loading at once, until told to stop.
async fn most_loading(d: Arc<Deployment>, stop: Arc<AtomicBool>) -> usize {
    let mut most = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut loading = 0;
        for (_, target, _) in MODELS {
            for i in 1..=ENGINES {
                let orders = orders(&d, target, i).await.unwrap();
                loading += usize::from(orders["actual"]["weights"].is_null());
            }
        }
        most = most.max(loading);
        sleep(Duration::from_millis(20)).await;
    }
    most
}

/// Asks without a pause until told to stop; every answer is whole. The number of answers.
async fn work(d: Arc<Deployment>, model: &str, team: &str, stop: Arc<AtomicBool>) -> usize {
    let caller = d.caller(team, "regina");
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        let ask = Completion {
            model: model.to_owned(),
            prompt: format!("{}Guest {n}?", "The brief of the gala. ".repeat(20)),
            tokens: 8,
            context: format!("brief-{n}"),
            batch: false,
        };
        let answer = caller.complete(&ask).await.unwrap();
        let wanted = fakes::expected(model, &answer.weights, &ask.prompt, ask.tokens);
        assert_eq!(answer.text, wanted);
        n += 1;
    }
    n
}

struct Background {
    stop: Arc<AtomicBool>,
    loading: tokio::task::JoinHandle<usize>,
    work: Vec<tokio::task::JoinHandle<usize>>,
}

impl Background {
    fn start(d: &Arc<Deployment>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let loading = tokio::spawn(most_loading(d.clone(), stop.clone()));
        let work = MODELS.map(|(m, _, t)| tokio::spawn(work(d.clone(), m, t, stop.clone())));
        Self { stop, loading, work: work.into() }
    }

    /// Checks the loads at once and the work done.
    async fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        let most = self.loading.await.unwrap();
        println!("most replicas seen loading at once: {most}");
        assert!((1..=MAX_LOADS).contains(&most), "{most} loads at once");
        for task in self.work {
            let n = task.await.unwrap();
            println!("{n} completions, none refused");
            assert!(n > 0);
        }
    }
}

/// Orders in the logs of a target's replicas, in order: replica, fence, version, taken.
async fn logged(d: &Deployment, target: &str) -> Vec<(usize, u64, String, bool)> {
    let mut out = Vec::new();
    for i in 1..=ENGINES {
        let proc = d.platform.proc(&format!("{target}-{i}")).unwrap();
        for entry in d.platform.log(proc).await.unwrap() {
            if let Some(version) = entry["order"]["weights"].as_str() {
                let (fence, taken) = (entry["fence"].as_u64(), entry["taken"].as_bool());
                out.push((i, fence.unwrap(), version.to_owned(), taken.unwrap()));
            }
        }
    }
    out
}

/// Freezes the leader of a rollout to `v2`, lets another one take over and go on to `v3`, and
/// thaws the first; then an order of the first arrives at every replica.
async fn frozen_leader(fenced: bool) {
    let d = Arc::new(Deployment::start(&spec(fenced)).await.unwrap());
    roll(&d, &d.entries[0], "writer", "v2").await;
    let first = leader(&d, "writer").await;
    let old = wait_for("the leader's first order", STATE_LIMIT, || async {
        logged(&d, "inkline-writer").await.first().cloned()
    })
    .await
    .unwrap();
    assert_eq!(old.2, "v2");
    let frozen = &d.entries[first];
    frozen.instance.signal(Signal::Stop).unwrap();
    let other = &d.entries[(first + 1) % d.entries.len()];
    roll(&d, other, "writer", "v3").await;
    wait_for("v3 everywhere", STATE_LIMIT, || served(&d, "inkline-writer", "v3")).await.unwrap();
    frozen.instance.signal(Signal::Cont).unwrap();
    d.wait_same_revision().await.unwrap();
    // The frozen leader's order, as if it had been under way all the time.
    for i in 1..=ENGINES {
        let url =
            format!("{}/orders", d.platform.proc(&format!("inkline-writer-{i}")).unwrap().url());
        let late = json!({"fence": old.1, "wanted": {"weights": "v2", "role": "mixed"}});
        let reply = d.platform.http.put(&url, &late).await.unwrap();
        assert_eq!(reply.status.is_success(), !fenced, "{i}: {}", reply.text());
    }
    if fenced {
        assert!(served(&d, "inkline-writer", "v3").await.is_some(), "late orders changed nothing");
    }
    wait_for("v3 again", STATE_LIMIT, || served(&d, "inkline-writer", "v3")).await.unwrap();
    let log = logged(&d, "inkline-writer").await;
    for i in 1..=ENGINES {
        let own: Vec<_> = log.iter().filter(|o| o.0 == i).collect();
        let last = own.iter().rfind(|o| o.3).unwrap();
        assert_eq!(last.2, "v3", "the last order taken by {i}: {own:?}");
        let taken: Vec<_> = own.iter().filter(|o| o.3).map(|o| o.1).collect();
        if fenced {
            assert!(taken.is_sorted(), "fences taken by {i} never go back: {own:?}");
        }
    }
    println!(
        "fenced {fenced}: {} orders, {} refused",
        log.len(),
        log.iter().filter(|o| !o.3).count()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_leader_undoes_nothing_where_fences_are_checked() {
    frozen_leader(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_leader_undoes_nothing_where_fences_are_ignored() {
    frozen_leader(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rollouts_of_all_targets_share_the_load_slots_and_refuse_no_work() {
    let d = Arc::new(Deployment::start(&spec(true)).await.unwrap());
    let background = Background::start(&d);
    for (i, (model, ..)) in MODELS.iter().enumerate() {
        roll(&d, &d.entries[i], model, "v2").await;
    }
    for (_, target, _) in MODELS {
        wait_for("v2 everywhere", STATE_LIMIT, || served(&d, target, "v2")).await.unwrap();
    }
    background.end().await;
    for (_, target, _) in MODELS {
        let log = logged(&d, target).await;
        assert!(log.iter().all(|o| o.2 == "v2" && o.3), "{log:?}");
    }
}

/// Whether some instance counts a stalled rollout of the target.
async fn stalled(d: &Deployment, target: &str) -> Option<()> {
    let series = format!("lentil_rollout_stalls_total{{target=\"{target}\"}}");
    for entry in &d.entries {
        let reply = d.platform.http.get(&format!("{}/metrics", entry.instance.url())).await.ok()?;
        if reply.text().contains(&series) {
            return Some(());
        }
    }
    None
}

#[tokio::test(flavor = "multi_thread")]
async fn a_load_that_does_not_end_is_told_and_ends_when_it_can() {
    let d = Deployment::start(&spec(true)).await.unwrap();
    let store = d.platform.proc("weights-1").unwrap();
    d.platform.faults(store, json!({"link_rate": 10_000})).await.unwrap();
    roll(&d, &d.entries[0], "writer", "v2").await;
    wait_for("the stall to be told", 2 * STATE_LIMIT, || stalled(&d, "inkline-writer"))
        .await
        .unwrap();
    assert!(served(&d, "inkline-writer", "v2").await.is_none(), "the rollout was under way");
    d.platform.faults(store, json!({})).await.unwrap();
    wait_for("v2 everywhere", STATE_LIMIT, || served(&d, "inkline-writer", "v2")).await.unwrap();
}
