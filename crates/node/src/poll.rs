//! Polls the platform's instance list, the load of replicas and the link rates of stores.

use std::{sync::Arc, time::Duration};

use entry::{Core, ReplicaRef, StoreRef};
use futures_util::{StreamExt, stream};
use outbound::{InstanceList, ListEntry, ListState, Role};
use tokio::time::{MissedTickBehavior, interval};

/// Interval between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two reads of the load of replicas and stores.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of replicas or stores read concurrently.
const MAX_CONCURRENT_READS: usize = 8;
/// Maximum number of replicas whose load is read in one run. The load of replicas in use also comes
/// with each of their answers.
const MAX_POLLED_REPLICAS: usize = 64;

/// Reads the instance list, which also lists replicas and stores, periodically until the process
/// ends.
pub async fn list(core: Arc<Core>, instances: Arc<dyn InstanceList>) {
    let mut ticks = interval(LIST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // If the list can't be read, the last one stays in use. A listed process that has failed
        // since is noticed when it does not answer.
        let Ok((listed, invalid)) = instances.read().await else { continue };
        core.metrics.invalid_list_entries.inc_by(invalid as u64);
        sync(&core, &listed);
    }
}

fn sync(core: &Core, listed: &[ListEntry]) {
    let now = core.now();
    let peers: Vec<_> = listed.iter().filter_map(listed_instance).collect();
    core.members.lock().sync_list(&peers, now);
    core.pools.sync(listed, now);
    core.stores.sync(listed);
    core.sync_withdrawn();
}

/// The instance that a list entry describes; `None` if the entry describes another kind of process
/// or has no peer address.
fn listed_instance(entry: &ListEntry) -> Option<member::ListedInstance> {
    if entry.role != Role::Entry {
        return None;
    }
    Some(member::ListedInstance {
        name: entry.name.clone(),
        zone: entry.zone.clone(),
        addr: entry.addr,
        peer_addr: entry.peer?,
        leaving: entry.state == ListState::Leaving,
    })
}

/// Reads the load of replicas and the link rates of stores periodically until the process ends.
pub async fn replica_loads(core: Arc<Core>) {
    let mut ticks = interval(LOAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let polled = core.pools.sample(MAX_POLLED_REPLICAS, core.random.next_u64());
        stream::iter(polled)
            .for_each_concurrent(MAX_CONCURRENT_READS, |r| read_replica(&core, r))
            .await;
        let stores = core.stores.all();
        stream::iter(stores)
            .for_each_concurrent(MAX_CONCURRENT_READS, |s| read_store(&core, s))
            .await;
    }
}

async fn read_store(core: &Core, store: StoreRef) {
    if let Ok(rate) = core.backends.store.link_rate(store.addr).await {
        core.stores.record_link_rate(&store.name, rate);
    }
}

async fn read_replica(core: &Core, replica: ReplicaRef) {
    let read_started = core.now();
    if let Ok(load) = core.backends.engine.load(replica.addr).await {
        core.pools.record_load(&replica, &load, read_started, core.now());
    }
}
