//! Random faults on a running deployment.

use std::time::Duration;

use eyre::Result;
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};
use rig::{Deployment, Signal};
use serde_json::{Value, json};
use tokio::time::sleep;

/// A fault, and where it strikes.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A stand-in's knobs.
    Knobs(Place, Value),
    /// An instance is killed and replaced by one of another name.
    Kill(usize),
    /// An instance is frozen for a while.
    Freeze(usize, Duration),
    /// An operator changes a limit.
    Limit(u64),
    /// An operator wants other weights.
    Weights(&'static str, &'static str),
}

/// A stand-in.
#[derive(Debug, Clone, Copy)]
pub enum Place {
    /// The table service.
    Table,
    /// The object store.
    Objects,
    /// The instance list.
    List,
    /// A replica or store instance by name.
    Replica(&'static str),
}

/// Weight versions an operator swaps between.
const SWAPS: [(&str, &str); 3] = [("v2", "v1"), ("v1", "v2"), ("v3", "v1")];

/// Draws a fault for a deployment of `instances` instances.
pub fn draw(rng: &mut SmallRng, instances: usize) -> Fault {
    let at = rng.random_range(0..instances);
    match rng.random_range(0..10) {
        0 => Fault::Kill(at),
        1 | 2 => Fault::Freeze(at, Duration::from_millis(rng.random_range(500..9000))),
        3 => Fault::Limit(1_000_000 + rng.random_range(0..1000)),
        4 => {
            let (version, previous) = SWAPS[rng.random_range(0..SWAPS.len())];
            Fault::Weights(version, previous)
        }
        _ => knobs(rng),
    }
}

fn knobs(rng: &mut SmallRng) -> Fault {
    let engine = *["inkline-writer-1", "inkline-writer-2"].choose(rng).expect("not empty");
    let store = Place::Replica("inkline-store-1");
    let desk = Place::Replica("inkline-desk-1");
    let all = [
        (Place::Table, json!({"outage": true})),
        (Place::Table, json!({"delay_ms": 400})),
        (Place::Table, json!({"lose_answers": 5})),
        (Place::Table, json!({"silent_open": true})),
        (Place::Objects, json!({"outage": true})),
        (Place::List, json!({"outage": true})),
        (Place::List, json!({"lag_ms": 4000})),
        (Place::Replica(engine), json!({"double_chunks": true, "late_chunks_ms": 15})),
        (Place::Replica(engine), json!({"cross_answers": true})),
        (Place::Replica(engine), json!({"silent_open": true})),
        (Place::Replica(engine), json!({"leaving": true})),
        (Place::Replica(engine), json!({"evict_all": true})),
        (Place::Replica(engine), json!({"lag_ms": 3000})),
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
    let (place, knobs) = all.choose(rng).expect("not empty").clone();
    Fault::Knobs(place, knobs)
}

/// Lets a fault strike; a stand-in's knobs stay as they are until [`mend`].
pub async fn strike(deployment: &mut Deployment, fault: &Fault, serial: usize) -> Result<()> {
    match fault {
        Fault::Knobs(place, knobs) => set(deployment, *place, knobs.clone()).await?,
        Fault::Kill(at) => {
            let gone = deployment.entries.remove(*at);
            gone.instance.signal(Signal::Kill)?;
            deployment.add_instance(&format!("entry-new-{serial}"), &gone.zone).await?;
            deployment.platform.delist(&gone.name).await?;
        }
        Fault::Freeze(at, span) => {
            deployment.entries[*at].instance.signal(Signal::Stop)?;
            sleep(*span).await;
            deployment.entries[*at].instance.signal(Signal::Cont)?;
        }
        Fault::Limit(limit) => {
            let edit = |doc: &mut Value| doc["params"]["limits"]["prompt"] = json!(limit);
            // Refused while the platform is out, or lost against another change.
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

/// Ends all faults of stand-ins.
pub async fn mend(deployment: &Deployment) -> Result<()> {
    for place in [
        Place::Table,
        Place::Objects,
        Place::List,
        Place::Replica("inkline-writer-1"),
        Place::Replica("inkline-writer-2"),
        Place::Replica("inkline-store-1"),
        Place::Replica("inkline-desk-1"),
    ] {
        set(deployment, place, json!({})).await?;
    }
    Ok(())
}

async fn set(deployment: &Deployment, place: Place, knobs: Value) -> Result<()> {
    let platform = &deployment.platform;
    let proc = match place {
        Place::Table => &platform.table,
        Place::Objects => &platform.objects,
        Place::List => &platform.list,
        Place::Replica(name) => platform.proc(name)?,
    };
    platform.faults(proc, knobs).await?;
    Ok(())
}
