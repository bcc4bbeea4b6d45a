//! Random faults on a running deployment.

use std::time::Duration;

use eyre::Result;
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};
use rig::{Deployment, Signal};
use serde_json::{Value, json};
use tokio::time::sleep;

/// A fault and where it is injected.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Sets fault knobs of a stand-in.
    Knobs(StandIn, Value),
    /// Kills the instance at this index and starts one with another name.
    Kill(usize),
    /// Freezes the instance at this index for this long.
    Freeze(usize, Duration),
    /// Changes the prompt limit of a template.
    Limit(u64),
    /// Changes the weights version of a model: the new and the previous version.
    Weights(&'static str, &'static str),
}

/// The stand-in at which a fault is injected.
#[derive(Debug, Clone, Copy)]
pub enum StandIn {
    /// The table service.
    Table,
    /// The object store.
    Objects,
    /// The instance list.
    List,
    /// A replica or store instance by name.
    Replica(&'static str),
}

/// Weights versions between which a model changes: the new and the previous one.
const VERSION_CHANGES: [(&str, &str); 3] = [("v2", "v1"), ("v1", "v2"), ("v3", "v1")];

/// Returns a random fault for a deployment of `instances` instances.
pub fn random_fault(rng: &mut SmallRng, instances: usize) -> Fault {
    let at = rng.random_range(0..instances);
    match rng.random_range(0..10) {
        0 => Fault::Kill(at),
        1 | 2 => Fault::Freeze(at, Duration::from_millis(rng.random_range(500..9000))),
        3 => Fault::Limit(1_000_000 + rng.random_range(0..1000)),
        4 => {
            let (version, previous) = VERSION_CHANGES[rng.random_range(0..VERSION_CHANGES.len())];
            Fault::Weights(version, previous)
        }
        _ => random_knobs(rng),
    }
}

fn random_knobs(rng: &mut SmallRng) -> Fault {
    let engine = *["inkline-writer-1", "inkline-writer-2"].choose(rng).expect("not empty");
    let store = StandIn::Replica("inkline-store-1");
    let desk = StandIn::Replica("inkline-desk-1");
    let all = [
        (StandIn::Table, json!({"outage": true})),
        (StandIn::Table, json!({"delay_ms": 400})),
        (StandIn::Table, json!({"lose_answers": 5})),
        (StandIn::Table, json!({"silent_open": true})),
        (StandIn::Objects, json!({"outage": true})),
        (StandIn::List, json!({"outage": true})),
        (StandIn::List, json!({"lag_ms": 4000})),
        (StandIn::Replica(engine), json!({"double_chunks": true, "late_chunks_ms": 15})),
        (StandIn::Replica(engine), json!({"cross_answers": true})),
        (StandIn::Replica(engine), json!({"silent_open": true})),
        (StandIn::Replica(engine), json!({"leaving": true})),
        (StandIn::Replica(engine), json!({"evict_all": true})),
        (StandIn::Replica(engine), json!({"lag_ms": 3000})),
        (store, json!({"flip_bits": true})),
        (store, json!({"partial_writes": true})),
        (store, json!({"full": true})),
        (store, json!({"outage": true})),
        (store, json!({"evict_all": true})),
        (desk, json!({"cut_before_run": 2})),
        (desk, json!({"cut_after_run": 2})),
        (desk, json!({"refuse": 3})),
        (desk, json!({"stall_ms": 300})),
    ];
    let (stand_in, knobs) = all.choose(rng).expect("not empty").clone();
    Fault::Knobs(stand_in, knobs)
}

/// Injects a fault. Knobs of stand-ins stay set until [`clear`].
pub async fn inject(deployment: &mut Deployment, fault: &Fault, serial: usize) -> Result<()> {
    match fault {
        Fault::Knobs(stand_in, knobs) => set_knobs(deployment, *stand_in, knobs.clone()).await?,
        Fault::Kill(at) => {
            let gone = deployment.entries.remove(*at);
            gone.instance.signal(Signal::Kill)?;
            deployment.add_instance(&format!("entry-new-{serial}"), &gone.zone).await?;
            deployment.platform.delist(&gone.name).await?;
        }
        Fault::Freeze(at, duration) => {
            deployment.entries[*at].instance.signal(Signal::Stop)?;
            sleep(*duration).await;
            deployment.entries[*at].instance.signal(Signal::Cont)?;
        }
        Fault::Limit(limit) => {
            let edit = |doc: &mut Value| doc["params"]["limits"]["prompt"] = json!(limit);
            // Fails during an outage of the platform, or if another change comes first.
            let _ = deployment.change(&deployment.entries[0], "templates/inkline", edit).await;
        }
        Fault::Weights(version, previous) => {
            let edit = |doc: &mut Value| {
                doc["version"] = json!(version);
                doc["previous"] = json!(previous);
            };
            let _ = deployment.change(&deployment.entries[0], "models/writer", edit).await;
        }
    }
    Ok(())
}

/// Clears the fault knobs of all stand-ins.
pub async fn clear(deployment: &Deployment) -> Result<()> {
    for stand_in in [
        StandIn::Table,
        StandIn::Objects,
        StandIn::List,
        StandIn::Replica("inkline-writer-1"),
        StandIn::Replica("inkline-writer-2"),
        StandIn::Replica("inkline-store-1"),
        StandIn::Replica("inkline-desk-1"),
    ] {
        set_knobs(deployment, stand_in, json!({})).await?;
    }
    Ok(())
}

async fn set_knobs(deployment: &Deployment, stand_in: StandIn, knobs: Value) -> Result<()> {
    let platform = &deployment.platform;
    let proc = match stand_in {
        StandIn::Table => &platform.table,
        StandIn::Objects => &platform.objects,
        StandIn::List => &platform.list,
        StandIn::Replica(name) => platform.proc(name)?,
    };
    platform.faults(proc, knobs).await?;
    Ok(())
}
