//! Ways to replicas: finds out which replicas this instance reaches.

use std::{sync::Arc, time::Duration};

use fleet::Replica;
use rand::seq::IndexedRandom;
use reach::Member;
use tokio::time::timeout;
use tracing::info;

use crate::core::Core;

/// Pause between two looks for replicas to probe.
const PROBE_TICK: Duration = Duration::from_millis(100);
/// Most replicas that are probed in one look.
const MAX_PROBES: usize = 8;
/// Timeout of a probe: a sound replica may be silent for a while.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most other replicas that are probed after one did not answer.
const MAX_WITNESSES: usize = 2;

/// The targets of which this instance reaches no replica.
pub(crate) fn cut_off(core: &Core) -> Vec<Arc<str>> {
    // Most instances reach all replicas at most times.
    if core.reach.lock().reaches_all() {
        return Vec::new();
    }
    let members = members(core);
    core.reach.lock().cut_off(&members)
}

/// The replicas that take new requests.
fn members(core: &Core) -> Vec<Member> {
    let snapshot = core.view.snapshot();
    let taking = snapshot.replicas.iter().filter(|r| !r.leaving);
    taking.map(|r| Member { replica: r.id.clone(), target: r.target.clone() }).collect()
}

/// Whether a replica answers over a new connection. One that is accepted shows nothing: the way may
/// carry the handshake alone.
async fn probe(core: &Core, replica: &Replica) -> bool {
    let answer = core.adapters.engines.probe(replica.addr);
    timeout(PROBE_TIMEOUT, answer).await.is_ok_and(|answered| answered.is_ok())
}

/// Probes a replica, records the outcome and returns whether the replica was reached.
pub(crate) async fn check(core: &Core, replica: &Replica) -> bool {
    let reached = probe(core, replica).await;
    if reached {
        note_reached(core, replica);
    } else {
        core.reach.lock().failed(&replica.id, core.now());
    }
    reached
}

/// Records that a replica was reached.
pub(crate) fn note_reached(core: &Core, replica: &Replica) {
    core.cold.lock().reached(&replica.id, core.now());
    if core.reach.lock().reached(&replica.id) {
        core.pool.lock().mark_reachable(&replica.id);
    }
}

/// Whether this instance reaches other replicas than one that did not answer, so that the fault is
/// not its own link's. So it is where there are no others.
pub(crate) async fn reaches_others(core: &Core, replica: &Replica) -> bool {
    let snapshot = core.view.snapshot();
    let others: Vec<&Arc<Replica>> =
        snapshot.replicas.iter().filter(|r| r.id != replica.id && !r.leaving).collect();
    if others.is_empty() {
        return true;
    }
    let some: Vec<_> = others.choose_multiple(&mut rand::rng(), MAX_WITNESSES).collect();
    for witness in some {
        if probe(core, witness).await {
            return true;
        }
    }
    false
}

/// Probes replicas while this instance reaches half of a target's or fewer.
pub(crate) async fn probe_loop(core: Arc<Core>) {
    let mut known: Vec<Arc<str>> = Vec::new();
    loop {
        tokio::time::sleep(PROBE_TICK).await;
        if core.reach.lock().reaches_all() && known.is_empty() {
            continue;
        }
        let members = members(&core);
        let due = core.reach.lock().take_probes(&members, MAX_PROBES, core.now());
        let snapshot = core.view.snapshot();
        for replica in due.iter().filter_map(|id| snapshot.replica(id)) {
            let (core, replica) = (core.clone(), replica.clone());
            tokio::spawn(async move { check(&core, &replica).await });
        }
        let mut reach = core.reach.lock();
        reach.retain(|id| snapshot.replica(id).is_some());
        let cut_off = reach.cut_off(&members);
        drop(reach);
        if cut_off != known {
            info!(targets = ?cut_off, before = ?known, "targets of which no replica is reached");
            core.metrics.cut_off_targets.set(cut_off.len() as i64);
            core.notify_peers.notify_one();
            known = cut_off;
        }
    }
}
