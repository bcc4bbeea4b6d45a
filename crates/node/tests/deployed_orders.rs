//! Rollouts with several instances. A leader that freezes and resumes late does not undo the work
//! of its successor, the number of concurrent loads is limited, and all completions are served
//! meanwhile. The tests read the logs of the engines to check this.

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
/// Maximum number of replicas of all targets that load weights at the same time.
const MAX_CONCURRENT_LOADS: usize = 3;
/// Both models, each with its target and a team.
const MODELS: [(&str, &str, &str); 2] =
    [("writer", "inkline-writer", "weddings"), ("assistant", "umthombo-assistant", "parish-east")];

fn spec(fenced: bool) -> Spec {
    // One load takes a second at the full rate.
    let store = vec!["--size", "1000000", "--link-rate", "1000000"];
    Spec { engines: ENGINES, fenced, weight_args: Some(store), ..Spec::default() }
}

/// Changes a model's version. Retries, since an instance with an older revision refuses the change.
async fn set_version(d: &Deployment, entry: &Entry, model: &str, version: &str) {
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

/// Last order and actual state of replica `i` of a target.
async fn orders(d: &Deployment, target: &str, i: usize) -> Option<Value> {
    let proc = d.platform.proc(&format!("{target}-{i}")).ok()?;
    d.platform.http.get(&format!("{}/orders", proc.url())).await.ok()?.json().ok()
}

/// `Some` if all replicas of the target serve `version`.
async fn all_serve(d: &Deployment, target: &str, version: &str) -> Option<()> {
    for i in 1..=ENGINES {
        (orders(d, target, i).await?["actual"]["weights"] == version).then_some(())?;
    }
    Some(())
}

/// The index of the instance that leads a rollout.
async fn leader(d: &Deployment, model: &str) -> usize {
    wait_for("an instance to lead the rollout", STATE_LIMIT, || async {
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

/// Polls until `stop` is set. Returns the maximum number of replicas of all targets that were
/// loading at the same time.
async fn max_loading(d: Arc<Deployment>, stop: Arc<AtomicBool>) -> usize {
    let mut max = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut loading = 0;
        for (_, target, _) in MODELS {
            for i in 1..=ENGINES {
                let orders = orders(&d, target, i).await.unwrap();
                loading += usize::from(orders["actual"]["weights"].is_null());
            }
        }
        max = max.max(loading);
        sleep(Duration::from_millis(20)).await;
    }
    max
}

/// Requests completions until `stop` is set and checks their text. Returns their number.
async fn request_completions(
    d: Arc<Deployment>,
    model: &str,
    team: &str,
    stop: Arc<AtomicBool>,
) -> usize {
    let caller = d.caller(team, "regina");
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        let request = Completion {
            model: model.to_owned(),
            prompt: format!("{}Guest {n}?", "The brief of the gala. ".repeat(20)),
            tokens: 8,
            context: format!("brief-{n}"),
            batch: false,
        };
        let answer = caller.complete(&request).await.unwrap();
        let wanted = fakes::expected(model, &answer.weights, &request.prompt, request.tokens);
        assert_eq!(answer.text, wanted);
        n += 1;
    }
    n
}

/// Completions and a count of loading replicas that run during a rollout.
struct Background {
    stop: Arc<AtomicBool>,
    loading: tokio::task::JoinHandle<usize>,
    completions: Vec<tokio::task::JoinHandle<usize>>,
}

impl Background {
    fn start(d: &Arc<Deployment>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let loading = tokio::spawn(max_loading(d.clone(), stop.clone()));
        let completions = MODELS
            .map(|(m, _, t)| tokio::spawn(request_completions(d.clone(), m, t, stop.clone())));
        Self { stop, loading, completions: completions.into() }
    }

    /// Stops the tasks. Checks the number of concurrent loads and that completions were served.
    async fn stop_and_check(self) {
        self.stop.store(true, Ordering::Relaxed);
        let max = self.loading.await.unwrap();
        println!("maximum number of replicas loading at the same time: {max}");
        assert!((1..=MAX_CONCURRENT_LOADS).contains(&max), "{max} concurrent loads");
        for task in self.completions {
            let n = task.await.unwrap();
            println!("{n} completions, none refused");
            assert!(n > 0);
        }
    }
}

/// Orders in the logs of a target's replicas, by replica and time: index of the replica, fencing
/// number, version, and whether the replica accepted the order.
async fn logged_orders(d: &Deployment, target: &str) -> Vec<(usize, u64, String, bool)> {
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

/// Freezes the leader of a rollout to `v2`, lets another instance take over and roll out `v3`, and
/// resumes the first one. Then a late order of the first one arrives at every replica.
async fn check_frozen_leader(fenced: bool) {
    let d = Arc::new(Deployment::start(&spec(fenced)).await.unwrap());
    set_version(&d, &d.entries[0], "writer", "v2").await;
    let first = leader(&d, "writer").await;
    let old = wait_for("the leader's first order", STATE_LIMIT, || async {
        logged_orders(&d, "inkline-writer").await.first().cloned()
    })
    .await
    .unwrap();
    assert_eq!(old.2, "v2");
    let frozen = &d.entries[first];
    frozen.instance.signal(Signal::Stop).unwrap();
    let other = &d.entries[(first + 1) % d.entries.len()];
    set_version(&d, other, "writer", "v3").await;
    wait_for("all replicas to serve v3", STATE_LIMIT, || all_serve(&d, "inkline-writer", "v3"))
        .await
        .unwrap();
    frozen.instance.signal(Signal::Cont).unwrap();
    d.wait_same_revision().await.unwrap();
    // Sends the order of the frozen leader, as if it had been delayed in the network.
    for i in 1..=ENGINES {
        let url =
            format!("{}/orders", d.platform.proc(&format!("inkline-writer-{i}")).unwrap().url());
        let late = json!({"fence": old.1, "wanted": {"weights": "v2", "role": "mixed"}});
        let reply = d.platform.http.put(&url, &late).await.unwrap();
        assert_eq!(reply.status.is_success(), !fenced, "{i}: {}", reply.text());
    }
    if fenced {
        assert!(
            all_serve(&d, "inkline-writer", "v3").await.is_some(),
            "replicas still serve v3 after late orders"
        );
    }
    wait_for("all replicas to serve v3 again", STATE_LIMIT, || {
        all_serve(&d, "inkline-writer", "v3")
    })
    .await
    .unwrap();
    let log = logged_orders(&d, "inkline-writer").await;
    for i in 1..=ENGINES {
        let own: Vec<_> = log.iter().filter(|o| o.0 == i).collect();
        let last = own.iter().rfind(|o| o.3).unwrap();
        assert_eq!(last.2, "v3", "the last order accepted by replica {i}: {own:?}");
        let fences: Vec<_> = own.iter().filter(|o| o.3).map(|o| o.1).collect();
        if fenced {
            assert!(
                fences.is_sorted(),
                "fencing numbers accepted by replica {i} never decrease: {own:?}"
            );
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
    check_frozen_leader(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_leader_undoes_nothing_where_fences_are_ignored() {
    check_frozen_leader(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rollouts_of_all_targets_share_the_load_slots_and_refuse_no_work() {
    let d = Arc::new(Deployment::start(&spec(true)).await.unwrap());
    let background = Background::start(&d);
    for (i, (model, ..)) in MODELS.iter().enumerate() {
        set_version(&d, &d.entries[i], model, "v2").await;
    }
    for (_, target, _) in MODELS {
        wait_for("all replicas to serve v2", STATE_LIMIT, || all_serve(&d, target, "v2"))
            .await
            .unwrap();
    }
    background.stop_and_check().await;
    for (_, target, _) in MODELS {
        let log = logged_orders(&d, target).await;
        assert!(log.iter().all(|o| o.2 == "v2" && o.3), "{log:?}");
    }
}

/// Guards against a rollout back to old weights by an instance that has not read of the new ones.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_with_an_old_configuration_orders_no_old_weights() {
    let d = Deployment::start(&Spec { engines: ENGINES, ..Spec::default() }).await.unwrap();
    let (behind, others) = d.entries.split_last().unwrap();
    behind.instance.signal(Signal::Stop).unwrap();
    set_version(&d, &others[0], "writer", "v2").await;
    wait_for("all replicas to serve v2", STATE_LIMIT, || all_serve(&d, "inkline-writer", "v2"))
        .await
        .unwrap();
    wait_for("the rollout to end", STATE_LIMIT, || async {
        for entry in others {
            let reply = d.admin(entry, Method::GET, "rollouts/writer", &[], None).await.ok()?;
            let status: Value = reply.json().ok()?;
            status["leader"].is_null().then_some(())?;
        }
        Some(())
    })
    .await
    .unwrap();
    // It learns of the change neither from the log nor from its peers.
    d.platform.faults(&d.platform.table, json!({"refuse_ranges": true})).await.unwrap();
    others.iter().for_each(|e| e.instance.signal(Signal::Stop).unwrap());
    behind.instance.signal(Signal::Cont).unwrap();
    sleep(Duration::from_secs(6)).await;
    let log = logged_orders(&d, "inkline-writer").await;
    assert!(log.iter().all(|o| o.2 == "v2"), "{log:?}");
    d.platform.faults(&d.platform.table, json!({})).await.unwrap();
    others.iter().for_each(|e| e.instance.signal(Signal::Cont).unwrap());
    d.wait_same_revision().await.unwrap();
    let log = logged_orders(&d, "inkline-writer").await;
    assert!(log.iter().all(|o| o.2 == "v2"), "{log:?}");
}

/// `Some` if the metrics of some instance count a stalled rollout of the target.
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
async fn a_stalled_load_is_reported_and_ends_once_the_store_recovers() {
    let d = Deployment::start(&spec(true)).await.unwrap();
    let store = d.platform.proc("weights-1").unwrap();
    d.platform.faults(store, json!({"link_rate": 10_000})).await.unwrap();
    set_version(&d, &d.entries[0], "writer", "v2").await;
    wait_for("the stall to be counted", 2 * STATE_LIMIT, || stalled(&d, "inkline-writer"))
        .await
        .unwrap();
    assert!(
        all_serve(&d, "inkline-writer", "v2").await.is_none(),
        "the rollout is still in progress"
    );
    d.platform.faults(store, json!({})).await.unwrap();
    wait_for("all replicas to serve v2", STATE_LIMIT, || all_serve(&d, "inkline-writer", "v2"))
        .await
        .unwrap();
}
