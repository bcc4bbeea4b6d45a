//! Reads the platform's instance list and the load of replicas.

use std::{sync::Arc, time::Duration};

use entry::{Core, ReplicaRef, StoreRef};
use futures_util::{StreamExt, stream};
use outbound::{Instances, ListState, Listed, Role};
use tokio::time::{MissedTickBehavior, interval};

/// Time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of replicas' load.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// ReplicaRef read at once.
const LOAD_PARALLEL: usize = 8;
/// Most replicas whose load is read; load also comes with every answer of a replica in use.
const MAX_WATCHED: usize = 64;

/// Reads the list until the process ends.
pub async fn list(core: Arc<Core>, instances: Arc<dyn Instances>) {
    let mut ticks = interval(LIST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // An unreadable list is no news: what is known stays, and failures speak for themselves.
        let Ok((listed, bad)) = instances.read().await else { continue };
        core.metrics.bad_listed.inc_by(bad as u64);
        sync(&core, &listed);
    }
}

fn sync(core: &Core, listed: &[Listed]) {
    let now = core.now();
    let peers: Vec<_> = listed.iter().filter_map(peer).collect();
    core.members.lock().sync_list(&peers, now);
    core.pools.sync(listed, now);
    core.stores.sync(listed);
    core.sync_withdrawn();
}

fn peer(listed: &Listed) -> Option<member::Entry> {
    if listed.role != Role::Entry {
        return None;
    }
    Some(member::Entry {
        name: listed.name.clone(),
        zone: listed.zone.clone(),
        addr: listed.addr,
        peer: listed.peer?,
        leaving: listed.state == ListState::Leaving,
    })
}

/// Reads the load of replicas until the process ends.
pub async fn loads(core: Arc<Core>) {
    let mut ticks = interval(LOAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let watched = core.pools.watched(MAX_WATCHED, core.draws.draw());
        stream::iter(watched).for_each_concurrent(LOAD_PARALLEL, |r| read(&core, r)).await;
        let stores = core.stores.all();
        stream::iter(stores).for_each_concurrent(LOAD_PARALLEL, |s| read_store(&core, s)).await;
    }
}

async fn read_store(core: &Core, store: StoreRef) {
    if let Ok(rate) = core.backends.store.link_rate(store.addr).await {
        core.stores.report(&store.name, rate);
    }
}

async fn read(core: &Core, replica: ReplicaRef) {
    let asked = core.now();
    if let Ok(load) = core.backends.engine.load(replica.addr).await {
        core.pools.report(&replica, &load, asked, core.now());
    }
}
